// Package coordinate carries out what the dispatcher decides: it sends the calls
// to the endpoints of stage services and tells the entries of the outcomes.
package coordinate

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/upstream"
)

const (
	// tick is how often what waits is looked at without an event, idleTick how
	// often while nothing does.
	tick     = 25 * time.Millisecond
	idleTick = 500 * time.Millisecond
	// refreshEvery is how often the endpoints are compared with the roster.
	refreshEvery = 100 * time.Millisecond
	// freeTimeout bounds a call that gives results up.
	freeTimeout = time.Second
	// maxAnswer bounds the answer to a call, in bytes.
	maxAnswer = 1 << 20
	// orphanTime is how long a job is kept whose link was lost; a link is dialled
	// anew within a fraction of it.
	orphanTime = 700 * time.Millisecond
	// returnWindow is how long a refused client is recognised after the time
	// that it was told.
	returnWindow = 2 * time.Second
)

// Options configures a Coordinator.
type Options struct {
	Upstream *upstream.Client
	Roster   *roster.Roster
	// EntryGone reports whether an entry's process is known to have ended; nil if nobody
	// knows.
	EntryGone func(name, incarnation string) bool
	Logger    *slog.Logger
	Metrics   *Metrics
}

// Coordinator runs a dispatcher. It is safe for concurrent use.
type Coordinator struct {
	o    Options
	wake chan struct{}

	mu      sync.Mutex
	d       *dispatch.Dispatcher
	waiters map[string]*waiter
	// refused holds when clients that were refused are recognised until.
	refused map[string]time.Time
	// services are those that do stages.
	services  map[string]*catalog.Service
	refreshed time.Time
}

// waiter is who waits for a job. A job whose link was lost is kept for a moment:
// its entry asks for it again on a new one.
type waiter struct {
	// ended takes the outcome; nil while nobody waits.
	ended    chan dispatch.JobResult
	orphaned time.Time
	// outcome is that of a job that ended while nobody waited.
	outcome  *dispatch.JobResult
	forecast time.Duration
	tail     time.Duration
	// made are results that the submitter has not been told of yet, if it wants to
	// know; news has a value while there are some.
	made []dispatch.StageResults
	news chan struct{}
	// name and incarnation are of the entry that submitted the job.
	name, incarnation string
}

func newWaiter(a dispatch.Admission, j peers.Job) *waiter {
	return &waiter{
		name: j.Name, incarnation: j.Incarnation,
		ended: make(chan dispatch.JobResult, 1), news: make(chan struct{}, 1), forecast: a.Forecast, tail: a.FirstEventDelay,
	}
}

// add takes results to tell of.
func (w *waiter) add(made []dispatch.StageResults) {
	w.made = append(w.made, made...)
	select {
	case w.news <- struct{}{}:
	default: // there were some already
	}
}

// tell hands the outcome to who waits, or keeps it.
func (w *waiter) tell(f dispatch.JobResult) bool {
	if w.ended == nil {
		w.outcome = &f
		return false
	}
	w.ended <- f
	return true
}

// New returns a coordinator without services.
func New(o Options) *Coordinator {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return &Coordinator{
		o: o, wake: make(chan struct{}, 1), d: dispatch.New(dispatch.Options{}),
		waiters: make(map[string]*waiter), refused: make(map[string]time.Time),
	}
}

// SetServices replaces the declared services.
func (c *Coordinator) SetServices(services map[string]*catalog.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = services
	for name, s := range services {
		if s.Stages != nil {
			c.d.SetService(name, *s.Stages)
		}
	}
	c.refreshed = time.Time{}
}

// InvalidateEndpoints takes the endpoints from the roster with the next look at them.
func (c *Coordinator) InvalidateEndpoints() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshed = time.Time{}
}

// refresh takes the endpoints from the roster. The caller holds mu.
func (c *Coordinator) refresh(now time.Time) {
	if now.Sub(c.refreshed) < refreshEvery {
		return
	}
	c.refreshed = now
	for name, s := range c.services {
		switch {
		case s.Stages != nil:
			c.d.SetEndpoints(name, c.o.Roster.Endpoints(now, name))
		case s.Engine:
			c.d.SetEngines(s, c.o.Roster.Engines(now, name))
		}
	}
}

