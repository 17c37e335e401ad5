package peers

import (
	"context"
	"encoding/json"
	"errors"
	"runtime"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/rollout"
)

// Link is a link to the dispatching entry.
type Link struct {
	// Peer identifies the dispatching entry.
	Peer Identity
	conn *jsonrpc2.Conn
	mesh *Mesh
	peer *peerLink
}

// Submit sends a job and waits for its outcome; until then onResults is called with
// results as they are produced. An error means that the link failed, the peer refused
// the call or ctx ended.
func (l *Link) Submit(ctx context.Context, j Job, onResults func([]dispatch.StageResults)) (Outcome, error) {
	l.mesh.setResultHandler(j.JobID(), onResults)
	defer l.mesh.setResultHandler(j.JobID(), nil)
	var o Outcome
	err := l.conn.Call(ctx, methodSubmit, j, &o)
	if err == nil {
		l.mesh.recordJobAnswer(l.peer, o)
		return o, nil
	}
	var refusal *jsonrpc2.Error
	if ctx.Err() == nil && !errors.As(err, &refusal) {
		l.mesh.markBroken(l.peer, l.conn)
	}
	return o, Error.Wrap(err)
}

// markBroken records that a link's connection failed before the ping loop notices it,
// so that calls of Dispatcher wait for a new connection in the meantime.
func (m *Mesh) markBroken(l *peerLink, conn *jsonrpc2.Conn) {
	m.mu.Lock()
	if l.conn == conn {
		l.conn, l.reconnecting = nil, true
	}
	m.mu.Unlock()
	// The reading side may not notice a failed write.
	if err := conn.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		m.o.Logger.Info("could not close a broken connection", "address", l.address, "error", err)
	}
}

// Cancel tells the dispatcher that nobody waits for the job any more.
func (l *Link) Cancel(id string, run int) { l.notify(methodCancel, JobParams{ID: id, Run: run}) }

// InputsRead tells the dispatcher that the job's engine has fetched the results.
func (l *Link) InputsRead(id string, run int) {
	l.notify(methodRelease, JobParams{ID: id, Run: run, InputsRead: true})
}

// Release tells the dispatcher that the job's results are not needed any more, and
// what is known of the job's engine. It reports whether the notification was sent.
func (l *Link) Release(id string, run int, r dispatch.EngineReport) bool {
	return l.notify(methodRelease, JobParams{ID: id, Run: run, EngineFailed: r.Failed, EngineLoad: encodeLoad(r.Load)})
}

// StoreOrigins passes origins of streams to the dispatcher, which writes them to the store soon after.
func (l *Link) StoreOrigins(ctx context.Context, records []origin.Record) error {
	return call(ctx, l.conn, pingTimeout, methodStoreOrigins, OriginRecords{Records: records}, nil)
}

// ReportRollouts reports on roll-outs to the dispatcher and returns its directions.
func (l *Link) ReportRollouts(ctx context.Context, reports []rollout.Report) ([]rollout.Direction, error) {
	var reply RolloutDirections
	params := RolloutReports{Incarnation: l.mesh.o.Self.Incarnation, Reports: reports}
	err := call(ctx, l.conn, pingTimeout, methodRollouts, params, &reply)
	return reply.Directions, err
}

// notify sends a notification and reports whether it was sent.
func (l *Link) notify(method string, params JobParams) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return l.conn.Notify(ctx, method, params) == nil
}

// timeoutSteps is the number of steps in which waitFor waits. A result passes through the run queue of this process
// about three times, fewer than a wait that times out.
const timeoutSteps = 9

// waitFor calls wait again until it returns another error than that of its context, for at most timeout, which is
// extended by as long as this process is late to run. Otherwise a process that is short of processor time would
// blame the link for its own delay, and the new connections would leave it even less.
func waitFor(ctx context.Context, timeout time.Duration, wait func(context.Context) error) error {
	var err error
	for range timeoutSteps {
		// An expired timer goes ahead of the run queue. The end of the queue is behind the goroutines
		// that have data to read.
		runtime.Gosched()
		stepCtx, cancel := context.WithTimeout(ctx, timeout/timeoutSteps)
		err = wait(stepCtx)
		cancel()
		if ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			break
		}
	}
	return err
}

// call calls a method and waits for the result, see waitFor.
func call(ctx context.Context, conn *jsonrpc2.Conn, timeout time.Duration, method string, params, result any) error {
	waiter, err := conn.DispatchCall(ctx, method, params)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(waitFor(ctx, timeout, func(ctx context.Context) error { return waiter.Wait(ctx, result) }))
}

// setResultHandler sets the function that receives a job's results; nil removes it.
func (m *Mesh) setResultHandler(id string, onResults func([]dispatch.StageResults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if onResults == nil {
		delete(m.resultHandlers, id)
		return
	}
	m.resultHandlers[id] = onResults
}

// notificationHandler handles notifications from the peer of a link that this entry
// dialled. Calls are refused, as only the dialling side makes calls.
type notificationHandler struct{ m *Mesh }

// Handle implements jsonrpc2.Handler.
func (h notificationHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		if err := conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}); err != nil {
			h.m.o.Logger.Warn("could not refuse a call from a peer", "method", r.Method, "error", err)
		}
		return
	}
	if r.Method != methodResults || r.Params == nil {
		return
	}
	var notification JobResults
	if err := json.Unmarshal(*r.Params, &notification); err != nil {
		h.m.o.Logger.Warn("malformed job results from a peer", "error", err)
		return
	}
	h.m.mu.Lock()
	onResults := h.m.resultHandlers[dispatch.JobID(notification.ID, notification.Run)]
	h.m.mu.Unlock()
	if onResults != nil {
		onResults(notification.Results)
	}
}
