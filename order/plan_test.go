package order

import (
	"flag"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// The property test draws the same cases in every run unless a seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

func engine(n int, model, version string) Report {
	return Report{Instance: fmt.Sprintf("engine-%d", n), Serving: Target{Model: model, Version: version}, Limit: 8}
}

func desired(model, version string, copies int) DesiredModel {
	return DesiredModel{Target: Target{Model: model, Version: version}, MinCopies: copies}
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name string
		in   PlanInput
		want []Kind
	}{
		{"nothing to do", PlanInput{LoadBudget: 4, Desired: []DesiredModel{desired("m", "1", 1)}, Engines: []Report{engine(1, "m", "1")}}, nil},
		{"empty engine loads", PlanInput{LoadBudget: 4, Desired: []DesiredModel{desired("m", "1", 1)}, Engines: []Report{engine(1, "", "")}}, []Kind{LoadModel}},
		{"no load budget", PlanInput{LoadBudget: 0, Desired: []DesiredModel{desired("m", "1", 1)}, Engines: []Report{engine(1, "", "")}}, nil},
		{"one of three copies at a time", PlanInput{LoadBudget: 4, Desired: []DesiredModel{desired("m", "2", 3)},
			Engines: []Report{engine(1, "m", "1"), engine(2, "m", "1"), engine(3, "m", "1")}}, []Kind{LoadModel}},
		{"saturated cold copy accepts no load yet", PlanInput{LoadBudget: 4, Desired: []DesiredModel{desired("m", "2", 3)},
			Engines: []Report{{Instance: "n", Serving: Target{Model: "m", Version: "2"}, Cold: true, InFlight: 1, Limit: 1},
				engine(2, "m", "1"), engine(3, "m", "1")}}, nil},
		{"only engine of the pool is changed", PlanInput{LoadBudget: 4, Desired: []DesiredModel{desired("m", "2", 1)}, Engines: []Report{engine(1, "m", "1")}}, []Kind{LoadModel}},
		{"more copies required than engines available", PlanInput{LoadBudget: 4, Desired: []DesiredModel{desired("m", "2", 3)},
			Engines: []Report{engine(1, "m", "1"), engine(2, "m", "1")}}, []Kind{LoadModel}},
		{"missing adapter", PlanInput{LoadBudget: 4, Desired: []DesiredModel{{Target: Target{Model: "m", Adapters: []string{"a"}}, MinCopies: 1}},
			Engines: []Report{engine(1, "m", "")}}, []Kind{LoadAdapter}},
		{"load above target utilisation", PlanInput{LoadBudget: 4, Desired: []DesiredModel{{Target: Target{Model: "m"}, MinCopies: 1, MaxCopies: 2, TargetUtilisation: 50}},
			Engines: []Report{{Instance: "a", Serving: Target{Model: "m"}, InFlight: 6, Limit: 8}, engine(2, "", ""), engine(3, "", "")}}, []Kind{LoadModel}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var got []Kind
			for _, o := range Plan(tc.in) {
				got = append(got, o.Kind)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestRollOutKeepsCopiesAndEnds rolls a pool from one version to another under random
// conditions. At most one of the required copies may be missing at any time, the loads in
// progress must stay within their limit, and the roll-out must complete and be followed
// by no further orders.
func TestRollOutKeepsCopiesAndEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		copies := rapid.IntRange(2, 6).Draw(rt, "copies")
		spare := rapid.IntRange(0, 3).Draw(rt, "spare")
		loads := rapid.IntRange(1, 4).Draw(rt, "loads")
		var engines []Report
		for n := range copies {
			engines = append(engines, engine(n, "m", "1"))
		}
		for n := range spare {
			engines = append(engines, engine(copies+n, "", ""))
		}
		desired := []DesiredModel{desired("m", "2", copies)}
		for range 200 {
			orders := Plan(PlanInput{Desired: desired, Engines: engines, LoadBudget: loads - countBusy(engines)})
			startOrders(engines, orders)
			if countBusy(engines) > loads {
				rt.Fatalf("%d concurrent loads, want at most %d", countBusy(engines), loads)
			}
			if b := countAcceptingLoad(engines, "m"); b < copies-1 {
				rt.Fatalf("%d copies accept load, %d are required", b, copies)
			}
			advanceEngines(rt, engines)
		}
		if countServing(engines, "2") < copies {
			rt.Fatalf("the roll-out did not complete: %+v", engines)
		}
		if orders := Plan(PlanInput{Desired: desired, Engines: engines, LoadBudget: loads}); len(orders) != 0 {
			rt.Fatalf("orders after the roll-out: %+v", orders)
		}
	})
}

func startOrders(engines []Report, orders []Order) {
	for _, o := range orders {
		for i := range engines {
			if engines[i].Instance == o.Instance {
				target := o.Target
				engines[i].PendingTarget = &target
			}
		}
	}
}

// advanceEngines lets random engines complete their loads, after which they are cold and
// saturated, or turn warm.
func advanceEngines(rt *rapid.T, engines []Report) {
	for i := range engines {
		e := &engines[i]
		switch {
		case e.busy() && rapid.Bool().Draw(rt, "loaded"):
			*e = Report{Instance: e.Instance, Serving: *e.PendingTarget, Cold: true, InFlight: 1, Limit: 1}
		case e.Cold && rapid.Bool().Draw(rt, "warm"):
			e.Cold, e.InFlight, e.Limit = false, 0, 8
		}
	}
}

func countBusy(engines []Report) int { return busyCount([][]Report{engines}) }

func countAcceptingLoad(engines []Report, model string) int {
	n := 0
	for _, e := range engines {
		if e.Serving.Model == model && e.acceptsLoad() {
			n++
		}
	}
	return n
}

func countServing(engines []Report, version string) int {
	n := 0
	for _, e := range engines {
		if e.Serving.Version == version {
			n++
		}
	}
	return n
}
