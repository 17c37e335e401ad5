package peers

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/dispatch"
)

// Link is a link to the dispatching entry.
type Link struct {
	Peer Identity
	conn *jsonrpc2.Conn
	mesh *Mesh
	peer *peerLink
}

// Submit sends a job and waits for its outcome; told is called with results that
// were made until then. An error means that the link failed or ctx ended.
func (l *Link) Submit(ctx context.Context, j Job, told func([]dispatch.StageResults)) (Outcome, error) {
	l.mesh.setResultHandler(j.ID, told)
	defer l.mesh.setResultHandler(j.ID, nil)
	var o Outcome
	err := l.conn.Call(ctx, methodSubmit, j, &o)
	if err == nil {
		l.mesh.recordJobAnswer(l.peer)
		return o, nil
	}
	var refusal *jsonrpc2.Error
	if ctx.Err() == nil && !errors.As(err, &refusal) {
		l.mesh.markBroken(l.peer, l.conn)
	}
	return o, Error.Wrap(err)
}

// markBroken notes that a link's connection failed, before the link's own watch does:
// whoever asks for the peer meanwhile waits for a new one.
func (m *Mesh) markBroken(l *peerLink, conn *jsonrpc2.Conn) {
	m.mu.Lock()
	if l.conn == conn {
		l.conn, l.reconnecting = nil, true
	}
	m.mu.Unlock()
	// A write may have failed that the reading side does not notice.
	if err := conn.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		m.o.Logger.Info("failed connection not closed", "address", l.address, "error", err)
	}
}

// Cancel tells the dispatcher that nobody waits for the job.
func (l *Link) Cancel(id string) { l.notify(methodCancel, JobParams{ID: id}) }

// Release tells the dispatcher that the job's results were read. It reports
// false when the link is lost.
func (l *Link) Release(id string, engineFailed bool) bool {
	return l.notify(methodRelease, JobParams{ID: id, EngineFailed: engineFailed})
}

func (l *Link) notify(method string, id JobParams) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return l.conn.Notify(ctx, method, id) == nil
}

func call(ctx context.Context, conn *jsonrpc2.Conn, timeout time.Duration, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return Error.Wrap(conn.Call(ctx, method, params, result))
}

// setResultHandler says who to setResultHandler of a job's results; nil for nobody any more.
func (m *Mesh) setResultHandler(id string, told func([]dispatch.StageResults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if told == nil {
		delete(m.resultHandlers, id)
		return
	}
	m.resultHandlers[id] = told
}

// notificationHandler takes what the other side of a link tells unasked; calls are refused, as
// only this side calls.
type notificationHandler struct{ m *Mesh }

// Handle implements jsonrpc2.Handler.
func (n notificationHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		if err := conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}); err != nil {
			n.m.o.Logger.Warn("call on a link not refused", "method", r.Method, "error", err)
		}
		return
	}
	if r.Method != methodResults || r.Params == nil {
		return
	}
	var made JobResults
	if err := json.Unmarshal(*r.Params, &made); err != nil {
		n.m.o.Logger.Warn("results of a job not read", "error", err)
		return
	}
	n.m.mu.Lock()
	told := n.m.resultHandlers[made.ID]
	n.m.mu.Unlock()
	if told != nil {
		told(made.Results)
	}
}
