package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("agent")

// Agent is the handler behind an agent's links.
type Agent struct {
	o         Options
	admission *admission
	attempts  *attempts
	pause     *pause
	metrics   *metrics
	version   atomic.Uint64
	turns     atomic.Int64
	// collecting is held while the calls in flight at a crash are collected.
	collecting sync.Mutex
	// probeNow asks for a probe ahead of its time.
	probeNow chan struct{}

	// base ends when the agent is closed, and with it every attempt.
	base  context.Context
	close context.CancelFunc
	wg    sync.WaitGroup
}

var _ link.Handler = (*Agent)(nil)

// New returns an agent and starts its probes. Close stops it.
func New(o Options) (*Agent, error) {
	o.setDefaults()
	if o.Endpoint == nil || o.Settings == nil {
		return nil, Error.New("endpoint and settings are needed")
	}
	a := &Agent{o: o, probeNow: make(chan struct{}, 1), attempts: newAttempts(time.Now), pause: newPause(o.PauseThreshold, time.Now())}
	a.base, a.close = context.WithCancel(context.Background())
	limits, queueLimit, _ := a.limits(o.Settings.Current())
	_, reports := o.Endpoint.(endpoint.Prober)
	now := time.Now()
	l := newLimiter(limits, reports, now.Add(o.ReportLag), now.Add(o.PredecessorTimeout))
	a.admission = newAdmission(l, queueLimit, time.Now)
	a.metrics = newMetrics(o.Registerer, a.Load)
	a.turns.Store(int64(l.turns))
	a.follow()
	a.wg.Go(a.tickLoop)
	a.wg.Go(a.probeLoop)
	a.wg.Go(a.watchLoop)
	return a, nil
}

// Boot names this life of the agent.
func (a *Agent) Boot() contract.BootID { return a.o.Boot }

// Close ends every attempt and stops the agent. A planned stop calls Leave and
// shuts the links down first.
func (a *Agent) Close() {
	a.close()
	a.wg.Wait()
}

// Leave refuses new work for good.
func (a *Agent) Leave() {
	a.admission.setGate(func(g *gate) { g.leaving = true })
	a.o.Logger.Info("leaving", "agent", a.o.Name)
}

// limits resolves the settings of this agent's endpoint.
func (a *Agent) limits(s *settings.Snapshot) (Limits, int, bool) {
	if s == nil {
		s = &settings.Snapshot{}
	}
	e := s.ResolveEndpoint(a.o.DataCentre, a.o.Pool, a.o.EndpointName)
	return Limits{Cold: e.ColdLimit, Max: e.MaxLimit, RampSuccesses: e.RampAnswers}, e.QueueLimit, s.OutOfService(a.o.DataCentre)
}

// follow puts changed settings in force.
func (a *Agent) follow() {
	s := a.o.Settings.Current()
	if s == nil || a.version.Load() == s.Version && s.Version != 0 {
		return
	}
	limits, queueLimit, out := a.limits(s)
	if a.version.Swap(s.Version) != s.Version {
		a.o.Logger.Info("settings in force", "version", s.Version, "out", out)
	}
	a.admission.set(limits, queueLimit)
	returned := false
	a.admission.setGate(func(g *gate) { returned, g.out = g.out && !out, out })
	if returned {
		// Caches and batches were idle while the data centre was out.
		a.admission.turnCold(ColdDataCentreReturn)
		a.noteCold()
	}
}

// tickLoop finds pauses and follows the settings.
func (a *Agent) tickLoop() {
	t := time.NewTicker(a.o.PauseThreshold / pauseTicks)
	defer t.Stop()
	for {
		select {
		case <-a.base.Done():
			return
		case <-t.C:
		}
		a.pause.tick(time.Now())
		if a.pause.isStale(time.Now()) {
			a.renew()
		}
		a.follow()
	}
}

// renew asks anew for the settings after a pause. Without the store or a peer
// the agent goes on with what it knows: the page for operators says so.
func (a *Agent) renew() {
	a.metrics.pauses.Inc()
	a.o.Logger.Warn("process was paused", "bound", a.o.PauseThreshold)
	if a.o.RefreshSettings != nil {
		ctx, cancel := context.WithTimeout(a.base, a.o.PauseThreshold/2)
		defer cancel()
		if err := a.o.RefreshSettings(ctx); err != nil {
			a.o.Logger.Warn("settings not renewed after a pause", "error", err)
		}
	}
	a.follow()
	a.pause.renewed(time.Now())
}
