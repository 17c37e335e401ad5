package gatewaydaemon

import (
	"cmp"
	"context"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

const (
	// rejectAfter is how long new requests are still served after a stop has begun. The balancer
	// sends requests until two of its probes, one second apart, have failed. Requests that arrive
	// more than three seconds after the start of the stop could not be sure to finish within the
	// grace period.
	rejectAfter = 2800 * time.Millisecond
	// graceMargin is the part of the platform's grace period left for the process to exit.
	graceMargin = 700 * time.Millisecond
	// answerTime is the time to answer the requests that are still in flight at the end.
	answerTime = 300 * time.Millisecond
	// lateRequestTime is how long connections on which a request may be arriving stay open when no request is in
	// flight.
	lateRequestTime = 500 * time.Millisecond
	// protectedShare is the part of the grace period in which no request may be cut that arrived early in it.
	protectedShare = 5.0 / 6
)

// stopPlan holds the times of the steps of a stop, measured from its start.
type stopPlan struct {
	// reject is when the entry starts to answer new requests as not run.
	reject time.Duration
	// refuse is when it answers requests as not run that no endpoint has been sent.
	refuse time.Duration
	// answer is when it answers the requests that are still in flight.
	answer time.Duration
	// cutoff is when it closes the connections that are left.
	cutoff time.Duration
}

// planStop fits the steps of a stop into the platform's grace period.
func planStop(grace time.Duration) stopPlan {
	grace = cmp.Or(grace, defaultGrace)
	cutoff := max(grace-graceMargin, 0)
	protected := time.Duration(protectedShare * float64(grace))
	answer := max(min(max(cutoff-answerTime, protected), cutoff), 0)
	reject := min(rejectAfter, answer)
	return stopPlan{reject: reject, refuse: (reject + answer) / 2, answer: answer, cutoff: cutoff}
}

// stop shuts the process down without interrupting requests: the balancer is told first, clients'
// connections close with their next response, and requests in flight may finish. Those that cannot are answered
// before the process ends. The time counts from the signal, which a process without processor time notices late.
func (d *daemon) stop(clients *clientServer) {
	now := time.Now()
	start := d.pauses.since(now)
	plan := planStop(d.current.Load().GracePeriod)
	d.logger.Info("stop", "noticed_after_ms", now.Sub(start).Milliseconds(), "refuse_after_ms", plan.reject.Milliseconds(), "end_after_ms", plan.cutoff.Milliseconds())
	d.stopping.Store(true)
	d.mesh.SetLeaving()
	d.mesh.PingAll()
	d.handOverIfReplaced()
	d.gateway.DisableKeepAlives()
	go d.withdraw()
	time.Sleep(time.Until(start.Add(plan.reject)))
	d.gateway.RejectNewRequests()
	d.awaitIdle(start.Add(plan.refuse))
	d.gateway.RefuseWaiting()
	d.awaitIdle(start.Add(plan.answer))
	d.gateway.EndRequests()
	untilCutoff := plan.cutoff - time.Since(start)
	if cut := clients.close(time.Now().Add(min(lateRequestTime, untilCutoff))); cut > 0 {
		d.logger.Warn("connections were cut", "connections", cut)
	}
	clients.listener.AwaitUploads(start.Add(plan.cutoff))
	d.logger.Info("stopped", "after_ms", time.Since(start).Milliseconds())
}

// awaitIdle waits until no request is in flight, or until a deadline.
func (d *daemon) awaitIdle(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-d.gateway.Idle():
	case <-timer.C:
	}
}

// withdraw removes this entry's object from the store.
func (d *daemon) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := d.store.Delete(ctx, fleet.KindEntries, d.settings.Name); err != nil {
		d.logger.Warn("failed to remove this entry from the store", "error", err)
	}
}
