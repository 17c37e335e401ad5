// Package coordinate carries out the decisions of the dispatcher: it calls the endpoints of stage
// services and returns the results of jobs to the entries that submitted them.
package coordinate

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurelead/azurelead/canary"
	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/stage"
	"github.com/azurelead/azurelead/upstream"
)

const (
	// busyInterval is the period of Run's checks while jobs are in progress, idleInterval the
	// period while there are none. Run also checks when a job is admitted.
	busyInterval = 25 * time.Millisecond
	idleInterval = 500 * time.Millisecond
	// refreshInterval is the minimum time between two reads of the endpoints from the roster.
	refreshInterval = 100 * time.Millisecond
	// controlTimeout bounds a call that frees results or reads an endpoint's free memory.
	controlTimeout = time.Second
	// orphanTTL is how long a job is kept after its link is lost; redialling takes a fraction of it.
	orphanTTL = 700 * time.Millisecond
	// forgetAfter is the time without jobs after which another entry may have dispatched, so that the
	// memory of the endpoints is not known any more. It is about the time for which they store results.
	forgetAfter = 4 * time.Second
	// retryWindow is how long a refused client is recognised as a returning one after the time at
	// which it was told to retry.
	retryWindow = 2 * time.Second
	// busyRetryAfter is the retry delay of a job that could not be submitted within its time.
	busyRetryAfter = 500 * time.Millisecond
)

// Options configures a Coordinator.
type Options struct {
	Upstream *upstream.Client
	Roster   *roster.Roster
	// EntryGone reports whether the process of an entry is known to have ended. If it is nil, no
	// entry is known to have ended.
	EntryGone func(name, incarnation string) bool
	// Rollouts says which versions of a service may get calls while a roll-out is undecided; nil knows none.
	Rollouts *canary.Tracker
	// OnNotice is called after an endpoint stated what the other entries need to know; it may be nil.
	OnNotice func()
	Logger   *slog.Logger
	Metrics  *Metrics
}

// Coordinator runs a dispatcher and makes its calls. It is safe for concurrent use.
type Coordinator struct {
	o    Options
	wake chan struct{}

	// stale is set if the next refresh is to read the endpoints from the roster even if the last read is recent.
	stale atomic.Bool
	// declared are the services that are or were declared, by name, guarded by declaredMu. The map is replaced, not changed.
	declaredMu sync.Mutex
	declared   map[string]*catalog.Service

	// mu guards the dispatcher and the fields below. What is done under it does not grow with what clients send.
	mu         lock
	dispatcher *dispatch.Dispatcher
	waiters    map[string]*waiter
	// endCall ends each call in progress, by the id of the call.
	endCall map[uint64]context.CancelFunc
	refused refusedSubjects
	// services are the declared services that the dispatcher knows, by name. The map is replaced, not changed.
	services    map[string]*catalog.Service
	lastRefresh time.Time
	// lastSubmit is when the last job was submitted; zero if another entry has dispatched since.
	lastSubmit time.Time
}

// waiter tracks an admitted job and the submitter that waits for its result. A job whose link is
// lost is kept for orphanTTL, so that its entry can ask for it again on a new link.
type waiter struct {
	// result receives the job's result; it is nil while no submitter waits.
	result     chan dispatch.JobResult
	orphanedAt time.Time
	// keptResult is the result of a job that ended while no submitter waited.
	keptResult      *dispatch.JobResult
	forecast        time.Duration
	firstEventDelay time.Duration
	// unreported are stage results that have not been passed to the submitter yet; notify holds a
	// value while there are any.
	unreported []dispatch.StageResults
	notify     chan struct{}
	// name and incarnation identify the entry that submitted the job.
	name, incarnation string
}

func newWaiter(a dispatch.Admission, j peers.Job) *waiter {
	return &waiter{
		name: j.Name, incarnation: j.Incarnation,
		result: make(chan dispatch.JobResult, 1), notify: make(chan struct{}, 1), forecast: a.Forecast, firstEventDelay: a.FirstEventDelay,
	}
}

// addResults queues stage results for the submitter.
func (w *waiter) addResults(results []dispatch.StageResults) {
	w.unreported = append(w.unreported, results...)
	select {
	case w.notify <- struct{}{}:
	default: // a notification is already pending
	}
}

// deliver passes the result to the submitter and reports whether one was waiting. If none was, it
// keeps the result.
func (w *waiter) deliver(r dispatch.JobResult) bool {
	if w.result == nil {
		w.keptResult = &r
		return false
	}
	w.result <- r
	return true
}

