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
	// firstLinksTimeout bounds how long readiness waits for links to all agents
	// at the start.
	firstLinksTimeout = 2 * time.Second
	// answerTimeout bounds the time to answer the requests that a stop has ended.
	answerTimeout = time.Second
	// firstLinksPollInterval is how often the links are checked meanwhile.
	firstLinksPollInterval = 5 * time.Millisecond
)

// Entry serves callers. New starts it and Shutdown stops it gracefully.
type Entry struct {
	o          Options
	m          *metrics
	fleet      *fleet
	linkCache  *linkCache
	auth       authenticator
	flights    *flightGroup
	shares     *pipelineShares
	latencies  *latencies
	budgets    *retrybudget.Set
	pauseGuard *PauseGuard
	handler    http.Handler
	ctx        context.Context
	stop       context.CancelFunc
	loops      sync.WaitGroup
	draining   atomic.Bool

	drainMu    sync.Mutex // orders inProgress.Add before inProgress.Wait
	inProgress sync.WaitGroup
	// answerCtx ends when a stop no longer waits for requests, which are then answered.
	answerCtx context.Context
	answerNow context.CancelFunc
}

// New starts an Entry. It returns an error if a required option is missing.
func New(o Options) (*Entry, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{
		o:         o,
		m:         newMetrics(o.Registry),
		flights:   newFlightGroup(),
		shares:    newPipelineShares(),
		latencies: newLatencies(),
		budgets:   &retrybudget.Set{},
		ctx:       ctx,
		stop:      stop,
	}
	e.answerCtx, e.answerNow = context.WithCancel(context.Background())
	e.fleet = newFleet(&e.o, e.m)
	e.pauseGuard = NewPauseGuard(time.Now(), e.renewSettings)
	e.linkCache = newLinkCache(e.fleet, e.o.Dial)
	e.handler = e.routes()
	e.loops.Go(func() { e.fleet.run(ctx) })
	e.loops.Go(func() { e.pauseGuard.Run(ctx) })
	e.loops.Go(func() { e.becomeReady(ctx) })
	return e, nil
}

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler { return e.handler }

// renewSettings updates the settings after a pause of the process.
func (e *Entry) renewSettings(ctx context.Context) error {
	e.m.pauses.Inc()
	e.o.Logger.Warn("process was paused; renewing settings")
	return e.o.Renew(ctx)
}

// becomeReady turns readiness on once there are settings and links to all target
// agents. After firstLinksTimeout one link is enough, as some agents may not answer.
func (e *Entry) becomeReady(ctx context.Context) {
	deadline := time.Now().Add(firstLinksTimeout)
	for ctx.Err() == nil {
		up, targets := e.fleet.linkCounts()
		linked := targets > 0 && up == targets
		if e.o.Settings.Current() != nil && (linked || up > 0 && time.Now().After(deadline)) {
			break
		}
		sleep(ctx, firstLinksPollInterval)
	}
	if ctx.Err() == nil && !e.draining.Load() {
		e.o.Readiness.Set(true)
	}
}

// beginRequest counts a request in progress. It returns false once the entry is draining.
func (e *Entry) beginRequest() bool {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	if e.draining.Load() {
		return false
	}
	e.inProgress.Add(1)
	return true
}

// background runs f in a goroutine that Shutdown waits for.
func (e *Entry) background(f func(ctx context.Context)) {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	e.inProgress.Go(func() { f(e.ctx) })
}

// Shutdown turns readiness off, waits until the load balancer has stopped sending
// requests, and then refuses new ones. It closes the links once every request in
// progress has ended. If ctx ends first, the remaining requests are answered with what is
// known of their run, and an error is returned.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.o.Readiness.Set(false)
	sleep(ctx, e.o.DeregistrationDelay)
	e.drainMu.Lock()
	e.draining.Store(true)
	e.drainMu.Unlock()
	done := make(chan struct{})
	go func() {
		e.inProgress.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = Error.New("requests were ended: %v", ctx.Err())
	}
	e.answerNow()
	select {
	case <-done:
	case <-time.After(answerTimeout):
		err = Error.New("requests were cut: %v", ctx.Err())
	}
	e.stop()
	e.loops.Wait()
	e.linkCache.closeAll()
	return err
}
