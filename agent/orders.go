package agent

import (
	"context"
	"time"
)

// drainPoll is how often a drain looks whether calls still run.
const drainPoll = 10 * time.Millisecond

// Drain refuses new work as not run and waits until nothing runs, so that the
// endpoint can be changed. Resume ends it.
func (a *Agent) Drain(ctx context.Context) error {
	a.admission.setGate(func(g *gate) { g.changing = true })
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for a.Load().InFlight > 0 {
		select {
		case <-ctx.Done():
			return Error.New("calls still run: %v", ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

// Resume takes new work again, from the cold limit.
func (a *Agent) Resume() {
	a.admission.turnCold(ColdOrder)
	a.admission.setGate(func(g *gate) { g.changing = false })
	a.noteCold()
}

// Occupancy returns the calls in flight, the limit, and whether the endpoint is
// cold or leaving.
func (a *Agent) Occupancy() (inFlight, limit int, cold, leaving bool) {
	l := a.Load()
	return l.InFlight, l.Limit, l.Cold, l.Leaving
}

// SetModel notes which model the endpoint serves, for entries to choose by.
func (a *Agent) SetModel(model string) { a.admission.setModel(model) }
