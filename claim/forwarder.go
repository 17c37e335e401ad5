package claim

import (
	"cmp"
	"context"
	"time"

	"github.com/azurelead/azurelead/link"
)

// CallFunc sends one call to an agent and waits for its answer.
type CallFunc func(ctx context.Context, addr, method string, params, result any) error

// ForwarderOptions configures a Forwarder.
type ForwarderOptions struct {
	// Ledger is used when no writer can be reached, or none is live.
	Ledger *Ledger
	// Writers returns the live agents that write for others; nil for none.
	Writers func() []Candidate
	// Call reaches a writer.
	Call CallFunc
	// WriterTimeout bounds the wait for one writer.
	WriterTimeout time.Duration
	// MaxDeferred bounds the operations that wait for the store to come back.
	MaxDeferred int
}

// Defaults of ForwarderOptions.
const (
	defaultPathTimeout = 600 * time.Millisecond
	defaultDeferred    = 4096
)

// Forwarder is the Claims of an entry. It sends each operation to the usual
// writer of the key's shard, so that the claims of all entries share updates,
// and falls back to the store itself. The same attempt may be asked for over
// several paths: it is granted at most once, and given up on all of them.
type Forwarder struct {
	options  ForwarderOptions
	routes   routes
	deferred *deferred
}

var _ Claims = (*Forwarder)(nil)

// NewForwarder returns a forwarder. Close it to stop its background work.
func NewForwarder(o ForwarderOptions) *Forwarder {
	o.WriterTimeout = cmp.Or(o.WriterTimeout, defaultPathTimeout)
	o.MaxDeferred = cmp.Or(o.MaxDeferred, defaultDeferred)
	f := &Forwarder{options: o, routes: routes{writers: o.Writers}}
	f.deferred = newDeferred(o.MaxDeferred, f.ask)
	return f
}

// Close stops the background work. The ledger stays open.
func (f *Forwarder) Close() { f.deferred.close() }

// Acquire implements Claims. When it fails with the request's effect open,
// the attempt is given up in the store as soon as that can be reached; until
// then the claim is held by an attempt that no agent will ever be sent.
func (f *Forwarder) Acquire(ctx context.Context, r Request) (Decision, error) {
	reply := f.ask(ctx, Message{Action: ActionAcquire, Request: r})
	if reply.Ambiguous {
		f.deferred.add(Message{Action: ActionRelease, Request: r})
	}
	return reply.Decision, reply.err()
}

// Finish implements Claims. A failed Finish is tried again in the background:
// recording a true outcome late does no harm.
func (f *Forwarder) Finish(ctx context.Context, r Request, o Outcome) error {
	return f.settle(ctx, Message{Action: ActionFinish, Request: r, Outcome: &o})
}

// Release implements Claims, and like Finish goes on trying after a failure.
func (f *Forwarder) Release(ctx context.Context, r Request) error {
	return f.settle(ctx, Message{Action: ActionRelease, Request: r})
}

func (f *Forwarder) settle(ctx context.Context, m Message) error {
	m.Request.Candidates = nil
	reply := f.ask(ctx, m)
	if reply.Failure == FailureUnavailable {
		f.deferred.add(m)
	}
	return reply.err()
}

// ask tries the paths in turn until one answers.
func (f *Forwarder) ask(ctx context.Context, m Message) Reply {
	open := false
	for _, w := range f.writersOf(ctx, m.Request) {
		reply, err := f.askWriter(ctx, w, m)
		if err == nil && reply.Failure != FailureUnavailable {
			return reply
		}
		open = open || err != nil || reply.Ambiguous
		if err == nil || ctx.Err() != nil {
			break // the store failed the writer; another writer would meet the same
		}
	}
	if err := ctx.Err(); err != nil {
		return Reply{Failure: FailureUnavailable, Ambiguous: open, Detail: err.Error()}
	}
	reply := f.options.Ledger.serve(ctx, m)
	reply.Ambiguous = reply.Failure != "" && (reply.Ambiguous || open)
	return reply
}

func (f *Forwarder) askWriter(ctx context.Context, w Candidate, m Message) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.WriterTimeout)
	defer cancel()
	var reply Reply
	err := f.options.Call(ctx, w.Addr, link.MethodClaim, m, &reply)
	return reply, err
}
