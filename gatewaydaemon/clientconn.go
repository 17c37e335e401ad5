package gatewaydaemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/azurelead/azurelead/clientlimit"
)

// clientLimits are the times that the configuration in force allows clients.
type clientLimits struct {
	// header is the time to send a request's header, idle the time between two requests on a connection.
	header, idle time.Duration
}

// clientListener accepts connections that follow the limits of the configuration.
type clientListener struct {
	net.Listener
	server *clientServer
}

// Accept implements net.Listener. Connections above the limit are closed.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		cc := &clientConn{Conn: c, server: l.server}
		if cc.open() {
			return cc, nil
		}
	}
}

// open counts the connection, or closes it and returns false if there are too many.
func (c *clientConn) open() bool {
	if c.server.guard == nil {
		return true
	}
	owner, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		owner = c.RemoteAddr().String()
	}
	if c.limit, err = c.server.guard.Open(time.Now(), "client "+owner, c.evict); err != nil {
		c.server.noteLimit("client connection refused", owner, err)
		_ = c.Close() // nothing has been read of it
		return false
	}
	return true
}

// limitLogInterval is the least time between two log lines about connections that were refused or closed for a limit.
const limitLogInterval = 10 * time.Second

// noteLimit logs that a connection was refused or closed for a limit.
func (s *clientServer) noteLimit(message, client string, err error) {
	s.limitLog.Do(func() {
		if s.logger != nil {
			s.logger.Warn(message, "client", client, "error", err)
		}
	})
}

const (
	// refusalTime bounds the writing of a refusal to a client that may not read.
	refusalTime = 100 * time.Millisecond
	// headMemoryWait is how long a head waits for memory: that of a request is given back a moment after its response.
	headMemoryWait = 250 * time.Millisecond
	// refusalRetryAfter is the retry delay that is sent while heads leave no memory, in seconds.
	refusalRetryAfter = "0.5"
)

// evict closes the connection to make room for another. Input that arrives afterwards is discarded. A response that is being
// written is reset, so that its client does not take a part of it for the whole.
func (c *clientConn) evict(inHead bool) {
	c.server.noteLimit("client connection closed for another", c.RemoteAddr().String(), nil)
	if inHead {
		c.refuse("408 Request Timeout", "")
		_ = c.Close() // fails only if it is closed already
		return
	}
	if c.writing.Load() {
		_ = c.Reset()
		return
	}
	c.closeNow()
}

// closeNow closes the connection without reading what the client still sends.
func (c *clientConn) closeNow() {
	if c.limit != nil {
		c.limit.Close()
	}
	if d, ok := c.Conn.(interface{ CloseNow() error }); ok {
		_ = d.CloseNow() // fails only if it is closed already
		return
	}
	_ = c.Conn.Close()
}

// Write implements net.Conn. The time that the client takes to read counts towards the limits.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.limit == nil {
		return c.Conn.Write(p)
	}
	c.writing.Store(true)
	c.limit.BeginWrite(time.Now())
	n, err := c.Conn.Write(p)
	c.limit.EndWrite(time.Now(), n)
	c.writing.Store(false)
	return n, err
}

// refuse writes a whole response while the head of a request is read: it has not run.
func (c *clientConn) refuse(status, header string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) // fails only if the connection is closed
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\n"+header+"Connection: close\r\nContent-Length: 0\r\n\r\n")
}

// admit counts bytes of the next request's head towards the limits. If one is exceeded it returns a read error, for which
// net/http closes the connection without a response of its own.
func (c *clientConn) admit(p []byte) error {
	if c.limit == nil {
		return nil
	}
	err := c.limit.Read(time.Now(), p)
	for until := time.Now().Add(headMemoryWait); clientlimit.NoMemory.Has(err) && time.Now().Before(until); {
		time.Sleep(headMemoryWait / 10)
		err = c.limit.Read(time.Now(), nil)
	}
	switch {
	case err == nil:
		return nil
	case clientlimit.Evicted.Has(err):
		// evict has written the response.
	case clientlimit.HeadTooLarge.Has(err):
		c.refuse("431 Request Header Fields Too Large", "")
	default:
		c.refuse("503 Service Unavailable", "Retry-After: "+refusalRetryAfter+"\r\n")
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// clientConnKey is the key of a request's connection in its context.
type clientConnKey struct{}

// withClientConn is the ConnContext hook of the clients' server.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// uploadBegins records that the body of the request of a context is read, and who is charged for it.
func uploadBegins(ctx context.Context, charged string) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok && c.limit != nil {
		c.limit.Upload(charged)
	}
}

// requestRead records that the whole request of a context has been read: its connection is not closed in favour of others.
func requestRead(ctx context.Context) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok && c.limit != nil {
		c.limit.Serve()
	}
}

