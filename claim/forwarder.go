package claim

import (
	"cmp"
	"context"
	"time"

	"github.com/azurelead/azurelead/link"
)

// CallFunc sends one call to the agent at addr and decodes the response into result.
type CallFunc func(ctx context.Context, addr, method string, params, result any) error

// ForwarderOptions configures a Forwarder.
type ForwarderOptions struct {
	// Ledger is used if no writer can be reached, or none is live.
	Ledger *Ledger
	// Writers returns the live agents that serve claims to other processes. It is nil
	// if there are none.
	Writers func() []Candidate
	// Call sends an operation to a writer.
	Call CallFunc
	// WriterTimeout bounds one call to a writer.
	WriterTimeout time.Duration
	// MaxDeferred is the largest number of operations that are queued for a retry.
	MaxDeferred int
}

// Defaults of ForwarderOptions.
const (
	defaultWriterTimeout = 600 * time.Millisecond
	defaultMaxDeferred   = 4096
)

// Forwarder implements Claims in an entry. It sends each operation to the preferred
// writer of the key's shard, so that operations of all entries are batched into common
// updates. If no writer answers, it uses the store directly. The same attempt may be
// requested through several writers: it is granted at most once, and abandoning it
// applies to all of them.
type Forwarder struct {
	options     ForwarderOptions
	writerCache writerCache
	retryQueue  *retryQueue
}

var _ Claims = (*Forwarder)(nil)

// NewForwarder returns a forwarder. Its Close method stops its background work.
func NewForwarder(o ForwarderOptions) *Forwarder {
	o.WriterTimeout = cmp.Or(o.WriterTimeout, defaultWriterTimeout)
	o.MaxDeferred = cmp.Or(o.MaxDeferred, defaultMaxDeferred)
	f := &Forwarder{options: o, writerCache: writerCache{liveWriters: o.Writers}}
	f.retryQueue = newRetryQueue(o.MaxDeferred, f.send)
	return f
}

// Close stops the background work. It does not close the ledger.
func (f *Forwarder) Close() { f.retryQueue.close() }

// Acquire implements Claims. If it fails while the request may still take effect, the
// attempt is abandoned in the store as soon as the store can be reached. Until then the
// claim may be held by an attempt that is never sent to an agent.
func (f *Forwarder) Acquire(ctx context.Context, r Request) (Decision, error) {
	reply := f.send(ctx, Message{Action: ActionAcquire, Request: r})
	if reply.Ambiguous {
		f.retryQueue.add(Message{Action: ActionRelease, Request: r})
	}
	return reply.Decision, reply.err()
}

// Finish implements Claims. A failed Finish is retried in the background, since it is
// safe to record a true outcome late.
func (f *Forwarder) Finish(ctx context.Context, r Request, o Outcome) error {
	return f.sendOrDefer(ctx, Message{Action: ActionFinish, Request: r, Outcome: &o})
}

// Release implements Claims. Like Finish, it is retried in the background after a failure.
func (f *Forwarder) Release(ctx context.Context, r Request) error {
	return f.sendOrDefer(ctx, Message{Action: ActionRelease, Request: r})
}

func (f *Forwarder) sendOrDefer(ctx context.Context, m Message) error {
	m.Request.Candidates = nil
	reply := f.send(ctx, m)
	if reply.Failure == FailureUnavailable {
		f.retryQueue.add(m)
	}
	return reply.err()
}

// send tries the shard's writers in order and then the ledger, until one of them answers.
func (f *Forwarder) send(ctx context.Context, m Message) Reply {
	ambiguous := false
	for _, w := range f.writersFor(ctx, m.Request) {
		reply, err := f.sendToWriter(ctx, w, m)
		if err == nil && reply.Failure != FailureUnavailable {
			return reply
		}
		ambiguous = ambiguous || err != nil || reply.Ambiguous
		if err == nil || ctx.Err() != nil {
			break // the writer could not use the store, and neither could another writer
		}
	}
	if err := ctx.Err(); err != nil {
		return Reply{Failure: FailureUnavailable, Ambiguous: ambiguous, Detail: err.Error()}
	}
	reply := f.options.Ledger.serve(ctx, m)
	reply.Ambiguous = reply.Failure != "" && (reply.Ambiguous || ambiguous)
	return reply
}

func (f *Forwarder) sendToWriter(ctx context.Context, w Candidate, m Message) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.WriterTimeout)
	defer cancel()
	var reply Reply
	err := f.options.Call(ctx, w.Addr, link.MethodClaim, m, &reply)
	return reply, err
}
