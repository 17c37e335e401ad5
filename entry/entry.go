package entry

import (
	"context"
	"github.com/azurelead/azurelead/retrybudget"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstLinksBound is how long a start waits for links before readiness.
	firstLinksBound = 2 * time.Second
	// firstLinksPoll is how often the start looks for them.
	firstLinksPoll = 5 * time.Millisecond
)

// Entry serves callers. New starts it; Shutdown stops it gracefully.
type Entry struct {
	o         Options
	m         *metrics
	fleet     *fleet
	calls     *calls
	auth      authenticator
	flights   *flights
	shares    *pipelineShares
	latencies *latencies
	budgets   *retrybudget.Set
	pause     *PauseGuard
	handler   http.Handler
	ctx       context.Context
	stop      context.CancelFunc
	loops     sync.WaitGroup
	leaving   atomic.Bool

	work    sync.Mutex // guards the start of work against the wait for its end
	working sync.WaitGroup
}

// New returns a started Entry.
func New(o Options) (*Entry, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{
		o:         o,
		m:         newMetrics(o.Registry),
		flights:   newFlights(),
		shares:    newPipelineShares(),
		latencies: newLatencies(),
		budgets:   &retrybudget.Set{},
		ctx:       ctx,
		stop:      stop,
	}
	e.fleet = newFleet(&e.o, e.m)
	e.pause = NewPauseGuard(time.Now(), e.renew)
	e.calls = newCalls(e.fleet, e.o.Dial)
	e.handler = e.routes()
	e.loops.Go(func() { e.fleet.run(ctx) })
	e.loops.Go(func() { e.pause.Run(ctx) })
	e.loops.Go(func() { e.becomeReady(ctx) })
	return e, nil
}

// Handler serves callers.
func (e *Entry) Handler() http.Handler { return e.handler }

func (e *Entry) renew(ctx context.Context) error {
	e.m.pauses.Inc()
	e.o.Logger.Warn("process was paused, settings are renewed")
	return e.o.Renew(ctx)
}

// becomeReady sets readiness once there are settings and links, or after a
// bound when some agents do not answer.
func (e *Entry) becomeReady(ctx context.Context) {
	deadline := time.Now().Add(firstLinksBound)
	for ctx.Err() == nil {
		up, wanted := e.fleet.linked()
		linked := wanted > 0 && up == wanted
		if e.o.Settings.Current() != nil && (linked || up > 0 && time.Now().After(deadline)) {
			break
		}
		sleep(ctx, firstLinksPoll)
	}
	if ctx.Err() == nil && !e.leaving.Load() {
		e.o.Readiness.Set(true)
	}
}

// begin counts a request in progress; it reports false once the entry leaves.
func (e *Entry) begin() bool {
	e.work.Lock()
	defer e.work.Unlock()
	if e.leaving.Load() {
		return false
	}
	e.working.Add(1)
	return true
}

// background runs f beside requests; Shutdown waits for it.
func (e *Entry) background(f func(ctx context.Context)) {
	e.work.Lock()
	defer e.work.Unlock()
	e.working.Go(func() { f(e.ctx) })
}

// Shutdown leaves the balancer, refuses new requests, and closes the links
// after every request in progress has ended, or when ctx ends.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.o.Readiness.Set(false)
	sleep(ctx, e.o.DeregistrationDelay)
	e.work.Lock()
	e.leaving.Store(true)
	e.work.Unlock()
	done := make(chan struct{})
	go func() {
		e.working.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = Error.New("requests were cut: %v", ctx.Err())
	}
	e.stop()
	e.loops.Wait()
	e.calls.close()
	return err
}
