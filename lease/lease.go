// Package lease elects a single holder of a task through a lease object in the platform's
// store. The generation of the lease is the fencing number of the holder's orders: it is
// incremented with every change of holder, so that orders of a former holder can be
// distinguished from those of the current one.
//
// No decision compares the clocks of two instances. A holder measures its term from before
// it sent the renewal, on its own monotonic clock. A contender takes over the lease only
// after it has itself observed the object unchanged for longer than the term.
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
	// Generation is incremented with every change of holder.
	Generation uint64 `json:"generation"`
	// Renewal is incremented with every renewal, so that each write changes the record.
	Renewal uint64 `json:"renewal"`
	// TermMS is how long a contender must observe the record unchanged before it takes
	// over, in milliseconds.
	TermMS int64 `json:"term_ms"`
}

// Options configures a Lease.
type Options struct {
	Store platform.Store
	// Key is the lease object's key.
	Key string
	// Holder identifies this incarnation of the process.
	Holder contract.BootID
	// Term is how long the lease is valid without renewal.
	Term time.Duration
	// Margin is how long before the lease expires the holder stops acting.
	Margin time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Lease is one process's view of a lease. It is safe for concurrent use.
type Lease struct {
	o Options

	mu sync.Mutex
	// held is the record that this process wrote last, and heldVersion its version in the
	// store.
	held        Record
	heldVersion uint64
	actUntil    time.Time // when the holder stops acting; zero while not held
	// seenRecord and seenVersion are the record that this process read last and its version
	// in the store. It has been unchanged since seenSince.
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

// Fence returns the fencing number, and true while this process may act as the holder.
// Callers check it before every order, since the process may have been paused past the
// end of the term in between.
func (l *Lease) Fence() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actUntil.IsZero() || !l.o.Now().Before(l.actUntil) {
		return 0, false
	}
	return l.held.Generation, true
}

// Remaining returns how much longer this process may act as the holder.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actUntil.IsZero() {
		return 0
	}
	return max(l.actUntil.Sub(l.o.Now()), 0)
}

// Tick renews a held lease, or tries to acquire a free or expired one. It must be called
// several times per term. After an error the previous term stays in force.
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

// storedRecord is a record with its version in the store; version 0 means that there is none.
type storedRecord struct {
	version uint64
	record  Record
}

// read reads the record from the store.
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

// observe records since when this process has seen the record unchanged. A record of another
// holder ends this process's term.
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

// next returns the record to write, and whether this process should write one: to renew its
// own lease or to acquire a free or expired one.
func (l *Lease) next(version uint64, r Record) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version != 0 && r.Holder == l.o.Holder {
		return Record{Holder: r.Holder, Generation: r.Generation, Renewal: r.Renewal + 1, TermMS: l.o.Term.Milliseconds()}, true
	}
	if version != 0 && r.Holder != "" && !l.expired(r) {
		return Record{}, false
	}
	return Record{Holder: l.o.Holder, Generation: r.Generation + 1, TermMS: l.o.Term.Milliseconds()}, true
}

// expired reports whether this process has seen the record unchanged for longer than its
// term. The caller holds mu.
func (l *Lease) expired(r Record) bool {
	return l.o.Now().Sub(l.seenSince) > time.Duration(r.TermMS)*time.Millisecond
}

// write stores the next record and, on success, starts a term at start, which is before the
// write was sent. If the answer is lost, the previous term stays in force; the next Tick
// reads whether the write took effect.
func (l *Lease) write(ctx context.Context, start time.Time, next Record, ifVersion uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	version, err := l.o.Store.Put(ctx, l.o.Key, value, ifVersion)
	if platform.Conflict.Has(err) {
		return nil // another process was faster; the next Tick reads its record
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

// Release gives up the lease at a planned stop, so that a successor need not wait for it
// to expire. A failed release is harmless, since the lease expires.
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
