// Package upstream calls endpoints over HTTP/1.1 on connections that belong to one incarnation of
// an endpoint. It reports what the client of net/http hides: whether any byte of a request can have
// reached the endpoint, and whether a response belongs to another request.
package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"github.com/azurelead/azurelead/memorybudget"
)

// The classes of a call's errors say what the endpoint can have received.
var (
	// NotSent marks calls of which no byte was written.
	NotSent = errs.Class("upstream: not sent")
	// Lost marks calls that were written, at least in part, but not answered.
	Lost = errs.Class("upstream: lost")
)

// Target is the endpoint of a call.
type Target struct {
	// ID identifies the endpoint's incarnation. Two incarnations never share a connection.
	ID      string
	Address string
}

// Request is one call.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what the response names if the endpoint states to which call it responds; empty if the call has
	// none. It must differ from those of all other calls on the connection: before a caller repeats a call
	// with the same ID, it closes the response without reading it to its end.
	ID string
	// AnyAnswer is set if the caller uses nothing of the response that depends on the call. Such a call may go
	// over a connection on which the answer to an earlier one may still come.
	AnyAnswer bool
}

// Options configures a Client. Fields that are zero take the defaults below.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent data may stay unacknowledged before the connection fails.
	TCPUserTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is no longer used.
	IdleTimeout time.Duration
	// MaxIdle returns the maximum number of idle connections to an endpoint. It is called with the
	// client's lock held.
	MaxIdle func(id string) int
	// ResponseID returns the ID of the call that a response names, or "" if it names none. After a response
	// that names none, its connection is kept for calls that take any answer only. If ResponseID is nil, no
	// response names its call.
	ResponseID func(h http.Header) string
	// Budget bounds the memory that responses hold. It may be shared by clients.
	Budget  *memorybudget.Budget
	Metrics *Metrics
}

// Defaults of Options.
const (
	// DefaultDialTimeout is well above a round trip between data centres, and leaves time to try
	// another endpoint within the latency target of a request.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultTCPUserTimeout is long enough for several retransmissions on a lossy link.
	DefaultTCPUserTimeout = 1500 * time.Millisecond
	// DefaultIdleTimeout bounds idle connections to endpoints that announce no idle time-out.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultMaxIdle keeps the connections of a burst for the next one.
	DefaultMaxIdle = 16
	// DefaultBudget is the size of the budget for responses, in bytes.
	DefaultBudget = 32 << 20
)

// keepAlive detects connections that have failed silently while they were idle.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Client keeps connections to endpoints. It is safe for concurrent use.
type Client struct {
	o      Options
	dialer net.Dialer

	mu   sync.Mutex
	idle map[idleKey][]*conn
}

// idleKey selects the idle connections to an endpoint.
type idleKey struct {
	id           string
	uncorrelated bool
}

// maxUncorrelated bounds the idle connections to an endpoint that are kept for calls that take any answer.
const maxUncorrelated = 4

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
	if o.ResponseID == nil {
		o.ResponseID = func(http.Header) string { return "" }
	}
	if o.Budget == nil {
		o.Budget = memorybudget.New(DefaultBudget)
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return &Client{o: o, dialer: Dialer(o.DialTimeout, o.TCPUserTimeout), idle: make(map[idleKey][]*conn)}
}

// Dialer returns a dialer whose connections fail when the peer does not acknowledge data within
// userTimeout or stops answering keep-alive probes. timeout bounds opening a connection; 0 means no
// limit.
func Dialer(timeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// Do sends a request and returns the response as soon as its header has been read. The caller must
// close the response's body. When ctx is done, the connection is closed, which tells the endpoint
// to drop the request.
func (c *Client) Do(ctx context.Context, t Target, r Request) (*http.Response, error) {
	for {
		cn, err := c.conn(ctx, t, r.AnyAnswer)
		if err != nil {
			return nil, err
		}
		resp, err := cn.do(ctx, r)
		if err != nil && cn.reused && NotSent.Has(err) && ctx.Err() == nil {
			// The endpoint had closed the idle connection; try another one.
			continue
		}
		return resp, err
	}
}

// Connect opens a new connection to the endpoint, which is kept for the next request.
func (c *Client) Connect(ctx context.Context, t Target) error {
	raw, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		c.o.Metrics.DialFailures.Inc()
		return NotSent.Wrap(err)
	}
	c.o.Metrics.Dials.Inc()
	cn := newConn(c, t.ID, raw)
	cn.idleUntil = time.Now().Add(c.o.IdleTimeout)
	c.putIdle(cn)
	return nil
}

func (c *Client) conn(ctx context.Context, t Target, anyAnswer bool) (*conn, error) {
	if anyAnswer {
		if cn := c.takeIdle(idleKey{id: t.ID, uncorrelated: true}); cn != nil {
			return cn, nil
		}
	}
	if cn := c.takeIdle(idleKey{id: t.ID}); cn != nil {
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

func (c *Client) takeIdle(k idleKey) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := usable(c.idle[k])
	if len(list) == 0 {
		delete(c.idle, k)
		return nil
	}
	cn := list[len(list)-1]
	c.idle[k] = list[:len(list)-1]
	cn.reused = true
	return cn
}

func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := idleKey{id: cn.id, uncorrelated: cn.uncorrelated}
	limit := c.o.MaxIdle(cn.id)
	if k.uncorrelated {
		limit = min(limit, maxUncorrelated)
	}
	list := usable(c.idle[k])
	if len(list) < limit {
		list = append(list, cn)
	} else {
		cn.close()
	}
	c.idle[k] = list
}

// usable closes the idle connections that the endpoint may close or has closed, and returns the others.
func usable(list []*conn) []*conn {
	now := time.Now()
	return slices.DeleteFunc(list, func(cn *conn) bool {
		if now.Before(cn.idleUntil) && cn.isOpen() {
			return false
		}
		cn.close()
		return true
	})
}

// Retain closes the idle connections of all endpoints except those for which keep returns true.
func (c *Client) Retain(keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, list := range c.idle {
		if keep(k.id) {
			continue
		}
		for _, cn := range list {
			cn.close()
		}
		delete(c.idle, k)
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.Retain(func(string) bool { return false }) }
