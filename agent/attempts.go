package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

const (
	// keepFinished is how long tokens and result of a finished attempt are kept.
	keepFinished = 15 * time.Second
	// keepClosed is how long a tombstone is kept. It outlasts the time that a
	// message can be under way on a link, which the server's idle bound limits.
	keepClosed = 2 * time.Minute
	// keepBytes bounds the tokens and bodies of finished attempts.
	keepBytes = 4 << 20
	// maxClosed bounds the tombstones; beyond it nothing more is promised.
	maxClosed = 20_000
	// generationSize bounds one generation of the ids that are remembered.
	generationSize = 16_384
)

// entryKind is what the table holds for an id.
type entryKind int

const (
	kindNew entryKind = iota
	kindRunning
	kindFinished
	kindClosed
	// kindForgotten is for ids that ran, or may have run, and whose result is gone.
	kindForgotten
)

// seen remembers ids of attempts that were begun, in two generations.
type seen struct {
	now, before map[uint64]struct{}
	// lastOf is when the newest id of each generation was begun.
	lastNow, lastBefore time.Time
	// horizon is when the newest forgotten id was begun; zero if none is forgotten.
	horizon time.Time
}

func hashID(id contract.AttemptID) uint64 { return xxhash.Sum64String(string(id)) }

func (s *seen) add(id contract.AttemptID, now time.Time) {
	if len(s.now) >= generationSize {
		if len(s.before) > 0 {
			s.horizon = s.lastBefore
		}
		s.before, s.lastBefore = s.now, s.lastNow
		s.now = nil
	}
	if s.now == nil {
		s.now = map[uint64]struct{}{}
	}
	s.now[hashID(id)] = struct{}{}
	s.lastNow = now
}

func (s *seen) has(id contract.AttemptID) bool {
	h := hashID(id)
	_, a := s.now[h]
	_, b := s.before[h]
	return a || b
}

// surelyNew reports whether an id that is not held cannot be one that was
// forgotten. age is an upper bound of the time since the id was made; 0 is unknown.
func (s *seen) surelyNew(now time.Time, age time.Duration) bool {
	if s.horizon.IsZero() {
		return true
	}
	return age > 0 && now.Add(-age).After(s.horizon)
}

// kept is a finished attempt or a tombstone with its time of removal.
type kept struct {
	id    contract.AttemptID
	until time.Time
	bytes int
}

// attempts is the table by which an attempt id runs at most once.
type attempts struct {
	now func() time.Time

	mu       sync.Mutex
	running  map[contract.AttemptID]*attempt
	finished map[contract.AttemptID]*attempt
	closed   map[contract.AttemptID]struct{}
	seen     seen
	// finishedOrder and closedOrder are in the order of removal.
	finishedOrder []kept
	closedOrder   []kept
	bytes         int
}

func newAttempts(now func() time.Time) *attempts {
	return &attempts{
		now:      now,
		running:  map[contract.AttemptID]*attempt{},
		finished: map[contract.AttemptID]*attempt{},
		closed:   map[contract.AttemptID]struct{}{},
	}
}

func (a *attempts) kindLocked(id contract.AttemptID) entryKind {
	if _, ok := a.running[id]; ok {
		return kindRunning
	}
	if _, ok := a.finished[id]; ok {
		return kindFinished
	}
	if _, ok := a.closed[id]; ok {
		return kindClosed
	}
	if a.seen.has(id) {
		return kindForgotten
	}
	return kindNew
}

// begin enters an attempt as running. It returns what the id was before; only
// kindNew may run.
func (a *attempts) begin(t *attempt) entryKind {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sweepLocked(now)
	kind := a.kindLocked(t.id)
	if kind != kindNew {
		return kind
	}
	a.seen.add(t.id, now)
	a.running[t.id] = t
	return kindNew
}

// finish keeps a running attempt's result for links that take it over.
func (a *attempts) finish(t *attempt, r link.RunResult) {
	t.finish(r)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	delete(a.running, t.id)
	a.finished[t.id] = t
	size := t.bytes + len(r.Output.Text) + len(r.Output.Body)
	a.finishedOrder = append(a.finishedOrder, kept{t.id, now.Add(keepFinished), size})
	a.bytes += size
	a.sweepLocked(now)
}

// sweepLocked drops what is kept too long or is too much. The ids of dropped
// results stay remembered, so that they never run again.
func (a *attempts) sweepLocked(now time.Time) {
	n := 0
	for n < len(a.finishedOrder) && (a.bytes > keepBytes || now.After(a.finishedOrder[n].until)) {
		delete(a.finished, a.finishedOrder[n].id)
		a.bytes -= a.finishedOrder[n].bytes
		n++
	}
	a.finishedOrder = a.finishedOrder[n:]
	n = 0
	for n < len(a.closedOrder) && now.After(a.closedOrder[n].until) {
		delete(a.closed, a.closedOrder[n].id)
		n++
	}
	a.closedOrder = a.closedOrder[n:]
}

// settle returns what the id is. An id that surely never ran gets a tombstone
// first, so that it never will; if that cannot be promised it is forgotten.
func (a *attempts) settle(id contract.AttemptID, age time.Duration) (entryKind, *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sweepLocked(now)
	switch kind := a.kindLocked(id); kind {
	case kindRunning:
		return kind, a.running[id]
	case kindFinished:
		return kind, a.finished[id]
	case kindClosed, kindForgotten:
		return kind, nil
	}
	if len(a.closed) >= maxClosed || !a.seen.surelyNew(now, age) {
		return kindForgotten, nil
	}
	a.closed[id] = struct{}{}
	a.closedOrder = append(a.closedOrder, kept{id: id, until: now.Add(keepClosed)})
	return kindClosed, nil
}

// get returns a running attempt, or nil.
func (a *attempts) get(id contract.AttemptID) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running[id]
}

// list returns all running attempts.
func (a *attempts) list() []*attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*attempt, 0, len(a.running))
	for _, t := range a.running {
		out = append(out, t)
	}
	return out
}
