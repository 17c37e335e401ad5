package load

import (
	"context"
	"maps"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/standin"
)

// readyPollInterval is the interval between readiness checks of a starting component.
const readyPollInterval = 5 * time.Millisecond

// Apply implements Fleet.
func (lf *LocalFleet) Apply(_ context.Context, e Event) error {
	switch e.Do {
	case ActionDataCentreOut, ActionDataCentreIn:
		return lf.setDataCentreOut(e.DataCentre, e.Do == ActionDataCentreOut)
	case ActionStoreDown, ActionStoreUp:
		lf.platform.SetFaults(platform.Faults{Down: e.Do == ActionStoreDown})
		return nil
	}
	applied := 0
	for _, in := range lf.instances {
		if e.Pool != "" && e.Pool != in.info.Pool || e.DataCentre != "" && e.DataCentre != in.info.DataCentre {
			continue
		}
		if e.Count > 0 && applied >= e.Count {
			break
		}
		applied++
		in.apply(e)
	}
	if applied == 0 {
		return Error.New("event matches no endpoint: pool %q, data centre %q", e.Pool, e.DataCentre)
	}
	return nil
}

// apply injects the fault of an event into the endpoint.
func (in *instance) apply(e Event) {
	if in.engine != nil {
		in.engine.SetFaults(standin.EngineFaults{
			Slow: slowFactor(e), FailAll: e.Do == ActionFail, MakeCold: e.Do == ActionMakeCold, Crash: e.Do == ActionCrash,
		})
		return
	}
	in.standin.SetFaults(standin.WorkerFaults{
		Slow: slowFactor(e), FailAll: e.Do == ActionFail, MakeCold: e.Do == ActionMakeCold, Crash: e.Do == ActionCrash,
	})
}

// slowFactor returns the factor of an ActionSlow event and 0 for every other event.
func slowFactor(e Event) float64 {
	if e.Do != ActionSlow {
		return 0
	}
	return e.Factor
}

// setDataCentreOut publishes a new settings version that takes a data centre out of service or
// returns it.
func (lf *LocalFleet) setDataCentreOut(name string, out bool) error {
	current := lf.settings.Current()
	dc, ok := current.Document.DataCentres[name]
	if !ok {
		return Error.New("unknown data centre %q", name)
	}
	dc.Out = out
	document := current.Document
	document.DataCentres = maps.Clone(document.DataCentres)
	document.DataCentres[name] = dc
	lf.settings.Set(&settings.Snapshot{Version: current.Version + 1, Document: document})
	return nil
}

// Stats implements Fleet. It sums the counters of all stand-ins, agents and the platform.
func (lf *LocalFleet) Stats() FleetStats {
	stats := FleetStats{ColdMarks: make(map[string]int)}
	runs := make(map[string]int)
	for _, in := range lf.instances {
		if in.engine != nil {
			stats.addEngine(in.engine.Stats())
			continue
		}
		stats.addWorker(in.standin.Stats())
		for reference, n := range in.standin.References() {
			runs[reference] += n
		}
	}
	stats.addRuns(runs)
	for _, r := range lf.agentRegistries {
		addCounter(stats.ColdMarks, r, coldMarksMetric)
	}
	calls := lf.platform.Calls()
	stats.PlatformReads, stats.PlatformWrites = calls.Reads(), calls.Writes()
	return stats
}

// coldMarksMetric is the agents' counter of the times their endpoint was marked as cold, by reason.
const coldMarksMetric = "azurelead_agent_cold_total"

// addCounter adds a counter that has a single label to the sums by the value of that label.
func addCounter(sums map[string]int, registry *prometheus.Registry, name string) {
	families, err := registry.Gather()
	if err != nil {
		return
	}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, sample := range family.GetMetric() {
			sums[sample.GetLabel()[0].GetValue()] += int(sample.GetCounter().GetValue())
		}
	}
}

func (f *FleetStats) addEngine(s standin.EngineStats) {
	f.GeneratedTokens += s.Tokens.Generated
	f.CancelledTokens += s.Tokens.Cancelled
	f.PromptTokens += s.Tokens.Prompt
	f.CachedTokens += s.Tokens.Cached
	f.Crashes += s.Crashes
	f.Refused += s.Refused
}

func (f *FleetStats) addWorker(s standin.WorkerStats) {
	f.Crashes += s.Crashes
	f.Refused += s.Refused
}

// addRuns adds the runs of bookings by reference. The runs have to be summed over all services
// first, so that a booking that ran once at each of two services counts as repeated.
func (f *FleetStats) addRuns(runs map[string]int) {
	for _, n := range runs {
		f.ServiceRuns += n
		if n > 1 {
			f.RepeatedReferences++
		}
	}
}

// waitFor polls until a component of a local fleet is ready. It returns an error after
// startTimeout.
func waitFor(ctx context.Context, component string, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !ready() {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return Error.New("%s not ready within %s", component, startTimeout)
		}
	}
	return nil
}
