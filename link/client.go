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

// Client is the entry's side of a link to one agent. A Client never reconnects: after Done is
// closed, its owner dials a new one.
type Client struct {
	options ClientOptions
	addr    string
	peer    HelloResult
	stream  *stream
	rpc     *jsonrpc2.Conn

	load        atomic.Pointer[Load]
	settings    atomic.Uint64
	fetching    atomic.Bool
	outstanding atomic.Int64
	// stateUpdates counts the messages that carried the peer's state.
	stateUpdates atomic.Uint64

	leaving     chan struct{}
	leavingOnce sync.Once
	// leavingMu is read-locked while isLeaving is checked and a run is sent, so that no run follows
	// once the agent's leaving message has been acknowledged.
	leavingMu sync.RWMutex
	isLeaving atomic.Bool

	done chan struct{}
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	pending map[contract.AttemptID]*pendingRun
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
	if err := c.handshake(ctx); err != nil {
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
		options: o,
		addr:    addr,
		leaving: make(chan struct{}),
		done:    make(chan struct{}),
		pending: map[contract.AttemptID]*pendingRun{},
	}
	c.load.Store(&Load{})
	c.stream = newStream(conn, streamOptions{
		maxFrame: o.MaxFrameBytes, maxPending: o.MaxPendingBytes,
		writeTimeout: o.WriteTimeout, metrics: o.Metrics,
	})
	c.stream.route = c.route
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.rpc = jsonrpc2.NewConn(ctx, c.stream, clientHandler{c}, jsonrpc2.SetLogger(telemetry.RPCLogger{Logger: o.Logger}))
	o.Metrics.openLinks.Inc()
	c.wg.Go(c.failPending)
	return c
}

func (c *Client) handshake(ctx context.Context) error {
	p := c.options.Hello
	p.Settings = c.options.Gossip.Version()
	if err := c.Call(ctx, MethodHello, p, &c.peer); err != nil {
		return err
	}
	c.applyState(c.peer.Load, c.peer.Settings, nil)
	return nil
}

// failPending fails every outstanding call once the connection has closed.
func (c *Client) failPending() {
	<-c.rpc.DisconnectNotify()
	c.stop()
	c.mu.Lock()
	c.closed = true
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	err := Lost.Wrap(c.Err())
	for _, r := range pending {
		r.fail(err)
	}
	c.options.Metrics.openLinks.Dec()
	close(c.done)
}

// applyState records the load, the settings version and the marks that a message carried, and
// fetches the settings if the peer has a newer version.
func (c *Client) applyState(l Load, v Version, marks []Suspect) {
	c.stateUpdates.Add(1)
	c.load.Store(&l)
	if l.Leaving {
		c.markLeaving()
	}
	if len(marks) > 0 {
		c.options.Gossip.Merge(marks)
	}
	for old := c.settings.Load(); v > old && !c.settings.CompareAndSwap(old, v); old = c.settings.Load() {
	}
	if v > c.options.Gossip.Version() && c.fetching.CompareAndSwap(false, true) {
		go c.observeVersion(v)
	}
}

func (c *Client) observeVersion(v Version) {
	defer c.fetching.Store(false)
	c.options.Gossip.ObserveVersion(v, func(ctx context.Context, have Version) (SettingsResult, error) {
		var r SettingsResult
		err := c.Call(ctx, MethodSettings, SettingsParams{Have: have}, &r)
		return r, err
	})
}

func (c *Client) markLeaving() {
	c.isLeaving.Store(true)
	c.leavingOnce.Do(func() { close(c.leaving) })
}

// acknowledgeLeaving answers the agent's leaving message once no further run can be sent on this
// link.
func (c *Client) acknowledgeLeaving(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	c.leavingMu.Lock()
	c.markLeaving()
	c.leavingMu.Unlock()
	if !r.Notif {
		_ = conn.Reply(ctx, r.ID, struct{}{})
	}
}

// Peer returns the agent's answer to the handshake.
func (c *Client) Peer() HelloResult { return c.peer }

// Load returns the load that the agent reported last.
func (c *Client) Load() Load { return *c.load.Load() }

// Settings returns the highest settings version that the agent has reported.
func (c *Client) Settings() Version { return c.settings.Load() }

// Settle queries the outcome of an attempt. An attempt that never ran is closed, so that it never
// will.
func (c *Client) Settle(ctx context.Context, p SettleParams) (SettleResult, error) {
	if p.AgentBoot == "" {
		p.AgentBoot = c.peer.AgentBoot
	}
	var r SettleResult
	err := c.Call(ctx, MethodSettle, p, &r)
	return r, err
}

// Cancel tells the agent that no caller waits for the attempt any longer. It does not report
// whether the message was sent.
func (c *Client) Cancel(id contract.AttemptID) {
	_ = c.stream.send(&outgoingMessage{Method: MethodCancel, Params: CancelParams{Attempt: id}})
}

// Call calls a method outside the data path and decodes the answer into result.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	c.outstanding.Add(1)
	defer c.outstanding.Add(-1)
	call, err := c.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return c.classifySendError(err)
	}
	err = call.Wait(ctx, result)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rpcErr):
		return Refused.New("%s: %s", method, rpcErr.Message)
	case errors.Is(err, jsonrpc2.ErrClosed):
		return Lost.Wrap(c.Err())
	}
	return err
}

// classifySendError returns the error of a write by jsonrpc2. jsonrpc2 does not say whether the
// message reached the stream before the connection closed, so a closed connection counts as Lost.
func (c *Client) classifySendError(err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return Lost.Wrap(c.Err())
	}
	return NotSent.Wrap(err)
}

// Leaving returns a channel that is closed when the agent announces that it is leaving and takes no
// new work.
func (c *Client) Leaving() <-chan struct{} { return c.leaving }

// Done returns a channel that is closed when the link has failed or was closed.
func (c *Client) Done() <-chan struct{} { return c.done }

// Err returns the reason for which Done was closed.
func (c *Client) Err() error {
	if err := c.stream.failure(); err != nil {
		return err
	}
	return Error.New("connection ended")
}

// Close closes the link. Outstanding calls return an error of class Lost.
func (c *Client) Close() error {
	_ = c.rpc.Close()
	c.wg.Wait()
	return nil
}

// clientHandler serves the requests that an agent initiates.
type clientHandler struct{ c *Client }

// Handle implements jsonrpc2.Handler.
func (h clientHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	switch r.Method {
	case MethodLeaving:
		go h.c.acknowledgeLeaving(ctx, conn, r)
	case MethodSettings:
		go replySettings(ctx, conn, r, h.c.options.Gossip)
	default:
		go replyError(ctx, conn, r, jsonrpc2.CodeMethodNotFound, "no such method")
	}
}
