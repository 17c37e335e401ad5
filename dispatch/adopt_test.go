package dispatch

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// replaceDispatcher replaces the dispatcher by another one that knows nothing. The calls in
// progress end without anybody to take their results.
func (w *simulation) replaceDispatcher() {
	w.events = nil
	clear(w.activeCalls)
	w.d = New(Options{})
	for _, name := range []string{"portal", "desk", "notify"} {
		w.addService(name, w.limits[name], 2, "a", "b")
	}
}

func newChainSimulation(t *testing.T) *simulation {
	w := newSimulation(t)
	w.addService("portal", portalLimits, 2, "a", "b")
	w.addService("desk", deskLimits, 2, "a", "b")
	w.addService("notify", notifyLimits, 2, "a", "b")
	return w
}

// The load: the entry that dispatches loses power with a hundred jobs under way,
// whose results stay where they are for seconds. Another one goes on from what the
// submitters were told: what is there is not made again, whenever it happens.
func TestAnotherDispatcherGoesOn(t *testing.T) {
	for lost := 20 * time.Millisecond; lost < 800*time.Millisecond; lost += 20 * time.Millisecond {
		w := newChainSimulation(t)
		w.schedule(0, func() { w.d.Submit(w.now, chainJob("c", w.now)) })
		w.run(lost)
		if len(w.ended) > 0 {
			break
		}
		made := make(map[int]int)
		for _, m := range w.reported["c"] {
			made[m.Stage] += len(m.Tasks)
		}
		before := w.tasksSent
		w.replaceDispatcher()
		j := chainJob("c", epoch)
		j.PriorResults = w.reported["c"]
		w.now = epoch.Add(lost)
		if a := w.d.Submit(w.now, j); !a.Admitted {
			t.Fatalf("lost after %s: %+v", lost, a)
		}
		w.carryOut()
		w.run(5 * time.Second)
		f, ended := w.ended["c"]
		if !ended || f.Problem != "" || len(f.Handles) != 16 {
			t.Fatalf("lost after %s: %+v", lost, f)
		}
		if again, left := w.tasksSent-before, 25-made[0]-made[1]-made[2]; again != left {
			t.Errorf("lost after %s: %d tasks were left, %d were done", lost, left, again)
		}
		w.d.Release(w.now, "c", false)
		w.carryOut()
		for _, p := range w.d.pools {
			for _, e := range p.endpoints {
				if len(e.results) > 0 || e.storedBytes != 0 || e.reservedBytes != 0 {
					t.Errorf("lost after %s: %s is taken to hold %d results", lost, e.ID, len(e.results))
				}
			}
		}
	}
}

// What a lost dispatcher's results are told to be need not be so: unknown stages,
// tasks and endpoints are passed over, and results that are gone are made again.
func TestAdoptedResultsMayBeWrong(t *testing.T) {
	w := newChainSimulation(t)
	j := chainJob("c", epoch)
	j.PriorResults = []StageResults{
		{Endpoint: "portal-0", Stage: 7, Tasks: []int{0}, Handles: []string{"x"}},
		{Endpoint: "portal-0", Stage: -1, Tasks: []int{0}, Handles: []string{"x"}},
		{Endpoint: "portal-9", Stage: 0, Tasks: []int{0}, Handles: []string{"x"}},
		{Endpoint: "desk-0", Stage: 1, Tasks: []int{-1, 8, 3}, Handles: []string{"x", "x"}},
		{Endpoint: "portal-0", Stage: 0, Tasks: []int{0}, Handles: []string{"gone"}},
	}
	if a := w.d.Submit(epoch, j); !a.Admitted {
		t.Fatalf("%+v", a)
	}
	calls := w.d.Schedule(epoch)
	if len(calls) == 0 || calls[0].Endpoint.Service != "desk" {
		t.Fatalf("%+v", calls)
	}
	for _, c := range calls {
		var results []stage.Result
		for range c.Tasks {
			results = append(results, stage.Result{Problem: stage.InputMissing})
		}
		w.d.Complete(epoch, c.ID, results)
	}
	w.run(5 * time.Second)
	if f := w.ended["c"]; len(f.Handles) != 16 {
		t.Errorf("%+v", f)
	}
}

// A job whose submitter went to another dispatcher is dropped without giving up
// its results, which the other one uses.
func TestAbandonedResultsStay(t *testing.T) {
	w := newChainSimulation(t)
	w.schedule(0, func() { w.d.Submit(w.now, chainJob("c", w.now)) })
	w.run(400 * time.Millisecond)
	if len(w.reported["c"]) == 0 || w.storedResults() == 0 {
		t.Fatalf("told %v, %d held", w.reported["c"], w.storedResults())
	}
	held := w.storedResults()
	w.d.Abandon(w.now, "c")
	w.carryOut()
	if w.storedResults() != held {
		t.Errorf("%d results held, %d after the job was abandoned", held, w.storedResults())
	}
	if calls := w.d.Schedule(w.now); len(calls) > 0 {
		t.Errorf("%d calls for a job that was abandoned", len(calls))
	}
	// Its entry comes back with it: the results are booked once.
	j := chainJob("c", epoch)
	j.PriorResults = w.reported["c"]
	w.d.Submit(w.now, j)
	w.run(3 * time.Second)
	w.d.Release(w.now, "c", false)
	w.carryOut()
	for _, p := range w.d.pools {
		for _, e := range p.endpoints {
			if len(e.results) > 0 || e.storedBytes != 0 {
				t.Errorf("%s is taken to hold %d results, %d bytes", e.ID, len(e.results), e.storedBytes)
			}
		}
	}
}