// New returns a coordinator without services.
func New(o Options) *Coordinator {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	if o.OnNotice == nil {
		o.OnNotice = func() {}
	}
	return &Coordinator{
		o: o, wake: make(chan struct{}, 1), mu: newLock(), dispatcher: dispatch.New(dispatch.Options{}),
		waiters: make(map[string]*waiter), endCall: make(map[uint64]context.CancelFunc), refused: newRefusedSubjects(),
		declared: make(map[string]*catalog.Service), services: make(map[string]*catalog.Service),
	}
}

// SetServices sets the declared services. One that is no longer declared keeps its last declaration, as entries that
// have not read the configuration yet submit jobs for it. It does not wait for jobs.
func (c *Coordinator) SetServices(services map[string]*catalog.Service) {
	c.declaredMu.Lock()
	declared := maps.Clone(c.declared)
	maps.Copy(declared, services)
	c.declared = declared
	c.declaredMu.Unlock()
	c.InvalidateEndpoints()
}

// InvalidateEndpoints makes the next refresh read the endpoints from the roster even if the last
// read is recent. It does not wait for jobs.
func (c *Coordinator) InvalidateEndpoints() { c.stale.Store(true) }

// declareServices passes the declared services to the dispatcher. The caller holds mu.
func (c *Coordinator) declareServices() {
	c.declaredMu.Lock()
	declared := c.declared
	c.declaredMu.Unlock()
	for name, s := range declared {
		if c.services[name] != s && s.Stages != nil {
			c.dispatcher.SetService(name, *s.Stages)
		}
	}
	c.services = declared
}

// refreshEndpoints reads the endpoints from the roster if the last read is older than
// refreshInterval. The caller holds mu.
func (c *Coordinator) refreshEndpoints(now time.Time) {
	if !c.stale.Swap(false) && now.Sub(c.lastRefresh) < refreshInterval {
		return
	}
	c.lastRefresh = now
	c.declareServices()
	for name, s := range c.services {
		switch {
		case s.Stages != nil:
			access := c.o.Rollouts.Access(now, name)
			endpoints := c.o.Roster.Endpoints(now, name)
			if access.Target != "" { // there may be thousands of endpoints
				endpoints = slices.DeleteFunc(endpoints, func(e catalog.Endpoint) bool { return !access.Allows(e) })
			}
			c.dispatcher.SetEndpoints(name, endpoints)
			c.dispatcher.SetTrial(name, access.Target, access.Share)
			c.dispatcher.SetCallIntervals(name, c.o.Roster.CallIntervals(now, name))
		case s.Engine:
			access := c.o.Rollouts.Access(now, name)
			engines := c.o.Roster.Engines(now, name)
			if access.Target != "" {
				// Streams that began at the earlier versions go on there, so that the requests choose between versions.
				engines = slices.DeleteFunc(engines, func(e dispatch.Engine) bool {
					return e.Version == access.Target && !access.Allows(e.Endpoint)
				})
			}
			c.dispatcher.SetEngines(s, engines)
		}
	}
}

// Submit admits a job and waits for its outcome, as described at peers.JobHandler.
func (c *Coordinator) Submit(ctx context.Context, j peers.Job, onResults func([]dispatch.StageResults)) peers.Outcome {
	return c.Admit(j)(ctx, onResults)
}

// awaiting waits for the outcome of a job, as described at peers.JobHandler.
type awaiting = func(ctx context.Context, onResults func([]dispatch.StageResults)) peers.Outcome

