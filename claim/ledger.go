package claim

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/azurelead/azurelead/platform"
)

// Ledger keeps claims in the platform's store. Any number of ledgers may
// write at once: each update of a shard is conditional on the version that it
// was decided on.
type Ledger struct {
	options Options
	guard   *guard
	metrics *metrics
	wg      sync.WaitGroup

	// turn is held while the members below are read or written. It is a
	// channel, since reading the layout may outlast a caller's patience.
	turn   chan struct{}
	closed bool
	shards []*shard
}

// layout is the object that fixes how keys are spread over shards.
type layout struct {
	Shards int `json:"shards"`
}

// NewLedger returns a ledger. It makes no store call before its first use.
func NewLedger(o Options) *Ledger {
	o = o.withDefaults()
	m := newMetrics(o.Metrics)
	return &Ledger{options: o, guard: newGuard(o, m), metrics: m, turn: make(chan struct{}, 1)}
}

// Close refuses further operations and waits for the updates under way.
func (l *Ledger) Close() {
	l.turn <- struct{}{}
	l.closed = true
	for _, s := range l.shards {
		s.close()
	}
	<-l.turn
	l.wg.Wait()
}

// StoreDown reports whether operations are refused at once, because the store is
// known to be down.
func (l *Ledger) StoreDown() bool { return l.guard.down() }

// do applies one operation and waits for its answer. An error of class
// ambiguous says that the operation may still take effect.
func (l *Ledger) do(ctx context.Context, a Action, r Request, o Outcome) (Decision, error) {
	op := newOperation(a, r, o.bounded(l.options.MaxOutcomeBytes))
	if op.size-len(op.outcome.Body) > maxRequestBytes {
		return Decision{}, Error.New("request of %d bytes", op.size)
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.OperationTimeout)
	defer cancel()
	s, err := l.shard(ctx, op)
	if err == nil {
		var d Decision
		d, err = await(ctx, s, op)
		l.count(a, d, err)
		return d, err
	}
	l.count(a, Decision{}, err)
	return Decision{}, Unavailable.Wrap(err)
}

// await waits for the answer. An operation that no update has taken up when
// the wait ends is withdrawn, so that it has no effect.
func await(ctx context.Context, s *shard, op *operation) (Decision, error) {
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

// shard returns the shard of the operation, and fails at once while the store
// is known to be down.
func (l *Ledger) shard(ctx context.Context, op *operation) (*shard, error) {
	if l.guard.down() {
		return nil, notSent.New("the store is down")
	}
	n, err := l.shardCount(ctx)
	if err != nil {
		return nil, err
	}
	return l.shards[op.id.Shard(n)], nil
}

// shardCount returns the number of shards, reading the layout at first use.
func (l *Ledger) shardCount(ctx context.Context) (int, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return 0, notSent.Wrap(ctx.Err())
	}
	if l.closed {
		return 0, notSent.New("the ledger is closed")
	}
	if l.shards == nil {
		if err := l.open(ctx); err != nil {
			return 0, err
		}
	}
	return len(l.shards), nil
}

// open reads the layout, or creates it. It runs in the ledger's turn:
// nothing can be decided before it.
func (l *Ledger) open(ctx context.Context) error {
	key := l.options.Prefix + "/layout"
	o, err := l.guard.get(ctx, key)
	if platform.NotFound.Has(err) {
		_, err = l.guard.put(ctx, key, encode(layout{Shards: l.options.Shards}), 0)
		if err == nil || platform.Conflict.Has(err) {
			o, err = l.guard.get(ctx, key)
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
		l.shards = append(l.shards, newShard(n, l.options, l.guard, l.metrics, &l.wg))
	}
	return nil
}

func (l *Ledger) count(a Action, d Decision, err error) {
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
