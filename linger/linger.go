// Package linger closes TCP connections without losing the response that was sent on them last. Closing a socket
// that holds unread data, or at which more arrives, resets the connection, and a client that is still writing then
// fails before it reads the response (RFC 9112, section 9.6).
package linger

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// settleTime is how long a closed connection counts as receiving while its client sends nothing. An upload may pause
	// between two writes.
	settleTime = 500 * time.Millisecond
	// idleTime is how long a closed connection is kept open while its client sends nothing.
	idleTime = 2 * time.Second
	// maxTime and maxBytes bound what is read from a connection after it was closed.
	maxTime  = 5 * time.Second
	maxBytes = 64 << 20
	// pollInterval is the interval at which uploads are counted while they are awaited.
	pollInterval = 5 * time.Millisecond
)

// Listener accepts TCP connections that linger when they are closed.
type Listener struct {
	net.Listener
	// MaxLingering bounds the closed connections that go on discarding what their clients send; 0 does not. Others are closed
	// at once: clients that provoke responses and do not end their side would keep descriptors for seconds each. It must not
	// be changed once the listener accepts.
	MaxLingering int

	mu sync.Mutex
	// lingering is the number of closed connections whose sockets are open.
	lingering int
	// receiving are the closed connections whose clients have sent more since, or may still do so.
	receiving map[*conn]bool
}

// NewListener returns a listener that accepts the connections of a TCP listener.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, receiving: make(map[*conn]bool)}
}

// Accept returns the next connection. Its Close sends what has been written and the end of the stream, returns at
// once, and goes on discarding what the client sends, within bounds, before the socket is closed.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &conn{TCPConn: tcp, listener: l}, nil
}

// Track is the ConnState hook of an HTTP server that serves the listener. Nothing is read after the close of a connection
// that is idle or has not been used: a client may repeat a request that was not read.
func (l *Listener) Track(nc net.Conn, state http.ConnState) {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	if c, ok := nc.(*conn); ok && state != http.StateClosed {
		c.setIdle(state == http.StateNew || state == http.StateIdle)
	}
}

// AwaitUploads waits until the clients of closed connections have ended what they were sending, or until a deadline.
func (l *Listener) AwaitUploads(deadline time.Time) {
	for l.CountReceiving() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

// CountReceiving returns the number of closed connections whose clients are still sending.
func (l *Listener) CountReceiving() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.receiving)
}

// setReceiving records whether the client of a closed connection is still sending.
func (l *Listener) setReceiving(c *conn, receiving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if receiving {
		l.receiving[c] = true
		return
	}
	delete(l.receiving, c)
}

// beginLinger counts a closed connection that lingers. It reports false if there are too many.
func (l *Listener) beginLinger(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.MaxLingering > 0 && l.lingering >= l.MaxLingering {
		return false
	}
	l.lingering++
	l.receiving[c] = true
	return true
}

// endLinger counts a connection whose socket has been closed.
func (l *Listener) endLinger(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
	delete(l.receiving, c)
}

// conn is a TCP connection that lingers when it is closed.
type conn struct {
	*net.TCPConn
	listener *Listener

	// reading is held during each read, so that no read from before the close overlaps those of linger.
	reading sync.Mutex
	// mu guards closed and idle, and orders the setting of deadlines against Close.
	mu     sync.Mutex
	closed bool
	// idle is set while an HTTP server awaits a request of which nothing has been read.
	idle bool
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read implements net.Conn. It returns net.ErrClosed after Close.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isClosed() {
		err = net.ErrClosed
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.idle {
		return c.TCPConn.Close()
	}
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close() // the client has reset the connection
	}
	// Ends a pending read, so that linger can begin.
	if err := c.TCPConn.SetReadDeadline(time.Now()); err != nil {
		return errors.Join(err, c.TCPConn.Close())
	}
	if !c.listener.beginLinger(c) {
		return c.TCPConn.Close()
	}
	go c.linger()
	return nil
}

// CloseNow closes the connection without reading what the client still sends. It returns net.ErrClosed after Close.
func (c *conn) CloseNow() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	return c.TCPConn.Close()
}

// Reset closes the connection at once and resets it, so that the client does not take what it has read for a whole
// response. It returns net.ErrClosed after Close.
func (c *conn) Reset() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	return errors.Join(c.SetLinger(0), c.TCPConn.Close())
}

// linger discards what the client sends until it ends its side of the connection, and closes the socket.
func (c *conn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	defer c.listener.endLinger(c)
	// The client has the response, or does not read it: there is no one to report an error to.
	defer func() { _ = c.TCPConn.Close() }()
	_, _ = io.CopyN(io.Discard, &remainder{conn: c, until: time.Now().Add(maxTime)}, maxBytes)
}

// remainder reads what a client sends on a closed connection.
type remainder struct {
	conn  *conn
	until time.Time
}

// Read implements io.Reader. It fails if the client sends nothing for idleTime.
func (r *remainder) Read(p []byte) (int, error) {
	n, err := r.readWithin(p, settleTime)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	r.conn.listener.setReceiving(r.conn, false)
	return r.readWithin(p, idleTime-settleTime)
}

// readWithin reads what a client sends within a time.
func (r *remainder) readWithin(p []byte, timeout time.Duration) (int, error) {
	deadline := time.Now().Add(timeout)
	if deadline.After(r.until) {
		deadline = r.until
	}
	if err := r.conn.TCPConn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := r.conn.TCPConn.Read(p)
	if n > 0 {
		r.conn.listener.setReceiving(r.conn, true)
	}
	return n, err
}
