package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// flight is one run that one or more callers wait for.
type flight struct {
	key    string
	digest string
	answer *tokenBuffer
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu       sync.Mutex
	waiters  int
	sealed   bool // its last caller was answered: nothing more is handed over
	deadline time.Time
	reports  []StageReport
	spent    *spending // of the attempt under way, which the reports lack
	results  []ServiceResult
	problem  *contract.Problem
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

// expire ends the run at its deadline, unless a caller with a later one joined.
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

// until returns the latest deadline of its callers.
func (f *flight) until() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadline
}

// left returns the time until the latest deadline of its callers.
func (f *flight) left() time.Duration {
	return time.Until(f.until())
}

// finish records the end of the run and wakes its callers.
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

// spends takes note of what the attempt under way spends.
func (f *flight) spends(s *spending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spent = s
}

// settled records a report of stage i that holds what the attempt has spent.
func (f *flight) settled(i int, r StageReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[i], f.spent = r, nil
}

// handOver records that stage i may run from now on. It reports false when the
// last caller was answered before: what that answer says must stay true.
func (f *flight) handOver(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sealed {
		return false
	}
	f.reports[i].Run = contract.MayHaveRun
	return true
}

// giveUp returns the stages so far for a caller who is answered before the run
// ends. For the last caller they are final; else others may have more run.
func (f *flight) giveUp() (reports []StageReport, results []ServiceResult, final bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiters <= 1 {
		f.sealed = true
	}
	reports = slices.Clone(f.reports)
	if f.spent != nil && len(reports) > 0 {
		last := &reports[len(reports)-1]
		last.Usage = addUsage(last.Usage, f.spent.usage())
	}
	return reports, slices.Clone(f.results), f.sealed
}

func (f *flight) addResult(r ServiceResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
}

// snapshot returns the stages and results so far.
func (f *flight) snapshot() ([]StageReport, []ServiceResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.reports), slices.Clone(f.results)
}

// failure returns the problem of a finished run, nil when it was answered.
func (f *flight) failure() *contract.Problem {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.problem
}

// flights finds the run that a request may join.
type flights struct {
	mu    sync.Mutex
	byKey map[string]*flight
}

func newFlights() *flights { return &flights{byKey: make(map[string]*flight)} }

// join adds a caller to the run of key, or returns nil when there is none that
// still runs. The run lasts at least until the caller's deadline.
func (fs *flights) join(key string, deadline time.Time) *flight {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.joinLocked(key, deadline)
}

func (fs *flights) joinLocked(key string, deadline time.Time) *flight {
	f := fs.byKey[key]
	if f == nil || f.ctx.Err() != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sealed {
		return nil
	}
	f.waiters++
	if deadline.After(f.deadline) {
		f.deadline = deadline
	}
	return f
}

// start registers a new run with its first caller. A run that another request
// registered meanwhile is joined instead, and reported as not new.
func (fs *flights) start(f *flight) (joined *flight, isNew bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if other := fs.joinLocked(f.key, f.deadline); other != nil {
		return other, false
	}
	f.waiters = 1
	fs.byKey[f.key] = f
	return f, true
}

// leave takes a caller away; a run that nobody waits for is cancelled.
func (fs *flights) leave(f *flight) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	f.mu.Lock()
	f.waiters--
	abandoned := f.waiters == 0
	f.mu.Unlock()
	if abandoned {
		fs.drop(f)
		f.cancel(errAbandoned)
	}
}

// ended forgets a finished run.
func (fs *flights) ended(f *flight) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.drop(f)
}

func (fs *flights) drop(f *flight) {
	if fs.byKey[f.key] == f {
		delete(fs.byKey, f.key)
	}
}