// Admit implements peers.JobHandler.
func (c *Coordinator) Admit(j peers.Job) awaiting {
	if !c.mu.LockWithin(time.Duration(j.DeadlineMS) * time.Millisecond) {
		return c.refuse(j, dispatch.Admission{Reason: "the dispatcher is busy", RetryAfter: busyRetryAfter})
	}
	now := time.Now()
	if w := c.waiters[j.JobID()]; w != nil {
		return c.resume(j, w)
	}
	c.refreshEndpoints(now)
	if now.Sub(c.lastSubmit) > forgetAfter {
		c.dispatcher.ForgetMemory(now)
	}
	c.lastSubmit = now
	job := j.Dispatch(now)
	job.Retry = c.refused.has(now, j.Subject)
	a := c.dispatcher.Submit(now, job)
	if a.Unavailable != "" {
		a.RetryAfter = cmp.Or(c.o.Roster.Delay(now, roster.Filter{Service: a.Unavailable}), a.RetryAfter)
	}
	if !a.Admitted {
		c.refused.add(j.Subject, now.Add(a.RetryAfter+retryWindow))
		c.mu.Unlock()
		return c.refuse(j, a)
	}
	c.refused.remove(j.Subject)
	w := newWaiter(a, j)
	c.waiters[j.JobID()] = w
	result := w.result
	c.mu.Unlock()
	c.o.Logger.Info("stages admitted", "request", j.ID, "rank", j.Rank, "stages", len(j.Stages), "returning", job.Retry,
		"forecast_ms", a.Forecast.Milliseconds(), "tail_ms", a.FirstEventDelay.Milliseconds(), "target_ms", j.TargetMS, "deadline_ms", j.DeadlineMS,
		"made_before", len(j.PriorResults))
	c.wakeRun()
	c.flush()
	return c.outcomeOf(j, w, result)
}

// refuse records the refusal of a job and returns a function that returns it.
func (c *Coordinator) refuse(j peers.Job, a dispatch.Admission) awaiting {
	c.o.Metrics.Jobs.WithLabelValues("refused").Inc()
	c.o.Logger.Info("stages refused", "request", j.ID, "reason", a.Reason, "forecast_ms", a.Forecast.Milliseconds(),
		"deadline_ms", j.DeadlineMS, "tail_ms", a.FirstEventDelay.Milliseconds(), "rank", j.Rank, "retry_after_ms", a.RetryAfter.Milliseconds())
	refusal := peers.Outcome{Refused: true, Problem: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), ForecastMS: a.Forecast.Milliseconds()}
	return func(context.Context, func([]dispatch.StageResults)) peers.Outcome { return refusal }
}

// resume attaches a submitter to a job that was submitted before, on a link that was lost. If that has not been
// noticed yet, the former submission is answered, as its submitter may be the one that still waits. The caller holds
// mu; resume unlocks it.
func (c *Coordinator) resume(j peers.Job, w *waiter) awaiting {
	if w.result != nil {
		w.result <- dispatch.JobResult{ID: j.JobID(), HandedOver: true}
	}
	result := make(chan dispatch.JobResult, 1)
	w.result, w.orphanedAt = result, time.Time{}
	if w.keptResult != nil {
		result <- *w.keptResult
		delete(c.waiters, j.JobID())
	}
	c.mu.Unlock()
	c.o.Logger.Info("stages resumed on a new link", "request", j.ID)
	return c.outcomeOf(j, w, result)
}

// outcomeOf returns a function that waits for a job and completes its outcome with the forecasts made at admission.
func (c *Coordinator) outcomeOf(j peers.Job, w *waiter, result chan dispatch.JobResult) awaiting {
	return func(ctx context.Context, onResults func([]dispatch.StageResults)) peers.Outcome {
		o := c.awaitResult(ctx, j, w, result, onResults)
		o.ForecastMS, o.TimeToFirstEventMS = w.forecast.Milliseconds(), w.firstEventDelay.Milliseconds()
		return o
	}
}

// awaitResult passes stage results to onResults until the job ends or ctx, which stands for the
// link to the submitter, is done.
func (c *Coordinator) awaitResult(ctx context.Context, j peers.Job, w *waiter, result chan dispatch.JobResult, onResults func([]dispatch.StageResults)) peers.Outcome {
	for {
		select {
		case r := <-result:
			if r.HandedOver {
				c.report(w, onResults)
			}
			return c.recordResult(j, r)
		case <-w.notify:
			c.report(w, onResults)
		case <-ctx.Done():
			c.mu.Lock()
			if w.result == result {
				w.result, w.orphanedAt = nil, time.Now()
			}
			c.mu.Unlock()
			return peers.Outcome{Problem: "link lost"}
		}
	}
}

// report passes the stage results that the submitter does not know yet to onResults.
func (c *Coordinator) report(w *waiter, onResults func([]dispatch.StageResults)) {
	c.mu.Lock()
	results := w.unreported
	w.unreported = nil
	c.mu.Unlock()
	if len(results) > 0 {
		onResults(results)
	}
}

