package load

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func mixed(t *testing.T) Scenario {
	t.Helper()
	s, err := LoadScenario("mixed")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestEmbeddedScenariosAreValid(t *testing.T) {
	for _, name := range EmbeddedScenarios() {
		s, err := LoadScenario(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range s.Classes {
			if _, ok := pipelines()[c.Pipeline]; !ok {
				t.Errorf("%s: no pipeline %q", name, c.Pipeline)
			}
		}
	}
}

func TestScenarioRefusesWhatItDoesNotKnow(t *testing.T) {
	for _, bad := range []string{
		"name: x\nrate: 1\nduration: 1s\nclasses: []\n",
		"name: x\nrate: 1\nduration: 1s\nspeed: 3\n",
		"name: x\nrate: -1\nduration: 1s\nclasses: [{name: a, pipeline: b, share: 1, organisations: {o: 1}, words: 1, deadline: 1s}]\n",
	} {
		if _, err := ParseScenario([]byte(bad)); !Error.Has(err) {
			t.Errorf("accepted: %s", bad)
		}
	}
}

// TestSameSeedSameArrivals also checks that a burst of one organisation leaves
// the arrivals of the others as they were.
func TestSameSeedSameArrivals(t *testing.T) {
	s := mixed(t)
	if diff := cmp.Diff(Arrivals(s), Arrivals(s)); diff != "" {
		t.Fatal(diff)
	}
	others := func(s Scenario) []Arrival {
		var kept []Arrival
		for _, a := range Arrivals(s) {
			if a.Organisation != "hotflow" {
				a.Index, a.QuestionNumber = 0, 0
				kept = append(kept, a)
			}
		}
		return kept
	}
	s.Bursts = []Burst{{At: 0, For: s.Duration, Factor: 4, Organisation: "chain"}, {For: time.Second, Factor: 4, Organisation: "hotflow"}}
	calm := others(s)
	s.Bursts[1].For = s.Duration
	if diff := cmp.Diff(calm, others(s)); diff != "" {
		t.Fatal(diff)
	}
	s.Seed++
	if cmp.Equal(calm, others(s)) {
		t.Fatal("another seed gave the same arrivals")
	}
}

// TestCrossedAnswersDoNotCount gives a caller the booking of another one.
func TestCrossedAnswersDoNotCount(t *testing.T) {
	theirs := entry.Answer{Results: []entry.ServiceResult{{Body: json.RawMessage(`{"reference":"theirs"}`)}}}
	for reference, want := range map[string]Outcome{"mine": OutcomeFailed, "theirs": OutcomeOnTime} {
		s := Sample{Outcome: OutcomeFailed, Reference: reference, Deadline: time.Hour}
		if s.ended(theirs, nil); s.Outcome != want {
			t.Errorf("%s: %s (%s)", reference, s.Outcome, s.Detail)
		}
	}
}

// TestFleetKeepsItsPromisesUnderFaults runs a short load with crashes, cold
// engines and a data centre out. It asserts promises, never speed.
func TestFleetKeepsItsPromisesUnderFaults(t *testing.T) {
	s := mixed(t)
	s.Rate, s.WarmUp, s.Duration = 60, 0, 2*time.Second
	s.Fleet.DataCentres, s.Fleet.Engines, s.Fleet.Entries = 2, 1, 2
	s.Fleet.ColdLimit, s.Fleet.ColdAnswers, s.Fleet.DownFor = 2, 4, 100*time.Millisecond
	s.Events = []Event{
		{At: 300 * time.Millisecond, Do: ActionCrash, Pool: enginePool, Count: 1},
		{At: 600 * time.Millisecond, Do: ActionDataCentreOut, DataCentre: "dc2"},
		{At: 900 * time.Millisecond, Do: ActionFail, Pool: servicePool, DataCentre: "dc1"},
		{At: 1200 * time.Millisecond, Do: ActionDataCentreIn, DataCentre: "dc2"},
		{At: 1400 * time.Millisecond, Do: ActionRecover, Pool: servicePool},
	}
	b, err := NewLocalFleet(s, Policies()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	samples, err := Run(t.Context(), s, b, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r := Summarise(s, "ours", samples, b.Stats())
	if r.Total.Requests != len(Arrivals(s)) || r.Total.Failed != 0 {
		t.Errorf("%d requests of %d, %d broken", r.Total.Requests, len(Arrivals(s)), r.Total.Failed)
	}
	if r.FleetStats.RepeatedReferences != 0 {
		t.Errorf("%d bookings ran more than once", r.FleetStats.RepeatedReferences)
	}
	for _, sample := range samples {
		ran := sample.Reference != "" && b.runsOf(sample.Reference) > 0
		if ran && sample.Outcome == OutcomeRefused && sample.Run == contract.NotRun {
			t.Errorf("%s was told not run, but it ran", sample.Reference)
		}
	}
	var html bytes.Buffer
	if err := WriteHTML(&html, r); err != nil || !strings.Contains(html.String(), "<svg") {
		t.Errorf("report: %v", err)
	}
}

// runsOf counts the runs of a booking at all services.
func (b *LocalFleet) runsOf(reference string) int {
	runs := 0
	for _, m := range b.members {
		if m.station != nil {
			runs += m.station.References()[reference]
		}
	}
	return runs
}
