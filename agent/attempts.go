package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

const (
	// finishedTTL is how long the tokens and the result of a finished attempt are kept.
	finishedTTL = 15 * time.Second
	// tombstoneTTL is how long a tombstone is kept. It exceeds the time that a message can be in
	// transit on a link, which is bounded by the server's idle time-out.
	tombstoneTTL = 2 * time.Minute
	// maxFinishedBytes bounds the tokens and the outputs of finished attempts.
	maxFinishedBytes = 4 << 20
	// maxTombstones bounds the number of tombstones. Above it, settle no longer guarantees that an
	// attempt never runs.
	maxTombstones = 20_000
	// generationSize bounds one generation of remembered attempt ids.
	generationSize = 16_384
)

// attemptStatus is the status of an attempt id in the table.
type attemptStatus int

const (
	statusNew attemptStatus = iota
	statusRunning
	statusFinished
	statusClosed
	// statusForgotten is for ids that ran, or may have run, and whose result has been discarded.
	statusForgotten
)

// seenIDs remembers the ids of started attempts, in two generations.
type seenIDs struct {
	current, previous map[uint64]struct{}
	// currentNewest and previousNewest are the start times of the newest id of each generation.
	currentNewest, previousNewest time.Time
	// forgottenNewest is the start time of the newest id that was forgotten; zero if none was.
	forgottenNewest time.Time
}

func hashID(id contract.AttemptID) uint64 { return xxhash.Sum64String(string(id)) }

func (s *seenIDs) add(id contract.AttemptID, now time.Time) {
	if len(s.current) >= generationSize {
		if len(s.previous) > 0 {
			s.forgottenNewest = s.previousNewest
		}
		s.previous, s.previousNewest = s.current, s.currentNewest
		s.current = nil
	}
	if s.current == nil {
		s.current = map[uint64]struct{}{}
	}
	s.current[hashID(id)] = struct{}{}
	s.currentNewest = now
}

func (s *seenIDs) contains(id contract.AttemptID) bool {
	h := hashID(id)
	_, inCurrent := s.current[h]
	_, inPrevious := s.previous[h]
	return inCurrent || inPrevious
}

// isCertainlyNew reports whether an id that is not in the table cannot have been forgotten. age is
// an upper bound of the time since the id was created; 0 means unknown.
func (s *seenIDs) isCertainlyNew(now time.Time, age time.Duration) bool {
	if s.forgottenNewest.IsZero() {
		return true
	}
	return age > 0 && now.Add(-age).After(s.forgottenNewest)
}

// expiry is the time at which a finished attempt or a tombstone is removed.
type expiry struct {
	id        contract.AttemptID
	expiresAt time.Time
	bytes     int
}

// attemptTable records attempts by id, so that each id runs at most once.
type attemptTable struct {
	now func() time.Time

	mu       sync.Mutex
	running  map[contract.AttemptID]*attempt
	finished map[contract.AttemptID]*attempt
	closed   map[contract.AttemptID]struct{}
	seen     seenIDs
	// finishedExpiries and closedExpiries are ordered by the time of removal.
	finishedExpiries []expiry
	closedExpiries   []expiry
	bytes            int
}

func newAttemptTable(now func() time.Time) *attemptTable {
	return &attemptTable{
		now:      now,
		running:  map[contract.AttemptID]*attempt{},
		finished: map[contract.AttemptID]*attempt{},
		closed:   map[contract.AttemptID]struct{}{},
	}
}

func (a *attemptTable) statusLocked(id contract.AttemptID) attemptStatus {
	if _, ok := a.running[id]; ok {
		return statusRunning
	}
	if _, ok := a.finished[id]; ok {
		return statusFinished
	}
	if _, ok := a.closed[id]; ok {
		return statusClosed
	}
	if a.seen.contains(id) {
		return statusForgotten
	}
	return statusNew
}

// begin records a new attempt as running. It returns the previous status of the id; the attempt may
// run only if that was statusNew.
func (a *attemptTable) begin(t *attempt) attemptStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sweepLocked(now)
	status := a.statusLocked(t.id)
	if status != statusNew {
		return status
	}
	a.seen.add(t.id, now)
	a.running[t.id] = t
	return statusNew
}

// finish records the result of a running attempt and keeps it for links that take the attempt over.
func (a *attemptTable) finish(t *attempt, r link.RunResult) {
	t.finish(r)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	delete(a.running, t.id)
	a.finished[t.id] = t
	size := t.bytes + len(r.Output.Text) + len(r.Output.Body)
	a.finishedExpiries = append(a.finishedExpiries, expiry{t.id, now.Add(finishedTTL), size})
	a.bytes += size
	a.sweepLocked(now)
}

// sweepLocked removes records that have expired, and the oldest results above maxFinishedBytes. The
// ids of removed results stay remembered, so that they never run again.
func (a *attemptTable) sweepLocked(now time.Time) {
	n := 0
	for n < len(a.finishedExpiries) && (a.bytes > maxFinishedBytes || now.After(a.finishedExpiries[n].expiresAt)) {
		delete(a.finished, a.finishedExpiries[n].id)
		a.bytes -= a.finishedExpiries[n].bytes
		n++
	}
	a.finishedExpiries = a.finishedExpiries[n:]
	n = 0
	for n < len(a.closedExpiries) && now.After(a.closedExpiries[n].expiresAt) {
		delete(a.closed, a.closedExpiries[n].id)
		n++
	}
	a.closedExpiries = a.closedExpiries[n:]
}

// settle returns the status of an id, and the attempt if it is running or finished. An id that
// certainly never ran first gets a tombstone, so that it never will. If that cannot be guaranteed,
// the status is statusForgotten.
func (a *attemptTable) settle(id contract.AttemptID, age time.Duration) (attemptStatus, *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sweepLocked(now)
	switch status := a.statusLocked(id); status {
	case statusRunning:
		return status, a.running[id]
	case statusFinished:
		return status, a.finished[id]
	case statusClosed, statusForgotten:
		return status, nil
	}
	if len(a.closed) >= maxTombstones || !a.seen.isCertainlyNew(now, age) {
		return statusForgotten, nil
	}
	a.closed[id] = struct{}{}
	a.closedExpiries = append(a.closedExpiries, expiry{id: id, expiresAt: now.Add(tombstoneTTL)})
	return statusClosed, nil
}

// runningAttempt returns the running attempt with the id, or nil.
func (a *attemptTable) runningAttempt(id contract.AttemptID) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running[id]
}

// runningAttempts returns all running attempts.
func (a *attemptTable) runningAttempts() []*attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*attempt, 0, len(a.running))
	for _, t := range a.running {
		out = append(out, t)
	}
	return out
}
