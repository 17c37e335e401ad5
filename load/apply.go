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

// readyPoll is how often a start looks whether a part is ready.
const readyPoll = 5 * time.Millisecond

// Apply implements Fleet.
func (b *LocalFleet) Apply(_ context.Context, e Event) error {
	switch e.Do {
	case ActionDataCentreOut, ActionDataCentreIn:
		return b.setOut(e.DataCentre, e.Do == ActionDataCentreOut)
	case ActionStoreDown, ActionStoreUp:
		b.memory.SetFaults(platform.Faults{Down: e.Do == ActionStoreDown})
		return nil
	}
	hit := 0
	for _, m := range b.members {
		if e.Pool != "" && e.Pool != m.instance.Pool || e.DataCentre != "" && e.DataCentre != m.instance.DataCentre {
			continue
		}
		if e.Count > 0 && hit >= e.Count {
			break
		}
		hit++
		m.apply(e)
	}
	if hit == 0 {
		return Error.New("no endpoint in pool %q of data centre %q", e.Pool, e.DataCentre)
	}
	return nil
}

// apply brings a fault of one endpoint about.
func (m *member) apply(e Event) {
	if m.engine != nil {
		m.engine.SetFaults(standin.EngineFaults{
			Slow: slowOf(e), FailAll: e.Do == ActionFail, MakeCold: e.Do == ActionMakeCold, Crash: e.Do == ActionCrash,
		})
		return
	}
	m.station.SetFaults(standin.WorkerFaults{
		Slow: slowOf(e), FailAll: e.Do == ActionFail, MakeCold: e.Do == ActionMakeCold, Crash: e.Do == ActionCrash,
	})
}

func slowOf(e Event) float64 {
	if e.Do != ActionSlow {
		return 0
	}
	return e.Factor
}

// setOut accepts a change of the settings that takes a data centre out or in.
func (b *LocalFleet) setOut(name string, out bool) error {
	old := b.settings.Current()
	dc, ok := old.Document.DataCentres[name]
	if !ok {
		return Error.New("no data centre %q", name)
	}
	dc.Out = out
	document := old.Document
	document.DataCentres = maps.Clone(document.DataCentres)
	document.DataCentres[name] = dc
	b.settings.Set(&settings.Snapshot{Version: old.Version + 1, Document: document})
	return nil
}

// Stats implements Fleet.
func (b *LocalFleet) Stats() FleetStats {
	t := FleetStats{ColdMarks: make(map[string]int)}
	runs := make(map[string]int)
	for _, m := range b.members {
		if m.engine != nil {
			t.addEngine(m.engine.Stats())
			continue
		}
		t.addStation(m.station.Stats())
		for reference, n := range m.station.References() {
			runs[reference] += n
		}
	}
	t.addRuns(runs)
	for _, r := range b.registries {
		addCounter(t.ColdMarks, r, coldMetric)
	}
	calls := b.memory.Calls()
	t.PlatformReads, t.PlatformWrites = calls.Reads(), calls.Writes()
	return t
}

// coldMetric counts how often an agent took its endpoint for cold.
const coldMetric = "azurelead_agent_cold_total"

// addCounter adds a counter with one label to the sums by that label.
func addCounter(sums map[string]int, r *prometheus.Registry, name string) {
	families, err := r.Gather()
	if err != nil {
		return
	}
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			sums[m.GetLabel()[0].GetValue()] += int(m.GetCounter().GetValue())
		}
	}
}

func (t *FleetStats) addEngine(s standin.EngineStats) {
	t.GeneratedTokens += s.Tokens.Generated
	t.CancelledTokens += s.Tokens.Cancelled
	t.PromptTokens += s.Tokens.Prompt
	t.CachedTokens += s.Tokens.Cached
	t.Crashes += s.Crashes
	t.Refused += s.Refused
}

func (t *FleetStats) addStation(s standin.WorkerStats) {
	t.Crashes += s.Crashes
	t.Refused += s.Refused
}

// addRuns counts the runs of bookings over all services together.
func (t *FleetStats) addRuns(runs map[string]int) {
	for _, n := range runs {
		t.ServiceRuns += n
		if n > 1 {
			t.RepeatedReferences++
		}
	}
}

// waitFor waits until a part of a fresh bench is ready.
func waitFor(ctx context.Context, what string, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, benchReady)
	defer cancel()
	for !ready() {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return Error.New("%s: not ready within %s", what, benchReady)
		}
	}
	return nil
}
