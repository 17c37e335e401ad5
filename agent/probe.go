package agent

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/endpoint"
)

// watchPause keeps an endpoint that closes idle connections from being asked
// for new ones all the time.
const watchPause = 200 * time.Millisecond

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
	before := a.Load().Limit
	a.admission.health(h, err)
	a.noteCold()
	if after := a.Load().Limit; (before == 0) != (after == 0) {
		a.o.OnStateChange()
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
	a.o.OnStateChange()
	a.probeSoon()
}

// probeSoon asks for a probe ahead of its time.
func (a *Agent) probeSoon() {
	select {
	case a.probeNow <- struct{}{}:
	default:
	}
}

// watchLoop holds a connection to the endpoint, so that a restart shows before
// the next call and not only at the next probe.
func (a *Agent) watchLoop() {
	w, ok := a.o.Endpoint.(endpoint.Watcher)
	if _, probes := a.o.Endpoint.(endpoint.Prober); !ok || !probes {
		return
	}
	for {
		_ = w.Watch(a.base)
		if a.base.Err() != nil {
			return
		}
		a.admission.doubt()
		a.probeSoon()
		select {
		case <-a.base.Done():
			return
		case <-time.After(watchPause):
		}
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
