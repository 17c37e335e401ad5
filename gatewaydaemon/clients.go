package gatewaydaemon

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurelead/azurelead/linger"
)

const (
	// connectionPollInterval is the interval at which a closing server counts its connections.
	connectionPollInterval = 5 * time.Millisecond
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
	// unreadTime is the time before the server stops listening when it is closed.
	unreadTime time.Duration
	// closing is set once each response closes its connection.
	closing atomic.Bool

	mu sync.Mutex
	// busy are the connections that are not idle: a request is arriving or in progress, or none has been read yet.
	busy map[net.Conn]bool
}

// newClientServer returns a server whose connections are tracked. limits replaces the server's
// time-outs, which must be set.
func newClientServer(listener net.Listener, server *http.Server, limits func() clientLimits) *clientServer {
	c := &clientServer{server: server, listener: linger.NewListener(listener), limits: limits, unreadTime: unreadTime, busy: make(map[net.Conn]bool)}
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
	c.setBusy(conn, state == http.StateNew || state == http.StateActive)
}

// setBusy records whether a connection is busy.
func (c *clientServer) setBusy(conn net.Conn, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if busy {
		c.busy[conn] = true
		return
	}
	delete(c.busy, conn)
}

// countBusy returns the number of connections that are not idle.
func (c *clientServer) countBusy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}

// close reads what has reached the process, stops listening, and closes all connections once no request is arriving or
// in progress, or at the deadline. It returns the number of connections that were cut then.
func (c *clientServer) close(deadline time.Time) (cut int) {
	time.Sleep(c.unreadTime)
	_ = c.listener.Close()
	c.closing.Store(true)
	for c.countBusy() > 0 && time.Now().Before(deadline) {
		time.Sleep(connectionPollInterval)
	}
	cut = c.countBusy()
	_ = c.server.Close()
	return cut
}
