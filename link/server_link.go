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

// serverLink is one accepted connection.
type serverLink struct {
	srv      *Server
	s        *stream
	rpc      *jsonrpc2.Conn
	chunks   *chunker
	ctx      context.Context
	cancel   context.CancelFunc
	ready    chan struct{}
	greeted  atomic.Bool
	fetching atomic.Bool
}

func newServerLink(srv *Server, conn net.Conn) *serverLink {
	k := &serverLink{srv: srv, ready: make(chan struct{})}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.s = newStream(conn, streamOptions{
		maxFrame: srv.o.MaxFrameBytes, maxPending: srv.o.MaxPendingBytes,
		writeTimeout: srv.o.WriteTimeout, idleBound: srv.o.IdleTimeout, metrics: srv.o.Metrics,
	})
	k.s.route = k.route
	k.chunks = newChunker(srv.o.FlushInterval, k.s.send)
	return k
}

// serve handles the link until it ends.
func (k *serverLink) serve() {
	k.srv.o.Metrics.open.Inc()
	defer k.srv.o.Metrics.open.Dec()
	defer k.cancel()
	k.rpc = jsonrpc2.NewConn(k.ctx, k.s, serverHandler{k}, jsonrpc2.SetLogger(telemetry.RPCLogger{Logger: k.srv.o.Logger}))
	close(k.ready)
	k.chunks.loop(k.rpc.DisconnectNotify())
}

// leaveBound is how long a peer may take to acknowledge the leaving word.
const leaveBound = 2 * time.Second

// leave tells the peer that no new work is taken. Once the peer has answered,
// no run follows on this link.
func (k *serverLink) leave() {
	defer k.srv.end()
	ctx, cancel := context.WithTimeout(k.ctx, leaveBound)
	defer cancel()
	select {
	case <-k.ready:
		_ = k.rpc.Call(ctx, MethodLeaving, struct{}{}, nil)
	case <-ctx.Done():
	}
}

// route takes runs, takeovers and cancellations; all else is jsonrpc2's.
func (k *serverLink) route(e *envelope) (bool, error) {
	switch e.Method {
	case MethodRun, MethodAttach, MethodCancel:
	default:
		return false, nil
	}
	if !k.greeted.Load() {
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
	k.srv.h.Cancel(p)
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
	k.heard(p.Settings, marks)
	k.srv.begin()
	go func() {
		defer k.srv.end()
		k.reply(id, k.srv.h.Run(k.ctx, p, k.emitter(id, 0)))
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
	k.srv.begin()
	go func() {
		defer k.srv.end()
		k.reply(id, k.srv.h.Attach(k.ctx, p, k.emitter(id, p.From)))
	}()
	return nil
}

// emitter numbers the tokens of one attempt.
func (k *serverLink) emitter(id contract.AttemptID, from int) func(string) {
	n := from
	return func(token string) {
		k.chunks.add(id, n, token)
		n++
	}
}

// reply sends the result after the last token.
func (k *serverLink) reply(id contract.AttemptID, r RunResult) {
	r.Attempt = id
	r.Settings = k.srv.o.Gossip.Version()
	k.chunks.flush()
	_ = k.s.send(&outMessage{ID: string(id), Result: r})
}

// heard takes in the settings version and the marks of the peer.
func (k *serverLink) heard(v Version, marks []Suspect) {
	if len(marks) > 0 {
		k.srv.o.Gossip.Merge(marks)
	}
	if v > k.srv.o.Gossip.Version() && k.fetching.CompareAndSwap(false, true) {
		go k.saw(v)
	}
}

func (k *serverLink) saw(v Version) {
	defer k.fetching.Store(false)
	k.srv.o.Gossip.ObserveVersion(v, k.ask)
}

// ask asks the peer for the settings above have.
func (k *serverLink) ask(ctx context.Context, have Version) (SettingsResult, error) {
	select {
	case <-k.ready: // the peer's first message may come before rpc is set
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
	if r.Method != MethodHello && !k.greeted.Load() {
		k.s.fail(Error.New("%s before the handshake", r.Method))
		return
	}
	switch r.Method {
	case MethodHello:
		answer(ctx, conn, r, k.hello)
	case MethodPing:
		go answer(ctx, conn, r, k.ping)
	case MethodSettle:
		go answer(ctx, conn, r, func(p SettleParams) (SettleResult, error) {
			return k.srv.h.Settle(ctx, p), nil
		})
	case MethodSettings:
		go answerSettings(ctx, conn, r, k.srv.o.Gossip)
	case MethodLeaving:
	default:
		m, ok := k.srv.methods[r.Method]
		if !ok {
			go refuse(ctx, conn, r, jsonrpc2.CodeMethodNotFound, "no such method")
			return
		}
		go answer(ctx, conn, r, func(p json.RawMessage) (any, error) { return m(ctx, p) })
	}
}

func (k *serverLink) hello(p HelloParams) (HelloResult, error) {
	r, err := k.srv.h.Hello(p)
	if err != nil {
		return r, err
	}
	k.greeted.Store(true)
	r.Settings = k.srv.o.Gossip.Version()
	k.heard(p.Settings, nil)
	return r, nil
}

func (k *serverLink) ping(p PingParams) (PingResult, error) {
	k.heard(p.Settings, p.Suspects)
	return k.state(), nil
}

func (k *serverLink) state() PingResult {
	g := k.srv.o.Gossip
	return PingResult{Settings: g.Version(), Load: k.srv.h.Load(), Suspects: g.Suspects()}
}

// spread tells the peer the state. A failed send means a failed link.
func (k *serverLink) spread() { _ = k.s.send(&outMessage{Method: MethodState, Params: k.state()}) }

func answerSettings(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, g Gossip) {
	answer(ctx, conn, r, func(p SettingsParams) (SettingsResult, error) { return g.Changes(p.Have) })
}

// answer decodes the parameters, calls f and replies. A failed reply means a
// failed link.
func answer[P, R any](ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, f func(P) (R, error)) {
	var p P
	if r.Params != nil {
		if err := fastjson.Unmarshal(*r.Params, &p); err != nil {
			refuse(ctx, conn, r, jsonrpc2.CodeInvalidParams, err.Error())
			return
		}
	}
	res, err := f(p)
	if err != nil {
		refuse(ctx, conn, r, jsonrpc2.CodeInternalError, err.Error())
		return
	}
	if !r.Notif {
		_ = conn.Reply(ctx, r.ID, res)
	}
}

func refuse(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, code int64, message string) {
	if !r.Notif {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: code, Message: message})
	}
}
