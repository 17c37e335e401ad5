package gatewaydaemon

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

const (
	// refuseAfter is how long after a stop's begin new requests are served: the
	// balancer misses two questions, a second apart, before it sends no more, and
	// requests that come after three seconds could not be sure of the rest.
	refuseAfter = 2800 * time.Millisecond
	// graceMargin is left of the platform's grace for the process's end.
	graceMargin = 700 * time.Millisecond
)

// stopPlan says when, after a stop's begin, the steps of the stop are due.
type stopPlan struct {
	// refuse is when new requests are answered as not run and idle connections
	// are closed.
	refuse time.Duration
	// end is when what still runs is cut.
	end time.Duration
}

// planStop fits the steps of a stop into the platform's grace.
func planStop(grace time.Duration) stopPlan {
	grace = cmp.Or(grace, defaultGrace)
	end := max(grace-graceMargin, 0)
	return stopPlan{refuse: min(refuseAfter, end), end: end}
}

// stop ends the process without cutting a request: the balancer is told first,
// clients' connections close with their next answer, and what runs may end.
func (d *daemon) stop(server *http.Server) {
	began := time.Now()
	plan := planStop(d.live.Load().GracePeriod)
	d.logger.Info("stop", "refuse_after_ms", plan.refuse.Milliseconds(), "end_after_ms", plan.end.Milliseconds())
	d.stopping.Store(true)
	d.mesh.SetLeaving()
	d.gateway.DisableKeepAlives()
	go d.withdraw()
	time.Sleep(plan.refuse)
	d.gateway.RejectNewRequests()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(plan.end))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		d.logger.Warn("requests cut at the end of the grace", "error", err)
	}
	d.logger.Info("stopped", "after_ms", time.Since(began).Milliseconds())
}

// withdraw removes this entry's object from the store.
func (d *daemon) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := d.store.Delete(ctx, fleet.KindEntries, d.settings.Name); err != nil {
		d.logger.Warn("entry's object not removed", "error", err)
	}
}
