package claim

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/azurelead/azurelead/platform"
)

// Ledger stores claims in the platform's store. Any number of ledgers may write
// concurrently, since each update of a shard is conditional on the version of the
// head that it is based on.
type Ledger struct {
	options Options
	store   *storeClient
	metrics *metrics
	wg      sync.WaitGroup

	// lock guards the fields below. It is a channel rather than a mutex, so that a
	// caller can stop waiting when its context ends while the layout is being read.
	lock   chan struct{}
	closed bool
	shards []*shard
}

// layout is the stored object that determines how keys are distributed over shards.
type layout struct {
	Shards int `json:"shards"`
}

// NewLedger returns a ledger. It makes no store calls before its first operation.
func NewLedger(o Options) *Ledger {
	o = o.withDefaults()
	m := newMetrics(o.Metrics)
	return &Ledger{options: o, store: newStoreClient(o, m), metrics: m, lock: make(chan struct{}, 1)}
}

// Close rejects further operations and waits for the updates in progress.
func (l *Ledger) Close() {
	l.lock <- struct{}{}
	l.closed = true
	for _, s := range l.shards {
		s.close()
	}
	<-l.lock
	l.wg.Wait()
}

// StoreDown reports whether operations are refused immediately because the store
// is known to be down.
func (l *Ledger) StoreDown() bool { return l.store.storeDown() }

// execute applies one operation and waits for its result. An error of class
// ambiguous means that the operation may still take effect.
func (l *Ledger) execute(ctx context.Context, a Action, r Request, o Outcome) (Decision, error) {
	op := newOperation(a, r, o.bounded(l.options.MaxOutcomeBytes))
	if op.size-len(op.outcome.Body) > maxRequestBytes {
		return Decision{}, Error.New("request of %d bytes", op.size)
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.OperationTimeout)
	defer cancel()
	s, err := l.shard(ctx, op)
	if err == nil {
		var d Decision
		d, err = submitAndWait(ctx, s, op)
		l.countOperation(a, d, err)
		return d, err
	}
	l.countOperation(a, Decision{}, err)
	return Decision{}, Unavailable.Wrap(err)
}

// submitAndWait queues the operation and waits for its result. An operation that is
// still queued when ctx ends is withdrawn, so that it has no effect.
func submitAndWait(ctx context.Context, s *shard, op *operation) (Decision, error) {
	s.submit(op)
	select {
	case r := <-op.done:
		return r.decision, r.err
	case <-ctx.Done():
	}
	if s.withdraw(op) {
		return Decision{}, Unavailable.Wrap(ctx.Err())
	}
	select {
	case r := <-op.done:
		return r.decision, r.err
	default:
		return Decision{}, Unavailable.Wrap(ambiguous.Wrap(ctx.Err()))
	}
}

// shard returns the shard of the operation. It fails immediately while the store
// is known to be down.
func (l *Ledger) shard(ctx context.Context, op *operation) (*shard, error) {
	if l.store.storeDown() {
		return nil, notSent.New("the store is down")
	}
	n, err := l.shardCount(ctx)
	if err != nil {
		return nil, err
	}
	return l.shards[op.id.Shard(n)], nil
}

// shardCount returns the number of shards. Its first call reads the layout.
func (l *Ledger) shardCount(ctx context.Context) (int, error) {
	select {
	case l.lock <- struct{}{}:
		defer func() { <-l.lock }()
	case <-ctx.Done():
		return 0, notSent.Wrap(ctx.Err())
	}
	if l.closed {
		return 0, notSent.New("the ledger is closed")
	}
	if l.shards == nil {
		if err := l.openLayout(ctx); err != nil {
			return 0, err
		}
	}
	return len(l.shards), nil
}

// openLayout reads the layout, or creates it if there is none. The caller holds
// l.lock.
func (l *Ledger) openLayout(ctx context.Context) error {
	key := l.options.Prefix + "/layout"
	o, err := l.store.get(ctx, key)
	if platform.NotFound.Has(err) {
		_, err = l.store.put(ctx, key, encode(layout{Shards: l.options.Shards}), 0)
		if err == nil || platform.Conflict.Has(err) {
			o, err = l.store.get(ctx, key)
		}
	}
	if err != nil {
		return err
	}
	var d layout
	if err := json.Unmarshal(o.Value, &d); err != nil || d.Shards < 1 {
		return Error.New("layout of %d shards: %v", d.Shards, err)
	}
	for n := range d.Shards {
		l.shards = append(l.shards, newShard(n, l.options, l.store, l.metrics, &l.wg))
	}
	return nil
}

func (l *Ledger) countOperation(a Action, d Decision, err error) {
	result := string(d.State)
	switch {
	case ambiguous.Has(err):
		result = "open"
	case err != nil:
		result = "refused"
	case result == "":
		result = "done"
	}
	l.metrics.operations.WithLabelValues(string(a), result).Inc()
}
