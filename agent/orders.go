package agent

import (
	"context"
	"time"
)

// drainPollInterval is how often Drain checks whether calls are still running.
const drainPollInterval = 10 * time.Millisecond

// Drain refuses new work as not run and waits until no call is running, so that the endpoint can be
// changed. Resume ends the refusal.
func (a *Agent) Drain(ctx context.Context) error {
	a.admission.updateGate(func(g *gate) { g.draining = true })
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for a.Load().InFlight > 0 {
		select {
		case <-ctx.Done():
			return Error.New("calls still run: %v", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// Resume accepts new work again, starting from the cold limit.
func (a *Agent) Resume() {
	a.admission.markCold(ColdOrder)
	a.admission.updateGate(func(g *gate) { g.draining = false })
	a.recordColdChange()
}

// Occupancy returns the number of calls in flight, the concurrency limit, and whether the endpoint
// is cold or the agent is leaving.
func (a *Agent) Occupancy() (inFlight, limit int, cold, leaving bool) {
	l := a.Load()
	return l.InFlight, l.Limit, l.Cold, l.Leaving
}

// SetModel sets the model that the endpoint serves, which is reported to entries.
func (a *Agent) SetModel(model string) { a.admission.setModel(model) }