// recordResult counts and logs the result of a job and returns its outcome.
func (c *Coordinator) recordResult(j peers.Job, r dispatch.JobResult) peers.Outcome {
	if r.HandedOver {
		c.o.Metrics.Jobs.WithLabelValues("moved").Inc()
		c.o.Logger.Info("stages handed over", "request", j.ID)
		return peers.MovedOutcome(false)
	}
	if r.Problem != "" {
		c.o.Metrics.Jobs.WithLabelValues("failed").Inc()
		c.o.Logger.Info("stages failed", "request", j.ID, "reason", r.Problem)
		return peers.Outcome{Problem: r.Problem}
	}
	c.o.Metrics.Jobs.WithLabelValues("done").Inc()
	c.o.Logger.Info("engine booked", "request", j.ID, "engine", r.Engine, "fetch_from", r.FetchFrom, "results", len(r.Handles))
	return peers.Outcome{
		Handles: r.Handles, Engine: r.Engine, FetchFrom: r.FetchFrom, TurnBooked: r.TurnBooked, StartAfterMS: r.StartAfter.Milliseconds(),
	}
}

// Cancel implements peers.JobHandler.
func (c *Coordinator) Cancel(id string) {
	c.mu.Lock()
	c.dispatcher.Cancel(time.Now(), id)
	c.endWait(id, "cancelled")
	c.mu.Unlock()
	c.flush()
}

// endWait answers the submitter that still waits for a job which has been ended from outside. The caller
// holds mu.
func (c *Coordinator) endWait(id, problem string) {
	if w := c.waiters[id]; w != nil {
		delete(c.waiters, id)
		w.deliver(dispatch.JobResult{ID: id, Problem: problem})
	}
}

// HandOver makes the submitters of all jobs in progress submit them to the dispatcher that is elected
// now, once the calls of each have ended. The entry calls it when another one takes its place.
func (c *Coordinator) HandOver() {
	c.mu.Lock()
	c.dispatcher.HandOver(time.Now())
	c.lastSubmit = time.Time{}
	c.mu.Unlock()
	c.flush()
}

// InputsRead implements peers.JobHandler.
func (c *Coordinator) InputsRead(id string) {
	c.mu.Lock()
	c.dispatcher.InputsRead(id)
	c.mu.Unlock()
	c.flush()
}

// Release implements peers.JobHandler.
func (c *Coordinator) Release(id string, r dispatch.EngineReport) {
	c.mu.Lock()
	c.dispatcher.Release(time.Now(), id, r)
	c.endWait(id, "released before its end")
	c.mu.Unlock()
	c.flush()
}

// Run expires jobs, refreshes the endpoints and dispatches queued tasks until ctx is done.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTimer(idleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-t.C:
		}
		if c.expire() {
			t.Reset(busyInterval)
		} else {
			t.Reset(idleInterval)
		}
		c.flush()
	}
}

// wakeRun makes Run check now and return to its busy interval.
func (c *Coordinator) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// expire ends jobs whose deadline has passed, drops orphaned jobs, and reports whether jobs or calls are in progress.
func (c *Coordinator) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refreshEndpoints(now)
	c.dispatcher.Expire(now)
	for id, w := range c.waiters {
		if !w.orphanedAt.IsZero() && now.Sub(w.orphanedAt) > orphanTTL {
			delete(c.waiters, id)
			gone := c.o.EntryGone != nil && c.o.EntryGone(w.name, w.incarnation)
			if gone {
				c.dispatcher.Cancel(now, id)
			} else {
				// The entry may have submitted the job to another dispatcher, together with the
				// results that it received from this one.
				c.dispatcher.Abandon(now, id)
			}
			c.o.Logger.Info("job abandoned, its link was not dialled anew", "request", id, "entry", w.name, "entry_gone", gone)
		}
	}
	return c.dispatcher.Busy()
}

// flush starts the calls that the dispatcher has scheduled and passes results to the submitters.
func (c *Coordinator) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, call := range c.dispatcher.Schedule(now) {
		c.o.Metrics.Calls.Inc()
		c.o.Metrics.Tasks.Add(float64(len(call.Tasks)))
		ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
		c.endCall[call.ID] = cancel
		go c.runCall(ctx, call)
	}
	for _, id := range c.dispatcher.TakeEndedCalls() {
		if end := c.endCall[id]; end != nil {
			end()
		}
	}
	for id, results := range c.dispatcher.TakeStageResults() {
		if w := c.waiters[id]; w != nil {
			w.addResults(results)
		}
	}
	for _, r := range c.dispatcher.TakeJobResults() {
		w := c.waiters[r.ID]
		if w == nil {
			continue
		}
		w.unreported = append(w.unreported, r.StageResults...)
		if w.deliver(r) {
			delete(c.waiters, r.ID)
		}
	}
	for _, f := range c.dispatcher.TakeFreeRequests() {
		go c.freeResults(f)
	}
	for _, e := range c.dispatcher.TakeMemoryQueries() {
		go c.queryFreeMemory(e)
	}
}

