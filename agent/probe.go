package agent

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/endpoint"
)

// watchRetryDelay limits how often the watch connection is reopened if the endpoint closes idle
// connections.
const watchRetryDelay = 200 * time.Millisecond

// probeLoop probes the endpoint's health. It probes more often while the endpoint is cold or down,
// or may be running calls of the preceding agent process.
func (a *Agent) probeLoop() {
	p, ok := a.options.Endpoint.(endpoint.Prober)
	failed := false
	for {
		if ok {
			failed = a.probe(p, failed)
		} else {
			a.admission.dispatch()
		}
		select {
		case <-a.baseCtx.Done():
			return
		case <-a.probeRequests:
		case <-time.After(a.nextProbeDelay()):
		}
	}
}

// probesPerReportLag is the number of probes within the report lag while calls of the preceding
// agent process may be running or the endpoint is down.
const probesPerReportLag = 4

func (a *Agent) nextProbeDelay() time.Duration {
	_, _, predecessorCalls := a.admission.coldState()
	switch {
	case predecessorCalls, a.admission.isDown():
		return min(a.options.ProbeInterval, a.options.ReportLag/probesPerReportLag)
	case a.Load().Cold:
		return min(a.options.ProbeInterval, a.options.ReportLag)
	}
	return a.options.ProbeInterval
}

// probe probes the endpoint once and reports whether the probe failed. failed is the result of the
// previous probe.
func (a *Agent) probe(p endpoint.Prober, failed bool) bool {
	ctx, cancel := context.WithTimeout(a.baseCtx, a.options.ProbeInterval)
	defer cancel()
	h, err := p.Probe(ctx)
	if a.baseCtx.Err() != nil {
		return failed
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.handleEndpointDown()
	}
	before := a.Load().Limit
	a.admission.updateHealth(h, err)
	a.recordColdChange()
	if after := a.Load().Limit; (before == 0) != (after == 0) {
		a.options.OnStateChange()
	}
	if (err != nil) != failed {
		a.options.Logger.Warn("endpoint reachability changed", "endpoint", a.options.EndpointName, "reachable", err == nil, "error", err)
	}
	return err != nil
}

// handleEndpointDown refuses new work until the endpoint answers a probe.
func (a *Agent) handleEndpointDown() {
	if _, ok := a.options.Endpoint.(endpoint.Prober); !ok || !a.admission.setDown() {
		return
	}
	a.recordColdChange()
	a.options.OnStateChange()
	a.triggerProbe()
}

// triggerProbe requests a probe before the next one is due.
func (a *Agent) triggerProbe() {
	select {
	case a.probeRequests <- struct{}{}:
	default:
	}
}

// watchLoop holds a connection to the endpoint open, so that a restart is detected before the next
// call and not only by the next probe.
func (a *Agent) watchLoop() {
	w, ok := a.options.Endpoint.(endpoint.Watcher)
	if _, canProbe := a.options.Endpoint.(endpoint.Prober); !ok || !canProbe {
		return
	}
	for {
		_ = w.Watch(a.baseCtx)
		if a.baseCtx.Err() != nil {
			return
		}
		a.admission.suspectRestart()
		a.triggerProbe()
		select {
		case <-a.baseCtx.Done():
			return
		case <-time.After(watchRetryDelay):
		}
	}
}

// recordColdChange counts and logs that the endpoint was marked as cold, if it was since the last
// call.
func (a *Agent) recordColdChange() {
	count, reason, _ := a.admission.coldState()
	if a.coldCount.Swap(int64(count)) == int64(count) {
		return
	}
	a.metrics.cold.WithLabelValues(string(reason)).Inc()
	a.options.Logger.Warn("endpoint taken for cold", "endpoint", a.options.EndpointName, "reason", reason)
}
