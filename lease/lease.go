// Package lease elects one holder of a task through a lease object in the
// platform's store. The lease's generation is the fencing number of what the
// holder orders: it grows with every change of holder, so that orders of an
// earlier holder can be told from those of the current one.
//
// No decision compares the clocks of two instances. A holder counts its term
// from before it sent the renewal, on its own monotonic clock, and a rival
// takes the lease only after it has itself watched the object stay unchanged
// for longer than the term.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("lease")

// Record is the stored form of a lease.
type Record struct {
	Holder contract.BootID `json:"holder"`
	// Generation grows with every change of holder.
	Generation uint64 `json:"generation"`
	// Renewal grows with every renewal, so that each write is told from the last.
	Renewal uint64 `json:"renewal"`
	// TermMS is how long a rival must see the record unchanged, in milliseconds.
	TermMS int64 `json:"term_ms"`
}

// Options configures a Lease.
type Options struct {
	Store platform.Store
	// Key is the lease object's key.
	Key string
	// Holder names this life of this process.
	Holder contract.BootID
	// Term is how long a lease stands without renewal.
	Term time.Duration
	// Margin is how long before its lapse the holder stops acting.
	Margin time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Lease is one process's view of a lease. It is safe for concurrent use.
type Lease struct {
	o Options

	mu          sync.Mutex
	held        Record
	heldVersion uint64
	actUntil    time.Time // when the holder stops acting; zero while not held
	seenVersion uint64
	seenSince   time.Time
	seenRecord  Record
}

// New returns a lease that is not held.
func New(o Options) *Lease {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Lease{o: o}
}

// Fence returns the fencing number and true while this process may act.
// Callers ask again before every order, since the process may have been
// paused past the term in between.
func (l *Lease) Fence() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actUntil.IsZero() || !l.o.Now().Before(l.actUntil) {
		return 0, false
	}
	return l.held.Generation, true
}

// Remaining returns how much longer this process may act.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actUntil.IsZero() {
		return 0
	}
	return max(l.actUntil.Sub(l.o.Now()), 0)
}

// Tick renews a held lease or tries for a free or lapsed one. It is called
// several times a term. An error leaves the former term in force.
func (l *Lease) Tick(ctx context.Context) error {
	start := l.o.Now()
	current, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.observe(current.version, current.record)
	next, ok := l.next(current.version, current.record)
	if !ok {
		return nil
	}
	return l.write(ctx, start, next, current.version)
}

type storedRecord struct {
	version uint64
	record  Record
}

func (l *Lease) read(ctx context.Context) (storedRecord, error) {
	obj, err := l.o.Store.Get(ctx, l.o.Key)
	if platform.NotFound.Has(err) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, Error.Wrap(err)
	}
	s := storedRecord{version: obj.Version}
	if err := json.Unmarshal(obj.Value, &s.record); err != nil {
		return storedRecord{}, Error.Wrap(err)
	}
	return s, nil
}

// observe notes since when the record has been unchanged in this process's sight.
func (l *Lease) observe(version uint64, r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version != l.seenVersion || l.seenSince.IsZero() {
		l.seenVersion = version
		l.seenSince = l.o.Now()
		l.seenRecord = r
	}
	if r.Holder != l.o.Holder {
		l.actUntil = time.Time{}
	}
}

// next returns the record to write, if this process should write one.
func (l *Lease) next(version uint64, r Record) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version != 0 && r.Holder == l.o.Holder {
		return Record{Holder: r.Holder, Generation: r.Generation, Renewal: r.Renewal + 1, TermMS: l.o.Term.Milliseconds()}, true
	}
	if version != 0 && r.Holder != "" && !l.lapsed(r) {
		return Record{}, false
	}
	return Record{Holder: l.o.Holder, Generation: r.Generation + 1, TermMS: l.o.Term.Milliseconds()}, true
}

// lapsed reports whether this process has seen the record unchanged for
// longer than its term. It is called with the lock held.
func (l *Lease) lapsed(r Record) bool {
	return l.o.Now().Sub(l.seenSince) > time.Duration(r.TermMS)*time.Millisecond
}

// write stores next and, on success, counts the term from before the write.
// An answer that is lost leaves the former term: the next Tick reads whether
// the write took effect.
func (l *Lease) write(ctx context.Context, start time.Time, next Record, ifVersion uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	version, err := l.o.Store.Put(ctx, l.o.Key, value, ifVersion)
	if platform.Conflict.Has(err) {
		return nil // a rival was faster; the next Tick reads its record
	}
	if err != nil {
		return Error.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = next
	l.heldVersion = version
	l.actUntil = start.Add(l.o.Term - l.o.Margin)
	return nil
}

// Release gives the lease up at a planned stop, so that a successor need not
// wait for it to lapse. A failure is harmless: the lease lapses.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held := !l.actUntil.IsZero()
	record := l.held
	version := l.heldVersion
	l.actUntil = time.Time{}
	l.mu.Unlock()
	if !held {
		return nil
	}
	record.Holder = ""
	record.Renewal++
	value, err := json.Marshal(record)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = l.o.Store.Put(ctx, l.o.Key, value, version)
	return Error.Wrap(err)
}