// runCall makes one call and reports its outcome to the dispatcher.
func (c *Coordinator) runCall(ctx context.Context, call dispatch.Call) {
	start := time.Now()
	send := c.o.Rollouts.Begin(call.Endpoint, "", false)
	results, failure, err := c.runTasks(ctx, call)
	now := time.Now()
	recordSend(send, call, results, failure, now.Sub(start))
	c.mu.Lock()
	c.endCall[call.ID]()
	delete(c.endCall, call.ID)
	if failure != 0 {
		c.dispatcher.Fail(now, call.ID, failure)
	} else {
		c.dispatcher.Complete(now, call.ID, results)
	}
	c.mu.Unlock()
	if failure != 0 {
		c.o.Metrics.CallFailures.Inc()
	}
	c.logCall(call, now.Sub(start), results, err)
	c.flush()
}

// recordSend records the outcome of a call for the roll-out of its service.
func recordSend(s *canary.Send, call dispatch.Call, results []stage.Result, failure dispatch.Failure, took time.Duration) {
	switch {
	case failure == dispatch.ResponseLost:
		s.Lost()
	case failure != 0:
		s.End()
	default:
		failed := slices.ContainsFunc(results, func(r stage.Result) bool { return r.Problem == stage.Failed })
		s.Answered(failed, time.Duration(float64(time.Second)*float64(took)/float64(max(call.Expected, time.Millisecond))))
	}
}

// freeResults tells an endpoint to free results, after the pause that the endpoint may have asked
// for. Results that expire before the end of the pause, and those of an endpoint with a limit, are left
// to expire.
func (c *Coordinator) freeResults(f dispatch.FreeRequest) {
	now := time.Now()
	if c.o.Roster.HasRateLimit(now, f.Endpoint.ID) {
		return
	}
	if pause := c.o.Roster.PausedFor(now, f.Endpoint.ID); pause > 0 {
		if pause < c.resultTTL(f.Endpoint.Service) {
			time.AfterFunc(pause, func() { c.freeResults(f) })
		}
		return
	}
	out, err := fleet.StageFreeCall(f.Endpoint.ID, f.Handles)
	if err != nil {
		c.o.Logger.Error("could not encode a call to free results", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if _, _, err := c.send(ctx, f.Endpoint, out); err != nil {
		// The endpoint discards the results when their TTL ends.
		c.o.Metrics.CallFailures.Inc()
	}
}

// resultTTL returns how long the endpoints of a stage service store results.
func (c *Coordinator) resultTTL(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.services[service]; s != nil && s.Stages != nil {
		return s.Stages.ResultTTL
	}
	return 0
}

// send makes a call to an endpoint and reads its response. It records what the endpoint reports of itself.
// The body is read for status 200 only.
func (c *Coordinator) send(ctx context.Context, e catalog.Endpoint, out fleet.Call) (*http.Response, []byte, error) {
	sentAt := time.Now()
	resp, err := c.o.Upstream.Do(ctx, upstream.Target{ID: e.ID, Address: e.Address}, upstream.Request{
		ID: out.ID, Method: out.Method, URI: out.Path, Host: e.Address, Header: out.Header, Body: out.Body,
		AnyAnswer: out.AnyAnswer,
	})
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	info := fleet.DecodeResponse(resp.StatusCode, resp.Header)
	changed := c.o.Roster.RecordStatus(time.Now(), e, roster.Status{
		Load: -1, Leaving: info.Leaving, RetryAfter: info.RetryAfter,
		Limit: roster.RateLimit{Active: info.Limited, PerSecond: info.Limit}, SentAt: sentAt,
		// The answer may be to an earlier call: what it states still restrains the entry, what it does not state may hold.
		LimitUnknown: out.AnyAnswer && !info.Limited,
	})
	if changed {
		c.o.OnNotice()
	}
	if changed || info.Leaving || info.RetryAfter > 0 {
		c.InvalidateEndpoints()
	}
	if resp.StatusCode != http.StatusOK {
		return resp, nil, nil
	}
	body, err := upstream.ReadBody(resp, out.MaxResponse)
	return resp, body, err
}
