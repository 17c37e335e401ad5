package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// flight is a run that one or more callers wait for.
type flight struct {
	key    string
	digest string
	answer *tokenBuffer
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu             sync.Mutex
	waiters        int
	dispatchClosed bool // the last caller was answered, so no further stage is dispatched
	deadline       time.Time
	reports        []StageReport
	partialUsage   *usageTracker // of the current attempt, not yet in the reports
	results        []ServiceResult
	problem        *contract.Problem
}

var (
	errDeadline  = Error.New("deadline exceeded")
	errAbandoned = Error.New("every caller has left")
)

func newFlight(parent context.Context, key, digest string, deadline time.Time) *flight {
	ctx, cancel := context.WithCancelCause(parent)
	f := &flight{
		key:      key,
		digest:   digest,
		answer:   newTokenBuffer(),
		done:     make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
		deadline: deadline,
	}
	f.timer = time.AfterFunc(time.Until(deadline), f.expire)
	return f
}

// expire ends the run at its deadline, unless a caller with a later deadline has joined.
func (f *flight) expire() {
	f.mu.Lock()
	left := time.Until(f.deadline)
	if left > 0 {
		f.timer.Reset(left)
	}
	f.mu.Unlock()
	if left <= 0 {
		f.cancel(errDeadline)
	}
}

// latestDeadline returns the latest deadline of the callers.
func (f *flight) latestDeadline() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadline
}

// timeLeft returns the time until the latest deadline of the callers.
func (f *flight) timeLeft() time.Duration {
	return time.Until(f.latestDeadline())
}

// finish records the end of the run and wakes the callers.
func (f *flight) finish(p *contract.Problem) {
	f.mu.Lock()
	f.problem = p
	f.mu.Unlock()
	f.timer.Stop()
	close(f.done)
	f.answer.close()
	f.cancel(nil)
}

// setReport records the state of stage i.
func (f *flight) setReport(i int, r StageReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i == len(f.reports) {
		f.reports = append(f.reports, r)
		return
	}
	f.reports[i] = r
}

// setPartialUsage sets the usage tracker of the current attempt.
func (f *flight) setPartialUsage(s *usageTracker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partialUsage = s
}

// setReportWithUsage records a report of stage i that includes the usage of the attempt. It drops the
// attempt's usage tracker, so that the usage is not counted twice.
func (f *flight) setReportWithUsage(i int, r StageReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[i], f.partialUsage = r, nil
}

// markDispatched records that stage i may run from now on. It returns false if the
// last caller has been answered already, because the state in that answer must stay true.
func (f *flight) markDispatched(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatchClosed {
		return false
	}
	f.reports[i].Run = contract.MayHaveRun
	return true
}

// earlyOutcome returns the stages so far for a caller that is answered before the run
// ends. For the last caller they are final; otherwise more may run for other callers.
func (f *flight) earlyOutcome() (reports []StageReport, results []ServiceResult, final bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiters <= 1 {
		f.dispatchClosed = true
	}
	reports = slices.Clone(f.reports)
	if f.partialUsage != nil && len(reports) > 0 {
		last := &reports[len(reports)-1]
		last.Usage = addUsage(last.Usage, f.partialUsage.usage())
	}
	return reports, slices.Clone(f.results), f.dispatchClosed
}

func (f *flight) addResult(r ServiceResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
}

// snapshot returns the stage reports and results so far.
func (f *flight) snapshot() ([]StageReport, []ServiceResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.reports), slices.Clone(f.results)
}

// failure returns the problem of a finished run, or nil if it succeeded.
func (f *flight) failure() *contract.Problem {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.problem
}

// flightGroup finds the flight that a request may join.
type flightGroup struct {
	mu    sync.Mutex
	byKey map[string]*flight
}

func newFlightGroup() *flightGroup { return &flightGroup{byKey: make(map[string]*flight)} }

// join adds a caller to the flight of key and extends it to the caller's deadline.
// It returns nil if no such flight is running.
func (fs *flightGroup) join(key string, deadline time.Time) *flight {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.joinLocked(key, deadline)
}

func (fs *flightGroup) joinLocked(key string, deadline time.Time) *flight {
	f := fs.byKey[key]
	if f == nil || f.ctx.Err() != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatchClosed {
		return nil
	}
	f.waiters++
	if deadline.After(f.deadline) {
		f.deadline = deadline
	}
	return f
}

// start registers a new flight with its first caller. If another request has
// registered one in the meantime, that one is joined and isNew is false.
func (fs *flightGroup) start(f *flight) (joined *flight, isNew bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if other := fs.joinLocked(f.key, f.deadline); other != nil {
		return other, false
	}
	f.waiters = 1
	fs.byKey[f.key] = f
	return f, true
}

// leave removes a caller. A flight without callers is cancelled.
func (fs *flightGroup) leave(f *flight) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	f.mu.Lock()
	f.waiters--
	abandoned := f.waiters == 0
	f.mu.Unlock()
	if abandoned {
		fs.removeLocked(f)
		f.cancel(errAbandoned)
	}
}

// remove removes a finished flight.
func (fs *flightGroup) remove(f *flight) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.removeLocked(f)
}

func (fs *flightGroup) removeLocked(f *flight) {
	if fs.byKey[f.key] == f {
		delete(fs.byKey, f.key)
	}
}
