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

// Error is the class of the errors of this package.
var Error = errs.Class("agent")

// Agent implements link.Handler for one endpoint.
type Agent struct {
	options         Options
	admission       *admission
	attempts        *attemptTable
	pause           *pauseDetector
	metrics         *metrics
	settingsVersion atomic.Uint64
	// coldCount is the limiter's coldCount when a change was last recorded.
	coldCount atomic.Int64
	// crashMu is held while the calls in flight at a crash are marked.
	crashMu sync.Mutex
	// probeRequests requests a probe before the next one is due.
	probeRequests chan struct{}

	// baseCtx is the parent of the context of every attempt. It is cancelled when the agent is
	// closed.
	baseCtx context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

var _ link.Handler = (*Agent)(nil)

// New returns an agent and starts its health probes. Close stops it.
func New(o Options) (*Agent, error) {
	o.setDefaults()
	if o.Endpoint == nil || o.Settings == nil {
		return nil, Error.New("endpoint and settings are needed")
	}
	a := &Agent{options: o, probeRequests: make(chan struct{}, 1), attempts: newAttemptTable(time.Now), pause: newPauseDetector(o.PauseThreshold, time.Now())}
	a.baseCtx, a.cancel = context.WithCancel(context.Background())
	limits, queueLimit, _ := a.resolveLimits(o.Settings.Current())
	_, hasProber := o.Endpoint.(endpoint.Prober)
	now := time.Now()
	l := newLimiter(limits, hasProber, now.Add(o.ReportLag), now.Add(o.PredecessorTimeout))
	a.admission = newAdmission(l, queueLimit, time.Now)
	a.metrics = newMetrics(o.Registerer, a.Load)
	a.coldCount.Store(int64(l.coldCount))
	a.applySettings()
	a.wg.Go(a.tickLoop)
	a.wg.Go(a.probeLoop)
	a.wg.Go(a.watchLoop)
	return a, nil
}

// Boot returns the id of this boot of the agent.
func (a *Agent) Boot() contract.BootID { return a.options.Boot }

// Close cancels every attempt and stops the agent. For a planned stop, call Leave and shut the
// links down first.
func (a *Agent) Close() {
	a.cancel()
	a.wg.Wait()
}

// Leave makes the agent refuse new work permanently.
func (a *Agent) Leave() {
	a.admission.updateGate(func(g *gate) { g.leaving = true })
	a.options.Logger.Info("leaving", "agent", a.options.Name)
}

// resolveLimits returns the limits and the queue limit that the settings give this agent's
// endpoint, and whether its data centre is out.
func (a *Agent) resolveLimits(s *settings.Snapshot) (Limits, int, bool) {
	if s == nil {
		s = &settings.Snapshot{}
	}
	e := s.ResolveEndpoint(a.options.DataCentre, a.options.Pool, a.options.EndpointName)
	return Limits{Cold: e.ColdLimit, Max: e.MaxLimit, RampSuccesses: e.RampAnswers}, e.QueueLimit, s.OutOfService(a.options.DataCentre)
}

// applySettings applies the current settings if they have changed.
func (a *Agent) applySettings() {
	s := a.options.Settings.Current()
	if s == nil || a.settingsVersion.Load() == s.Version && s.Version != 0 {
		return
	}
	limits, queueLimit, out := a.resolveLimits(s)
	if a.settingsVersion.Swap(s.Version) != s.Version {
		a.options.Logger.Info("settings in force", "version", s.Version, "out", out)
	}
	a.admission.configure(limits, queueLimit)
	returned := false
	a.admission.updateGate(func(g *gate) { returned, g.dataCentreOut = g.dataCentreOut && !out, out })
	if returned {
		// Caches and batches of the endpoint were idle while the data centre was out.
		a.admission.markCold(ColdDataCentreReturn)
		a.recordColdChange()
	}
}

// tickLoop detects pauses of the process and applies changed settings.
func (a *Agent) tickLoop() {
	ticker := time.NewTicker(a.options.PauseThreshold / ticksPerPauseThreshold)
	defer ticker.Stop()
	for {
		select {
		case <-a.baseCtx.Done():
			return
		case <-ticker.C:
		}
		a.pause.tick(time.Now())
		if a.pause.isStale(time.Now()) {
			a.refreshAfterPause()
		}
		a.applySettings()
	}
}

// refreshAfterPause refreshes the settings after a pause of the process. If neither the store nor a
// peer answers, the agent continues with the settings it has, as documented for operators.
func (a *Agent) refreshAfterPause() {
	a.metrics.pauses.Inc()
	a.options.Logger.Warn("process was paused, refreshing settings", "bound", a.options.PauseThreshold)
	if a.options.RefreshSettings != nil {
		ctx, cancel := context.WithTimeout(a.baseCtx, a.options.PauseThreshold/2)
		defer cancel()
		if err := a.options.RefreshSettings(ctx); err != nil {
			a.options.Logger.Warn("settings not refreshed after a pause", "error", err)
		}
	}
	a.applySettings()
	a.pause.markRefreshed(time.Now())
}
