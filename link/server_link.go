package link

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	fastjson "github.com/segmentio/encoding/json"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/telemetry"
)

// serverLink is an accepted connection.
type serverLink struct {
	srv           *Server
	stream        *stream
	rpc           *jsonrpc2.Conn
	chunks        *chunkBatcher
	ctx           context.Context
	cancel        context.CancelFunc
	ready         chan struct{}
	handshakeDone atomic.Bool
	fetching      atomic.Bool
}

func newServerLink(srv *Server, conn net.Conn) *serverLink {
	k := &serverLink{srv: srv, ready: make(chan struct{})}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.stream = newStream(conn, streamOptions{
		maxFrame: srv.options.MaxFrameBytes, maxPending: srv.options.MaxPendingBytes,
		writeTimeout: srv.options.WriteTimeout, idleTimeout: srv.options.IdleTimeout, metrics: srv.options.Metrics,
	})
	k.stream.route = k.route
	k.chunks = newChunkBatcher(srv.options.FlushInterval, k.stream.send)
	return k
}

// serve handles the link until it ends.
func (k *serverLink) serve() {
	k.srv.options.Metrics.openLinks.Inc()
	defer k.srv.options.Metrics.openLinks.Dec()
	defer k.cancel()
	k.rpc = jsonrpc2.NewConn(k.ctx, k.stream, serverHandler{k}, jsonrpc2.SetLogger(telemetry.RPCLogger{Logger: k.srv.options.Logger}))
	close(k.ready)
	k.chunks.loop(k.rpc.DisconnectNotify())
}

// leavingAckTimeout is the time that a peer has to acknowledge the leaving message.
const leavingAckTimeout = 2 * time.Second

// announceLeaving tells the peer that this agent takes no new work. Once the peer has answered, it
// sends no further run on this link.
func (k *serverLink) announceLeaving() {
	defer k.srv.endCall()
	ctx, cancel := context.WithTimeout(k.ctx, leavingAckTimeout)
	defer cancel()
	select {
	case <-k.ready:
		_ = k.rpc.Call(ctx, MethodLeaving, struct{}{}, nil)
	case <-ctx.Done():
	}
}

// route handles runs, takeovers and cancellations. It leaves all other messages to jsonrpc2.
func (k *serverLink) route(e *envelope) (bool, error) {
	switch e.Method {
	case MethodRun, MethodAttach, MethodCancel:
	default:
		return false, nil
	}
	if !k.handshakeDone.Load() {
		return true, Error.New("%s before the handshake", e.Method)
	}
	id, ok := e.stringID()
	if !ok && e.Method != MethodCancel {
		return true, Error.New("%s without an attempt id", e.Method)
	}
	switch e.Method {
	case MethodRun:
		return true, k.run(contract.AttemptID(id), e)
	case MethodAttach:
		return true, k.attach(contract.AttemptID(id), e)
	}
	var p CancelParams
	if err := fastjson.Unmarshal(e.Params, &p); err != nil {
		return true, Error.Wrap(err)
	}
	k.srv.handler.Cancel(p)
	return true, nil
}

func (k *serverLink) run(id contract.AttemptID, e *envelope) error {
	var p RunParams
	if err := fastjson.Unmarshal(e.Params, &p); err != nil {
		return Error.Wrap(err)
	}
	if p.Attempt != id {
		return Error.New("run of attempt %q under the id %q", p.Attempt, id)
	}
	var marks []Suspect
	if p.Mark != nil {
		marks = []Suspect{*p.Mark}
	}
	k.applyPeerState(p.Settings, marks)
	k.srv.beginCall()
	go func() {
		defer k.srv.endCall()
		k.reply(id, k.srv.handler.Run(k.ctx, p, k.emitter(id, 0)))
	}()
	return nil
}

func (k *serverLink) attach(id contract.AttemptID, e *envelope) error {
	var p AttachParams
	if err := fastjson.Unmarshal(e.Params, &p); err != nil {
		return Error.Wrap(err)
	}
	if p.Attempt != id || p.From < 0 {
		return Error.New("attach to attempt %q from %d under the id %q", p.Attempt, p.From, id)
	}
	k.srv.beginCall()
	go func() {
		defer k.srv.endCall()
		k.reply(id, k.srv.handler.Attach(k.ctx, p, k.emitter(id, p.From)))
	}()
	return nil
}

// emitter returns a function that queues the tokens of one attempt. The first token gets the index
// from.
func (k *serverLink) emitter(id contract.AttemptID, from int) func(string) {
	n := from
	return func(token string) {
		k.chunks.add(id, n, token)
		n++
	}
}

