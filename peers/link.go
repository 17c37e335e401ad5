package peers

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Link is a link to the dispatching entry.
type Link struct {
	Peer Identity
	conn *jsonrpc2.Conn
	// answered takes note of an answer.
	answered func()
}

// Submit sends a job and waits for its outcome. An error means that the link
// failed or ctx ended.
func (l *Link) Submit(ctx context.Context, j Job) (Outcome, error) {
	var o Outcome
	err := l.conn.Call(ctx, methodSubmit, j, &o)
	if err == nil {
		l.answered()
	}
	return o, Error.Wrap(err)
}

// Cancel tells the dispatcher that nobody waits for the job.
func (l *Link) Cancel(id string) { l.notify(methodCancel, JobID{ID: id}) }

// Release tells the dispatcher that the job's results were read. It reports
// false when the link is lost.
func (l *Link) Release(id string, engineFailed bool) bool {
	return l.notify(methodRelease, JobID{ID: id, EngineFailed: engineFailed})
}

func (l *Link) notify(method string, id JobID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return l.conn.Notify(ctx, method, id) == nil
}

func call(ctx context.Context, conn *jsonrpc2.Conn, timeout time.Duration, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return Error.Wrap(conn.Call(ctx, method, params, result))
}

// refuseCalls answers calls on links that only this side calls on.
type refuseCalls struct{}

func (refuseCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method})
	}
}
