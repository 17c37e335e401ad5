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

func mixedScenario(t *testing.T) Scenario {
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

func TestScenarioRefusesInvalidInput(t *testing.T) {
	for _, invalid := range []string{
		"name: x\nrate: 1\nduration: 1s\nclasses: []\n",
		"name: x\nrate: 1\nduration: 1s\nspeed: 3\n",
		"name: x\nrate: -1\nduration: 1s\nclasses: [{name: a, pipeline: b, share: 1, organisations: {o: 1}, words: 1, deadline: 1s}]\n",
	} {
		if _, err := ParseScenario([]byte(invalid)); !Error.Has(err) {
			t.Errorf("invalid scenario accepted: %s", invalid)
		}
	}
}

// TestSameSeedSameArrivals checks that a seed determines the arrivals, and that a burst of one
// organisation leaves the arrivals of the others unchanged.
func TestSameSeedSameArrivals(t *testing.T) {
	s := mixedScenario(t)
	if diff := cmp.Diff(Arrivals(s), Arrivals(s)); diff != "" {
		t.Fatal(diff)
	}
	withoutHotflow := func(s Scenario) []Arrival {
		var arrivals []Arrival
		for _, a := range Arrivals(s) {
			if a.Organisation != "hotflow" {
				a.Index, a.QuestionNumber = 0, 0
				arrivals = append(arrivals, a)
			}
		}
		return arrivals
	}
	s.Bursts = []Burst{{At: 0, For: s.Duration, Factor: 4, Organisation: "chain"}, {For: time.Second, Factor: 4, Organisation: "hotflow"}}
	shortBurst := withoutHotflow(s)
	s.Bursts[1].For = s.Duration
	if diff := cmp.Diff(shortBurst, withoutHotflow(s)); diff != "" {
		t.Fatal(diff)
	}
	s.Seed++
	if cmp.Equal(shortBurst, withoutHotflow(s)) {
		t.Fatal("a different seed gave the same arrivals")
	}
}

// TestAnswerOfAnotherRequestFails checks that a caller that receives the booking of another request
// does not count it as answered.
func TestAnswerOfAnotherRequestFails(t *testing.T) {
	otherAnswer := entry.Answer{Results: []entry.ServiceResult{{Body: json.RawMessage(`{"reference":"theirs"}`)}}}
	for reference, want := range map[string]Outcome{"mine": OutcomeFailed, "theirs": OutcomeOnTime} {
		s := Sample{Outcome: OutcomeFailed, Reference: reference, Deadline: time.Hour}
		if s.setResult(otherAnswer, nil); s.Outcome != want {
			t.Errorf("reference %s: outcome %s (%s)", reference, s.Outcome, s.Detail)
		}
	}
}

// TestFleetKeepsItsPromisesUnderFaults runs a short load with crashes, cold engines and a data
// centre out of service. It checks that every request ends with an answer or a refusal, that no
// booking runs twice, and that no request refused as not run did run. It does not check latency or
// throughput.
func TestFleetKeepsItsPromisesUnderFaults(t *testing.T) {
	s := mixedScenario(t)
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
	fleet, err := NewLocalFleet(s, Policies()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	samples, err := Run(t.Context(), s, fleet, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	report := Summarise(s, "ours", samples, fleet.Stats())
	if report.Total.Requests != len(Arrivals(s)) || report.Total.Failed != 0 {
		t.Errorf("recorded %d of %d requests, %d failed", report.Total.Requests, len(Arrivals(s)), report.Total.Failed)
	}
	if report.FleetStats.RepeatedReferences != 0 {
		t.Errorf("%d bookings ran more than once", report.FleetStats.RepeatedReferences)
	}
	for _, sample := range samples {
		ran := sample.Reference != "" && fleet.runsOf(sample.Reference) > 0
		if ran && sample.Outcome == OutcomeRefused && sample.Run == contract.NotRun {
			t.Errorf("%s was refused as not run, but it ran", sample.Reference)
		}
	}
	var page bytes.Buffer
	if err := WriteHTML(&page, report); err != nil || !strings.Contains(page.String(), "<svg") {
		t.Errorf("HTML report has no plot or failed: %v", err)
	}
}

// runsOf returns the number of runs of a booking over all services.
func (lf *LocalFleet) runsOf(reference string) int {
	runs := 0
	for _, in := range lf.instances {
		if in.standin != nil {
			runs += in.standin.References()[reference]
		}
	}
	return runs
}
