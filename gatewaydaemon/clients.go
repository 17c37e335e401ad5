package gatewaydaemon

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/azurelead/azurelead/clientlimit"
	"github.com/azurelead/azurelead/linger"
)

const (
	// connectionPollInterval is the interval at which a closing server counts its connections.
	connectionPollInterval = 5 * time.Millisecond
	// idleCloseTime is the least time for idle connections to end, and to answer what has arrived on them.
	idleCloseTime = 100 * time.Millisecond
	// unreadTime is the time to read what had reached the process when the server is closed. After a pause of the process
	// expired timers go ahead of the network.
	unreadTime = 50 * time.Millisecond
)

// clientServer is the clients' HTTP server. Its close differs from http.Server.Shutdown, which closes connections
// without an answer to requests that it has read or is reading. Its connections linger when they are closed.
type clientServer struct {
	server   *http.Server
	listener *linger.Listener
	limits   func() clientLimits
	// guard bounds the connections and the heads that are read; nil does not.
	guard *clientlimit.Guard
	// logger gets at most one line in limitLogInterval about connections that were refused or closed for a limit; it may be nil.
	logger   *slog.Logger
	limitLog rate.Sometimes
	// unreadTime is the time before the server stops listening when it is closed.
	unreadTime time.Duration
	// closing is set once each response closes its connection.
	closing atomic.Bool
	// closingIdle is set once connections are closed that are idle.
	closingIdle atomic.Bool

	mu sync.Mutex
	// open are the open connections. The value is whether a connection is busy: a request is arriving or in progress, or
	// none has been read yet.
	open map[net.Conn]bool
}

// newClientServer returns a server whose connections are tracked. limits replaces the server's
// time-outs, which must be set.
func newClientServer(listener net.Listener, server *http.Server, limits func() clientLimits) *clientServer {
	c := &clientServer{server: server, listener: linger.NewListener(listener), limits: limits, unreadTime: unreadTime, open: make(map[net.Conn]bool), limitLog: rate.Sometimes{Interval: limitLogInterval}}
	server.ConnState = c.track
	server.Handler = c.closeWhenClosing(server.Handler)
	return c
}

// closeWhenClosing returns a handler whose responses close their connections once the server closes. It stands in for
// http.Server.SetKeepAlivesEnabled, which also cuts connections on which the header of a request is being read.
func (c *clientServer) closeWhenClosing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// acceptor returns the listener that the server is to serve.
func (c *clientServer) acceptor() net.Listener {
	return clientListener{Listener: c.listener, server: c}
}

// track is called at each change of a connection's state.
func (c *clientServer) track(conn net.Conn, state http.ConnState) {
	if cc, ok := conn.(*clientConn); ok {
		cc.setState(state)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, conn)
		return
	}
	c.setBusy(conn, state == http.StateNew || state == http.StateActive)
}

// setBusy records whether an open connection is busy.
func (c *clientServer) setBusy(conn net.Conn, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = busy
}

// countBusy returns the number of connections that are not idle.
func (c *clientServer) countBusy() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, busy := range c.open {
		if busy {
			n++
		}
	}
	return n
}

// countOpen returns the number of open connections.
func (c *clientServer) countOpen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// idle returns the connections that are idle.
func (c *clientServer) idle() []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []net.Conn
	for conn, busy := range c.open {
		if !busy {
			list = append(list, conn)
		}
	}
	return list
}

// closeIdle makes idle connections end, unless a request has arrived on them. It is called with closing set.
func (c *clientServer) closeIdle() {
	c.closingIdle.Store(true)
	for _, conn := range c.idle() {
		if cc, ok := conn.(*clientConn); ok {
			cc.expire()
		}
	}
}

// await waits until a condition holds, or until a deadline.
func (c *clientServer) await(deadline time.Time, holds func() bool) {
	for !holds() && time.Now().Before(deadline) {
		time.Sleep(connectionPollInterval)
	}
}

// close reads what has reached the process, stops listening, and closes all connections once no request is arriving or
// in progress, or at the deadline. Requests that have arrived by then on idle connections are answered. It returns the
// number of connections that were cut.
func (c *clientServer) close(deadline time.Time) (cut int) {
	time.Sleep(c.unreadTime)
	_ = c.listener.Close()
	c.closing.Store(true)
	c.await(deadline, func() bool { return c.countBusy() == 0 })
	c.closeIdle()
	if end := time.Now().Add(idleCloseTime); end.After(deadline) {
		deadline = end
	}
	c.await(deadline, func() bool { return c.countOpen() == 0 })
	cut = c.countBusy()
	_ = c.server.Close()
	return cut
}
