package dispatch

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// lose replaces the dispatcher by another one that knows nothing. The calls in
// progress end without anybody to take their results.
func (w *world) lose() {
	w.pq = nil
	clear(w.busy)
	w.d = New(Options{})
	for _, name := range []string{"portal", "desk", "notify"} {
		w.service(name, w.limits[name], 2, "a", "b")
	}
}

func chain(t *testing.T) *world {
	w := newWorld(t)
	w.service("portal", portal, 2, "a", "b")
	w.service("desk", desk, 2, "a", "b")
	w.service("notify", notify, 2, "a", "b")
	return w
}

// The load: the entry that dispatches loses power with a hundred jobs under way,
// whose results stay where they are for seconds. Another one goes on from what the
// submitters were told: what is there is not made again, whenever it happens.
func TestAnotherDispatcherGoesOn(t *testing.T) {
	for lost := 20 * time.Millisecond; lost < 800*time.Millisecond; lost += 20 * time.Millisecond {
		w := chain(t)
		w.at(0, func() { w.d.Submit(w.now, check("c", w.now)) })
		w.run(lost)
		if len(w.ended) > 0 {
			break
		}
		made := make(map[int]int)
		for _, m := range w.told["c"] {
			made[m.Stage] += len(m.Tasks)
		}
		before := w.tasks
		w.lose()
		j := check("c", epoch)
		j.PriorResults = w.told["c"]
		w.now = epoch.Add(lost)
		if a := w.d.Submit(w.now, j); !a.Admitted {
			t.Fatalf("lost after %s: %+v", lost, a)
		}
		w.pump()
		w.run(5 * time.Second)
		f, ended := w.ended["c"]
		if !ended || f.Problem != "" || len(f.Handles) != 16 {
			t.Fatalf("lost after %s: %+v", lost, f)
		}
		if again, left := w.tasks-before, 25-made[0]-made[1]-made[2]; again != left {
			t.Errorf("lost after %s: %d tasks were left, %d were done", lost, left, again)
		}
		w.d.Release(w.now, "c", false)
		w.pump()
		for _, p := range w.d.pools {
			for _, e := range p.endpoints {
				if len(e.results) > 0 || e.heldSum != 0 || e.reserved != 0 {
					t.Errorf("lost after %s: %s is taken to hold %d results", lost, e.ID, len(e.results))
				}
			}
		}
	}
}

// What a lost dispatcher's results are told to be need not be so: unknown stages,
// tasks and endpoints are passed over, and results that are gone are made again.
func TestAdoptedResultsMayBeWrong(t *testing.T) {
	w := chain(t)
	j := check("c", epoch)
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
	w := chain(t)
	w.at(0, func() { w.d.Submit(w.now, check("c", w.now)) })
	w.run(400 * time.Millisecond)
	if len(w.told["c"]) == 0 || w.held() == 0 {
		t.Fatalf("told %v, %d held", w.told["c"], w.held())
	}
	held := w.held()
	w.d.Abandon(w.now, "c")
	w.pump()
	if w.held() != held {
		t.Errorf("%d results held, %d after the job was abandoned", held, w.held())
	}
	if calls := w.d.Schedule(w.now); len(calls) > 0 {
		t.Errorf("%d calls for a job that was abandoned", len(calls))
	}
	// Its entry comes back with it: the results are booked once.
	j := check("c", epoch)
	j.PriorResults = w.told["c"]
	w.d.Submit(w.now, j)
	w.run(3 * time.Second)
	w.d.Release(w.now, "c", false)
	w.pump()
	for _, p := range w.d.pools {
		for _, e := range p.endpoints {
			if len(e.results) > 0 || e.heldSum != 0 {
				t.Errorf("%s is taken to hold %d results, %d bytes", e.ID, len(e.results), e.heldSum)
			}
		}
	}
}
