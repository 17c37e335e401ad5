package link

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/telemetry"
)

// Client is the entry's side of one link to one agent. A Client never
// reconnects: when Done is closed, its owner dials a new one.
type Client struct {
	o    ClientOptions
	addr string
	peer HelloResult
	s    *stream
	rpc  *jsonrpc2.Conn

	load        atomic.Pointer[Load]
	settings    atomic.Uint64
	fetching    atomic.Bool
	outstanding atomic.Int64
	// news counts the messages that told the peer's state.
	news atomic.Uint64

	leaving     chan struct{}
	leavingOnce sync.Once
	// handover is read-locked while a run is checked against left and sent, so
	// that after the agent's leaving word is answered no run follows it.
	handover sync.RWMutex
	left     atomic.Bool

	done chan struct{}
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	runs   map[contract.AttemptID]*run
}

// Dial opens a link to the agent at addr and completes the handshake.
func Dial(ctx context.Context, addr string, o ClientOptions) (*Client, error) {
	o.setDefaults()
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	conn, err := dialConn(ctx, addr, o.TLS)
	if err != nil {
		o.Metrics.dials.WithLabelValues("failed").Inc()
		return nil, NotSent.Wrap(err)
	}
	c := newClient(conn, addr, o)
	if err := c.hello(ctx); err != nil {
		o.Metrics.dials.WithLabelValues("refused").Inc()
		_ = c.Close()
		return nil, err
	}
	o.Metrics.dials.WithLabelValues("ok").Inc()
	o.Monitor.add(c)
	return c, nil
}

func dialConn(ctx context.Context, addr string, config *tls.Config) (net.Conn, error) {
	if config == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", addr)
}

func newClient(conn net.Conn, addr string, o ClientOptions) *Client {
	c := &Client{
		o:       o,
		addr:    addr,
		leaving: make(chan struct{}),
		done:    make(chan struct{}),
		runs:    map[contract.AttemptID]*run{},
	}
	c.load.Store(&Load{})
	c.s = newStream(conn, streamOptions{
		maxFrame: o.MaxFrameBytes, maxPending: o.MaxPendingBytes,
		writeTimeout: o.WriteTimeout, metrics: o.Metrics,
	})
	c.s.route = c.route
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.rpc = jsonrpc2.NewConn(ctx, c.s, clientHandler{c}, jsonrpc2.SetLogger(telemetry.RPCLogger{Logger: o.Logger}))
	o.Metrics.open.Inc()
	c.wg.Go(c.finish)
	return c
}

func (c *Client) hello(ctx context.Context) error {
	p := c.o.Hello
	p.Settings = c.o.Gossip.Version()
	if err := c.Call(ctx, MethodHello, p, &c.peer); err != nil {
		return err
	}
	c.heard(c.peer.Load, c.peer.Settings, nil)
	return nil
}

// finish ends every outstanding call once the connection has failed.
func (c *Client) finish() {
	<-c.rpc.DisconnectNotify()
	c.stop()
	c.mu.Lock()
	c.closed = true
	runs := c.runs
	c.runs = nil
	c.mu.Unlock()
	err := Lost.Wrap(c.Err())
	for _, r := range runs {
		r.fail(err)
	}
	c.o.Metrics.open.Dec()
	close(c.done)
}

// heard takes in what came with a reply.
func (c *Client) heard(l Load, v Version, marks []Suspect) {
	c.news.Add(1)
	c.load.Store(&l)
	if l.Leaving {
		c.sayLeaving()
	}
	if len(marks) > 0 {
		c.o.Gossip.Merge(marks)
	}
	for old := c.settings.Load(); v > old && !c.settings.CompareAndSwap(old, v); old = c.settings.Load() {
	}
	if v > c.o.Gossip.Version() && c.fetching.CompareAndSwap(false, true) {
		go c.saw(v)
	}
}

func (c *Client) saw(v Version) {
	defer c.fetching.Store(false)
	c.o.Gossip.ObserveVersion(v, func(ctx context.Context, have Version) (SettingsResult, error) {
		var r SettingsResult
		err := c.Call(ctx, MethodSettings, SettingsParams{Have: have}, &r)
		return r, err
	})
}

func (c *Client) sayLeaving() {
	c.left.Store(true)
	c.leavingOnce.Do(func() { close(c.leaving) })
}

// acknowledgeLeaving answers once no run can follow on this link.
func (c *Client) acknowledgeLeaving(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	c.handover.Lock()
	c.sayLeaving()
	c.handover.Unlock()
	if !r.Notif {
		_ = conn.Reply(ctx, r.ID, struct{}{})
	}
}

// Peer returns what the agent said in the handshake.
func (c *Client) Peer() HelloResult { return c.peer }

// Load returns the latest load on any reply.
func (c *Client) Load() Load { return *c.load.Load() }

// Settings returns the highest settings version that the agent has named.
func (c *Client) Settings() Version { return c.settings.Load() }

// Settle asks what became of an attempt, and closes it if it never ran.
func (c *Client) Settle(ctx context.Context, p SettleParams) (SettleResult, error) {
	if p.AgentBoot == "" {
		p.AgentBoot = c.peer.AgentBoot
	}
	var r SettleResult
	err := c.Call(ctx, MethodSettle, p, &r)
	return r, err
}

// Cancel tells the agent that nobody waits for the attempt any more.
func (c *Client) Cancel(id contract.AttemptID) {
	_ = c.s.send(&outMessage{Method: MethodCancel, Params: CancelParams{Attempt: id}})
}

// Call calls any other method.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	c.outstanding.Add(1)
	defer c.outstanding.Add(-1)
	w, err := c.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return c.sendError(err)
	}
	err = w.Wait(ctx, result)
	var refusal *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		return Refused.New("%s: %s", method, refusal.Message)
	case errors.Is(err, jsonrpc2.ErrClosed):
		return Lost.Wrap(c.Err())
	}
	return err
}

// sendError classes the failure of a write by jsonrpc2, which does not say
// whether the message reached the stream before the connection closed.
func (c *Client) sendError(err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return Lost.Wrap(c.Err())
	}
	return NotSent.Wrap(err)
}

// Leaving is closed when the agent says that it is going: no new work.
func (c *Client) Leaving() <-chan struct{} { return c.leaving }

// Done is closed when the link has failed or was closed.
func (c *Client) Done() <-chan struct{} { return c.done }

// Err returns why Done was closed.
func (c *Client) Err() error {
	if err := c.s.failure(); err != nil {
		return err
	}
	return Error.New("connection ended")
}

// Close closes the link; outstanding calls return Lost.
func (c *Client) Close() error {
	_ = c.rpc.Close()
	c.wg.Wait()
	return nil
}

// clientHandler serves what an agent sends on its own account.
type clientHandler struct{ c *Client }

// Handle implements jsonrpc2.Handler.
func (h clientHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	switch r.Method {
	case MethodLeaving:
		go h.c.acknowledgeLeaving(ctx, conn, r)
	case MethodSettings:
		go answerSettings(ctx, conn, r, h.c.o.Gossip)
	default:
		go refuse(ctx, conn, r, jsonrpc2.CodeMethodNotFound, "no such method")
	}
}
