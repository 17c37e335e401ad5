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

	"github.com/prometheus/client_golang/prometheus"

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
	// returnWindow is how long a refused client is recognised after the time
	// that it was told.
	returnWindow = 2 * time.Second
)

// Options configures a Coordinator.
type Options struct {
	Upstream *upstream.Client
	Roster   *roster.Roster
	Logger   *slog.Logger
	Metrics  *Metrics
}

// Coordinator runs a dispatcher. It is safe for concurrent use.
type Coordinator struct {
	o    Options
	wake chan struct{}

	mu      sync.Mutex
	d       *dispatch.Dispatcher
	waiters map[string]chan dispatch.Finished
	// refused holds when clients that were refused are recognised until.
	refused map[string]time.Time
	// services are those that do stages.
	services  map[string]*catalog.Service
	refreshed time.Time
}

// New returns a coordinator without services.
func New(o Options) *Coordinator {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return &Coordinator{
		o: o, wake: make(chan struct{}, 1), d: dispatch.New(dispatch.Options{}),
		waiters: make(map[string]chan dispatch.Finished), refused: make(map[string]time.Time),
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

// Submit implements peers.Jobs.
func (c *Coordinator) Submit(ctx context.Context, j peers.Job) peers.Outcome {
	now := time.Now()
	c.mu.Lock()
	c.refresh(now)
	job := j.Dispatch(now)
	job.Returning = j.Subject != "" && now.Before(c.refused[j.Subject])
	a := c.d.Submit(now, job)
	if !a.Admitted {
		if j.Subject != "" {
			c.refused[j.Subject] = now.Add(a.RetryAfter + returnWindow)
		}
		c.mu.Unlock()
		c.o.Metrics.Jobs.WithLabelValues("refused").Inc()
		c.o.Logger.Info("stages refused", "request", j.ID, "reason", a.Reason, "forecast_ms", a.Forecast.Milliseconds(),
			"deadline_ms", j.DeadlineMS, "tail_ms", a.Tail.Milliseconds(), "rank", j.Rank, "retry_after_ms", a.RetryAfter.Milliseconds())
		return peers.Outcome{Refused: true, Problem: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), ForecastMS: a.Forecast.Milliseconds()}
	}
	delete(c.refused, j.Subject)
	wait := make(chan dispatch.Finished, 1)
	c.waiters[j.ID] = wait
	c.mu.Unlock()
	c.o.Logger.Info("stages admitted", "request", j.ID, "rank", j.Rank, "stages", len(j.Stages), "returning", job.Returning,
		"forecast_ms", a.Forecast.Milliseconds(), "tail_ms", a.Tail.Milliseconds(), "target_ms", j.TargetMS, "deadline_ms", j.DeadlineMS)
	c.awake()
	c.pump()
	o := c.await(ctx, j, wait)
	o.ForecastMS, o.TailMS = a.Forecast.Milliseconds(), a.Tail.Milliseconds()
	return o
}

func (c *Coordinator) await(ctx context.Context, j peers.Job, wait chan dispatch.Finished) peers.Outcome {
	select {
	case f := <-wait:
		if f.Problem != "" {
			c.o.Metrics.Jobs.WithLabelValues("failed").Inc()
			c.o.Logger.Info("stages failed", "request", j.ID, "reason", f.Problem)
			return peers.Outcome{Problem: f.Problem}
		}
		c.o.Metrics.Jobs.WithLabelValues("done").Inc()
		c.o.Logger.Info("engine booked", "request", j.ID, "engine", f.Engine, "fetch_from", f.FetchFrom, "results", len(f.Handles))
		return peers.Outcome{Handles: f.Handles, Engine: f.Engine, FetchFrom: f.FetchFrom}
	case <-ctx.Done():
		c.Cancel(j.ID)
		return peers.Outcome{Problem: "cancelled"}
	}
}

// Cancel implements peers.Jobs.
func (c *Coordinator) Cancel(id string) {
	c.mu.Lock()
	c.d.Cancel(time.Now(), id)
	if wait := c.waiters[id]; wait != nil {
		delete(c.waiters, id)
		wait <- dispatch.Finished{ID: id, Problem: "cancelled"}
	}
	c.mu.Unlock()
	c.pump()
}

// Release implements peers.Jobs.
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
	for _, f := range c.d.Finished() {
		if wait := c.waiters[f.ID]; wait != nil {
			delete(c.waiters, f.ID)
			wait <- f
		}
	}
	for _, f := range c.d.Frees() {
		go c.free(f)
	}
	for _, e := range c.d.Asks() {
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

func (c *Coordinator) free(f dispatch.Free) {
	out, err := fleet.StageFree(f.Endpoint.ID, f.Handles)
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

// Metrics counts what the dispatcher did.
type Metrics struct {
	Jobs         *prometheus.CounterVec
	Calls        prometheus.Counter
	CallFailures prometheus.Counter
	Tasks        prometheus.Counter
}

// NewMetrics returns metrics that are registered unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "azurelead", Subsystem: "stages", Name: name, Help: help}
	}
	m := &Metrics{
		Jobs:         prometheus.NewCounterVec(opts("jobs_total", "Requests whose stages were dispatched, by outcome."), []string{"outcome"}),
		Calls:        prometheus.NewCounter(opts("calls_total", "Calls of endpoints of stage services.")),
		CallFailures: prometheus.NewCounter(opts("call_failures_total", "Calls of endpoints of stage services that brought no results.")),
		Tasks:        prometheus.NewCounter(opts("tasks_total", "Tasks in calls of endpoints of stage services.")),
	}
	if r != nil {
		r.MustRegister(m.Jobs, m.Calls, m.CallFailures, m.Tasks)
	}
	return m
}