// Submit implements peers.JobHandler.
func (c *Coordinator) Submit(ctx context.Context, j peers.Job, told func([]dispatch.StageResults)) peers.Outcome {
	now := time.Now()
	c.mu.Lock()
	if w := c.waiters[j.ID]; w != nil && w.ended == nil {
		return c.resume(ctx, j, w, told)
	}
	c.refresh(now)
	job := j.Dispatch(now)
	job.Retry = j.Subject != "" && now.Before(c.refused[j.Subject])
	a := c.d.Submit(now, job)
	if !a.Admitted {
		if j.Subject != "" {
			c.refused[j.Subject] = now.Add(a.RetryAfter + returnWindow)
		}
		c.mu.Unlock()
		c.o.Metrics.Jobs.WithLabelValues("refused").Inc()
		c.o.Logger.Info("stages refused", "request", j.ID, "reason", a.Reason, "forecast_ms", a.Forecast.Milliseconds(),
			"deadline_ms", j.DeadlineMS, "tail_ms", a.FirstEventDelay.Milliseconds(), "rank", j.Rank, "retry_after_ms", a.RetryAfter.Milliseconds())
		return peers.Outcome{Refused: true, Problem: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), ForecastMS: a.Forecast.Milliseconds()}
	}
	delete(c.refused, j.Subject)
	w := newWaiter(a, j)
	c.waiters[j.ID] = w
	c.mu.Unlock()
	c.o.Logger.Info("stages admitted", "request", j.ID, "rank", j.Rank, "stages", len(j.Stages), "returning", job.Retry,
		"forecast_ms", a.Forecast.Milliseconds(), "tail_ms", a.FirstEventDelay.Milliseconds(), "target_ms", j.TargetMS, "deadline_ms", j.DeadlineMS,
		"made_before", len(j.PriorResults))
	c.awake()
	c.pump()
	return c.await(ctx, j, w, told)
}

// resume goes on with a job whose link was lost. The caller holds mu, which is
// unlocked.
func (c *Coordinator) resume(ctx context.Context, j peers.Job, w *waiter, told func([]dispatch.StageResults)) peers.Outcome {
	w.ended, w.orphaned = make(chan dispatch.JobResult, 1), time.Time{}
	if w.outcome != nil {
		w.ended <- *w.outcome
		delete(c.waiters, j.ID)
	}
	c.mu.Unlock()
	c.o.Logger.Info("stages resumed on a new link", "request", j.ID)
	return c.await(ctx, j, w, told)
}

func (c *Coordinator) await(ctx context.Context, j peers.Job, w *waiter, told func([]dispatch.StageResults)) peers.Outcome {
	o := c.outcome(ctx, j, w, told)
	o.ForecastMS, o.TimeToFirstEventMS = w.forecast.Milliseconds(), w.tail.Milliseconds()
	return o
}

func (c *Coordinator) outcome(ctx context.Context, j peers.Job, w *waiter, told func([]dispatch.StageResults)) peers.Outcome {
	for {
		select {
		case f := <-w.ended:
			return c.ended(j, f)
		case <-w.news:
			c.mu.Lock()
			made := w.made
			w.made = nil
			c.mu.Unlock()
			told(made)
		case <-ctx.Done():
			c.mu.Lock()
			w.ended, w.orphaned = nil, time.Now()
			c.mu.Unlock()
			return peers.Outcome{Problem: "link lost"}
		}
	}
}

func (c *Coordinator) ended(j peers.Job, f dispatch.JobResult) peers.Outcome {
	if f.Problem != "" {
		c.o.Metrics.Jobs.WithLabelValues("failed").Inc()
		c.o.Logger.Info("stages failed", "request", j.ID, "reason", f.Problem)
		return peers.Outcome{Problem: f.Problem}
	}
	c.o.Metrics.Jobs.WithLabelValues("done").Inc()
	c.o.Logger.Info("engine booked", "request", j.ID, "engine", f.Engine, "fetch_from", f.FetchFrom, "results", len(f.Handles))
	return peers.Outcome{Handles: f.Handles, Engine: f.Engine, FetchFrom: f.FetchFrom}
}