// reply sends the result, after all tokens of the attempt.
func (k *serverLink) reply(id contract.AttemptID, r RunResult) {
	r.Attempt = id
	r.Settings = k.srv.options.Gossip.Version()
	k.chunks.flush()
	_ = k.stream.send(&outgoingMessage{ID: string(id), Result: r})
}

// applyPeerState records the settings version and the marks of the peer, and fetches the settings
// if the peer has a newer version.
func (k *serverLink) applyPeerState(v Version, marks []Suspect) {
	if len(marks) > 0 {
		k.srv.options.Gossip.Merge(marks)
	}
	if v > k.srv.options.Gossip.Version() && k.fetching.CompareAndSwap(false, true) {
		go k.observeVersion(v)
	}
}

func (k *serverLink) observeVersion(v Version) {
	defer k.fetching.Store(false)
	k.srv.options.Gossip.ObserveVersion(v, k.fetchSettings)
}

// fetchSettings asks the peer for the settings changes after version have.
func (k *serverLink) fetchSettings(ctx context.Context, have Version) (SettingsResult, error) {
	select {
	case <-k.ready: // rpc may not be set yet when the peer's first message arrives
	case <-ctx.Done():
		return SettingsResult{}, Error.Wrap(ctx.Err())
	}
	var r SettingsResult
	err := k.rpc.Call(ctx, MethodSettings, SettingsParams{Have: have}, &r)
	return r, Error.Wrap(err)
}

// serverHandler serves the control calls of one link.
type serverHandler struct{ k *serverLink }

// Handle implements jsonrpc2.Handler.
func (h serverHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	k := h.k
	if r.Method != MethodHello && !k.handshakeDone.Load() {
		k.stream.fail(Error.New("%s before the handshake", r.Method))
		return
	}
	switch r.Method {
	case MethodHello:
		respond(ctx, conn, r, k.handleHello)
	case MethodPing:
		go respond(ctx, conn, r, k.handlePing)
	case MethodSettle:
		go respond(ctx, conn, r, func(p SettleParams) (SettleResult, error) {
			return k.srv.handler.Settle(ctx, p), nil
		})
	case MethodSettings:
		go replySettings(ctx, conn, r, k.srv.options.Gossip)
	case MethodLeaving:
	default:
		m, ok := k.srv.methods[r.Method]
		if !ok {
			go replyError(ctx, conn, r, jsonrpc2.CodeMethodNotFound, "no such method")
			return
		}
		go respond(ctx, conn, r, func(p json.RawMessage) (any, error) { return m(ctx, p) })
	}
}

func (k *serverLink) handleHello(p HelloParams) (HelloResult, error) {
	r, err := k.srv.handler.Hello(p)
	if err != nil {
		return r, err
	}
	k.handshakeDone.Store(true)
	r.Settings = k.srv.options.Gossip.Version()
	k.applyPeerState(p.Settings, nil)
	return r, nil
}

func (k *serverLink) handlePing(p PingParams) (PingResult, error) {
	k.applyPeerState(p.Settings, p.Suspects)
	return k.state(), nil
}

func (k *serverLink) state() PingResult {
	g := k.srv.options.Gossip
	return PingResult{Settings: g.Version(), Load: k.srv.handler.Load(), Suspects: g.Suspects()}
}

// sendState sends the current state to the peer. A failed send means that the link has failed.
func (k *serverLink) sendState() {
	_ = k.stream.send(&outgoingMessage{Method: MethodState, Params: k.state()})
}

func replySettings(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, g Gossip) {
	respond(ctx, conn, r, func(p SettingsParams) (SettingsResult, error) { return g.Changes(p.Have) })
}

// respond decodes the parameters, calls f and replies. A failed reply means that the link has
// failed.
func respond[P, R any](ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, f func(P) (R, error)) {
	var p P
	if r.Params != nil {
		if err := fastjson.Unmarshal(*r.Params, &p); err != nil {
			replyError(ctx, conn, r, jsonrpc2.CodeInvalidParams, err.Error())
			return
		}
	}
	res, err := f(p)
	if err != nil {
		replyError(ctx, conn, r, jsonrpc2.CodeInternalError, err.Error())
		return
	}
	if !r.Notif {
		_ = conn.Reply(ctx, r.ID, res)
	}
}

func replyError(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, code int64, message string) {
	if !r.Notif {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: code, Message: message})
	}
}
