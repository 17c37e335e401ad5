package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
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
	a := &Agent{o: o, probeNow: make(chan struct{}, 1), attempts: newAttempts(time.Now), pause: newPause(o.PauseBound, time.Now())}
	a.base, a.close = context.WithCancel(context.Background())
	limits, queueLimit, _ := a.limits(o.Settings.Current())
	_, reports := o.Endpoint.(endpoint.Prober)
	now := time.Now()
	l := newLimiter(limits, reports, now.Add(o.ReportLag), now.Add(o.ForeignBound))
	a.admission = newAdmission(l, queueLimit, time.Now)
	a.metrics = newMetrics(o.Registerer, a.Load)
	a.turns.Store(int64(l.turns))
	a.follow()
	a.wg.Go(a.tickLoop)
	a.wg.Go(a.probeLoop)
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
	e := s.Endpoint(a.o.DataCentre, a.o.Pool, a.o.EndpointName)
	return Limits{Cold: e.ColdLimit, Max: e.MaxLimit, Ramp: e.RampAnswers}, e.QueueLimit, s.Out(a.o.DataCentre)
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
	a.admission.setGate(func(g *gate) { g.out = out })
}

// tickLoop finds pauses and follows the settings.
func (a *Agent) tickLoop() {
	t := time.NewTicker(a.o.PauseBound / pauseTicks)
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
	a.o.Logger.Warn("process was paused", "bound", a.o.PauseBound)
	if a.o.Refresh != nil {
		ctx, cancel := context.WithTimeout(a.base, a.o.PauseBound/2)
		defer cancel()
		if err := a.o.Refresh(ctx); err != nil {
			a.o.Logger.Warn("settings not renewed after a pause", "error", err)
		}
	}
	a.follow()
	a.pause.renewed(time.Now())
}

// probeLoop asks the endpoint for its health, more often while that matters.
func (a *Agent) probeLoop() {
	p, ok := a.o.Endpoint.(endpoint.Prober)
	failed := false
	for {
		if ok {
			failed = a.probe(p, failed)
		} else {
			a.admission.poke()
		}
		select {
		case <-a.base.Done():
			return
		case <-a.probeNow:
		case <-time.After(a.probePause()):
		}
	}
}

// foreignProbes is how many probes fit into the lag of reports while calls of
// a former agent may still run, or while the endpoint is down.
const foreignProbes = 4

func (a *Agent) probePause() time.Duration {
	_, _, foreign := a.admission.coldTurns()
	switch {
	case foreign, a.admission.isDown():
		return min(a.o.ProbeInterval, a.o.ReportLag/foreignProbes)
	case a.Load().Cold:
		return min(a.o.ProbeInterval, a.o.ReportLag)
	}
	return a.o.ProbeInterval
}

// probe asks once and reports whether it failed.
func (a *Agent) probe(p endpoint.Prober, failed bool) bool {
	ctx, cancel := context.WithTimeout(a.base, a.o.ProbeInterval)
	defer cancel()
	h, err := p.Probe(ctx)
	if a.base.Err() != nil {
		return failed
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.endpointDied()
	}
	wasDown := a.admission.isDown()
	a.admission.health(h, err)
	a.noteCold()
	if wasDown && err == nil {
		a.o.OnState()
	}
	if (err != nil) != failed {
		a.o.Logger.Warn("endpoint reachable", "endpoint", a.o.EndpointName, "reachable", err == nil, "error", err)
	}
	return err != nil
}

// endpointDied refuses new work until the endpoint reports again.
func (a *Agent) endpointDied() {
	if _, ok := a.o.Endpoint.(endpoint.Prober); !ok || !a.admission.setDown() {
		return
	}
	a.noteCold()
	a.o.OnState()
	select {
	case a.probeNow <- struct{}{}:
	default:
	}
}

// noteCold counts and logs that the endpoint was taken for cold again.
func (a *Agent) noteCold() {
	turns, why, _ := a.admission.coldTurns()
	if a.turns.Swap(int64(turns)) == int64(turns) {
		return
	}
	a.metrics.cold.WithLabelValues(string(why)).Inc()
	a.o.Logger.Warn("endpoint taken for cold", "endpoint", a.o.EndpointName, "reason", why)
}