// Cancel implements peers.JobHandler.
func (c *Coordinator) Cancel(id string) {
	c.mu.Lock()
	c.d.Cancel(time.Now(), id)
	if w := c.waiters[id]; w != nil {
		delete(c.waiters, id)
		w.tell(dispatch.JobResult{ID: id, Problem: "cancelled"})
	}
	c.mu.Unlock()
	c.pump()
}

// Release implements peers.JobHandler.
func (c *Coordinator) Release(id string, engineFailed bool) {
	c.mu.Lock()
	c.d.Release(time.Now(), id, engineFailed)
	c.mu.Unlock()
	c.pump()
}

// Run looks at what waits until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTimer(idleTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-t.C:
		}
		if c.expire() {
			t.Reset(tick)
		} else {
			t.Reset(idleTick)
		}
		c.pump()
	}
}

// awake makes Run look often again.
func (c *Coordinator) awake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// expire drops what is too old, and reports whether jobs are in progress.
func (c *Coordinator) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh(now)
	c.d.Expire(now)
	for id, w := range c.waiters {
		if !w.orphaned.IsZero() && now.Sub(w.orphaned) > orphanTime {
			delete(c.waiters, id)
			gone := c.o.EntryGone != nil && c.o.EntryGone(w.name, w.incarnation)
			if gone {
				c.d.Cancel(now, id)
			} else {
				// Its entry may have taken it to another dispatcher, with the results
				// that it was told of.
				c.d.Abandon(now, id)
			}
			c.o.Logger.Info("job abandoned, its link was not dialled anew", "request", id, "entry", w.name, "entry_gone", gone)
		}
	}
	for subject, until := range c.refused {
		if now.After(until) {
			delete(c.refused, subject)
		}
	}
	return c.d.Busy()
}

// pump sends what the dispatcher wants sent and tells of jobs that ended.
func (c *Coordinator) pump() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, call := range c.d.Schedule(now) {
		c.o.Metrics.Calls.Inc()
		c.o.Metrics.Tasks.Add(float64(len(call.Tasks)))
		go c.call(call)
	}
	for id, made := range c.d.TakeStageResults() {
		if w := c.waiters[id]; w != nil {
			w.add(made)
		}
	}
	for _, f := range c.d.TakeJobResults() {
		if w := c.waiters[f.ID]; w != nil && w.tell(f) {
			delete(c.waiters, f.ID)
		}
	}
	for _, f := range c.d.TakeFreeRequests() {
		go c.free(f)
	}
	for _, e := range c.d.TakeMemoryQueries() {
		go c.ask(e)
	}
}

// call makes one call of an endpoint and books its end.
func (c *Coordinator) call(call dispatch.Call) {
	began := time.Now()
	results, failure, err := c.stageRun(call)
	now := time.Now()
	c.mu.Lock()
	if failure != 0 {
		c.d.Fail(now, call.ID, failure)
	} else {
		c.d.Complete(now, call.ID, results)
	}
	c.mu.Unlock()
	if failure != 0 {
		c.o.Metrics.CallFailures.Inc()
	}
	c.logCall(call, now.Sub(began), results, err)
	c.pump()
}

func (c *Coordinator) free(f dispatch.FreeRequest) {
	out, err := fleet.StageFreeCall(f.Endpoint.ID, f.Handles)
	if err != nil {
		c.o.Logger.Error("call not encoded", "error", err)
		return
	}
	if _, _, err := c.send(f.Endpoint, out, freeTimeout); err != nil {
		// The results expire by themselves.
		c.o.Metrics.CallFailures.Inc()
	}
}

func (c *Coordinator) send(e catalog.Endpoint, out fleet.Call, timeout time.Duration) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := c.o.Upstream.Do(ctx, upstream.Target{ID: e.ID, Address: e.Address}, upstream.Request{
		Method: out.Method, URI: out.Path, Host: e.Address, Header: out.Header, Body: out.Body,
	})
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp, body, err
}
