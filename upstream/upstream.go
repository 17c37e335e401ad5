// Package upstream calls endpoints over HTTP/1.1 on connections that belong to
// one incarnation of an endpoint. It tells its callers what net/http's client
// hides: whether a byte of a request can have reached the endpoint, and whether
// an answer belongs to another request.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Errors of calls. They say what the endpoint can have seen.
var (
	// NotSent is for calls of which no byte was written.
	NotSent = errs.Class("upstream: not sent")
	// Lost is for calls that were written, at least in part, and not answered.
	Lost = errs.Class("upstream: lost")
)

// Target is the endpoint of a call.
type Target struct {
	// ID names the endpoint's incarnation; connections are not shared between two.
	ID      string
	Address string
}

// Request is one call.
type Request struct {
	Method string
	// URI is the request's target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response's header belongs to this call; nil
	// takes every response.
	Matches func(status int, h http.Header) bool
}

// Options configures a Client. Zero members take the defaults below.
type Options struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged.
	TCPUserTimeout time.Duration
	// IdleTimeout closes connections that were not used for so long.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to one endpoint. It is called with the
	// client's lock held.
	MaxIdle func(id string) int
	Metrics *Metrics
}

// Defaults of Options.
const (
	// DefaultDialTimeout is well above a round trip between data centres, and
	// leaves time for another endpoint within an answer's target.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultTCPUserTimeout outlasts several retransmissions on a lossy link.
	DefaultTCPUserTimeout = 1500 * time.Millisecond
	// DefaultIdleTimeout bounds idle connections whose endpoint states no timeout.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultMaxIdle keeps a burst's connections for the next one.
	DefaultMaxIdle = 16
)

// keepAlive finds connections that went silent while they were idle.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Client keeps connections to endpoints. It is safe for concurrent use.
type Client struct {
	o      Options
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client without connections.
func New(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.TCPUserTimeout == 0 {
		o.TCPUserTimeout = DefaultTCPUserTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxIdle == nil {
		o.MaxIdle = func(string) int { return DefaultMaxIdle }
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return &Client{o: o, dialer: Dialer(o.DialTimeout, o.TCPUserTimeout), idle: make(map[string][]*conn)}
}

// Dialer returns a dialer whose connections fail when the peer stays silent.
func Dialer(timeout, silence time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
}

// Do sends a request and returns the response once its header is read. The
// caller closes the response's body. When ctx ends, the connection is closed,
// which tells the endpoint to drop the request.
func (c *Client) Do(ctx context.Context, t Target, r Request) (*http.Response, error) {
	for {
		cn, err := c.conn(ctx, t)
		if err != nil {
			return nil, err
		}
		resp, err := cn.do(ctx, r)
		if err != nil && cn.reused && NotSent.Has(err) && ctx.Err() == nil {
			// The endpoint had closed the idle connection: another one may do.
			continue
		}
		return resp, err
	}
}

// Reachable reports whether the endpoint takes a new connection, which is kept
// for the next request.
func (c *Client) Reachable(ctx context.Context, t Target) bool {
	raw, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		c.o.Metrics.DialFailures.Inc()
		return false
	}
	c.o.Metrics.Dials.Inc()
	cn := newConn(c, t.ID, raw)
	cn.idleUntil = time.Now().Add(c.o.IdleTimeout)
	c.putIdle(cn)
	return true
}

func (c *Client) conn(ctx context.Context, t Target) (*conn, error) {
	if cn := c.takeIdle(t.ID); cn != nil {
		return cn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		c.o.Metrics.DialFailures.Inc()
		return nil, NotSent.Wrap(err)
	}
	c.o.Metrics.Dials.Inc()
	return newConn(c, t.ID, raw), nil
}

func (c *Client) takeIdle(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[id]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[id] = list
		if time.Now().Before(cn.idleUntil) && cn.take() {
			cn.reused = true
			return cn
		}
		cn.close()
	}
	delete(c.idle, id)
	return nil
}

func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.id]) >= c.o.MaxIdle(cn.id) {
		cn.close()
		return
	}
	c.idle[cn.id] = append(c.idle[cn.id], cn)
}

// Retain closes the idle connections of all endpoints but those that keep names.
func (c *Client) Retain(keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range c.idle {
		if keep(id) {
			continue
		}
		for _, cn := range list {
			cn.close()
		}
		delete(c.idle, id)
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.Retain(func(string) bool { return false }) }