// awaited is what a client connection waits for.
type awaited int

const (
	// awaitsNothing: a request is in progress; deadlines are those of the handler.
	awaitsNothing awaited = iota
	// awaitsRequest: no byte of the next request has been read.
	awaitsRequest
	// awaitsHeader: the header of a request is being read.
	awaitsHeader
)

// clientConn replaces the fixed deadlines of net/http by those of the configuration in force, also while it waits: the
// limits of http.Server can't be changed while it serves, and a client may rely on limits that have been raised.
type clientConn struct {
	net.Conn
	server *clientServer
	// limit is what the connection counts for; nil if there are no limits.
	limit *clientlimit.Conn
	// received is set once anything has been read.
	received atomic.Bool
	// writing is set while a part of a response is written.
	writing atomic.Bool

	mu sync.Mutex
	// next is what the next deadline of net/http is for, current what the last one is for, since when it was set.
	next, current awaited
	since         time.Time
}

// setState records a change of the connection's state, after which net/http sets the deadlines of that state.
func (c *clientConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.next = awaitsHeader
	case http.StateIdle:
		c.next = awaitsRequest
		if c.limit != nil {
			c.limit.Await(time.Now())
		}
	default:
		c.next, c.current = awaitsNothing, awaitsNothing
		if c.limit != nil {
			c.limit.Handle()
		}
	}
}

// SetReadDeadline implements net.Conn. The deadlines that net/http sets for what a client has to send are replaced.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == awaitsRequest && c.next == awaitsHeader && !t.IsZero() {
		c.server.setBusy(c, true) // to net/http the connection is idle until the whole header has been read
	}
	c.current = awaitsNothing
	if !t.IsZero() && c.next != awaitsNothing {
		c.current, c.next, c.since = c.next, awaitsHeader, time.Now()
		t = c.deadline()
	}
	return c.Conn.SetReadDeadline(t)
}

// deadline returns the time until which the connection waits. It is called with the lock held.
func (c *clientConn) deadline() time.Time {
	limits := c.server.limits()
	switch {
	case c.current == awaitsHeader:
		return c.since.Add(limits.header)
	case c.server.closingIdle.Load():
		return c.since
	}
	return c.since.Add(limits.idle)
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readWithinLimits(p)
	if n > 0 && !c.received.Load() {
		c.received.Store(true)
	}
	if n > 0 {
		if refusal := c.admit(p[:n]); refusal != nil {
			return 0, refusal
		}
	}
	return n, err
}

// readWithinLimits reads what the client sends. It goes on after a deadline if the limit has been raised since the
// deadline was set, and returns what has arrived otherwise: the process may have stalled.
func (c *clientConn) readWithinLimits(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		n, extended := c.endWait(p)
		if n > 0 {
			return n, nil
		}
		if !extended {
			return 0, err
		}
	}
}

// endWait is called at a deadline. It sets that of the configuration in force if it is still to come, and else reads
// what has arrived.
func (c *clientConn) endWait(p []byte) (n int, extended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == awaitsNothing {
		return 0, false
	}
	if deadline := c.deadline(); deadline.After(time.Now()) {
		return 0, c.Conn.SetReadDeadline(deadline) == nil
	}
	return c.readArrived(p), false
}

// readArrived reads without waiting, whether or not the deadline has passed. It returns 0 if nothing has arrived. It is
// called with the lock held.
func (c *clientConn) readArrived(p []byte) (n int) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0 // the connection is closed
	}
	err = raw.Read(func(fd uintptr) bool {
		n, _ = unix.Read(int(fd), p) // an error says that nothing has arrived
		return true
	})
	// What arrives later is read in the same way.
	if err != nil || c.Conn.SetReadDeadline(time.Now()) != nil {
		return 0
	}
	return max(n, 0)
}

// expire ends the wait for the next request, unless it has arrived.
func (c *clientConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == awaitsRequest {
		_ = c.Conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
	}
}

// Close implements net.Conn. Nothing is read after the close of a connection that is idle or has not been used: a client
// may repeat a request that was not read.
func (c *clientConn) Close() error {
	c.mu.Lock()
	idle := c.current == awaitsRequest || !c.received.Load()
	c.mu.Unlock()
	if c.limit != nil {
		c.limit.Close()
	}
	if d, ok := c.Conn.(interface{ CloseNow() error }); ok && idle {
		return d.CloseNow()
	}
	return c.Conn.Close()
}

// CloseWrite sends the end of the stream; net/http calls it before it closes.
func (c *clientConn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Reset closes the connection so that the client does not take what it has read for a whole response.
func (c *clientConn) Reset() error {
	if c.limit != nil {
		c.limit.Close()
	}
	if r, ok := c.Conn.(interface{ Reset() error }); ok {
		return r.Reset()
	}
	return c.Close()
}
