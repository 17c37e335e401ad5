package dispatch

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// submitOverdue submits a job of one stage and two tasks to a service of n endpoints, and waits until its call is overdue.
func submitOverdue(t *testing.T, n int) (sim *simulation, first Call) {
	sim = newSimulation(t)
	sim.addService("portal", portalLimits, n, "a")
	sim.d.Submit(sim.now, largeResultJob("j", sim.now, 2))
	first = sim.d.Schedule(sim.now)[0]
	sim.now = sim.now.Add(first.Timeout - lateAnswerTime)
	sim.d.Expire(sim.now)
	return sim, first
}

// answer returns two results with handles.
func answer(handles ...string) (results []stage.Result) {
	for _, h := range handles {
		results = append(results, stage.Result{Handle: h})
	}
	return results
}

// A sound endpoint without an alternative is silent. The call was ended, and its tasks ran again.
func TestLateAnswerOfOnlyEndpointCounts(t *testing.T) {
	sim, first := submitOverdue(t, 1)
	if calls := sim.d.Schedule(sim.now); len(calls) > 0 {
		t.Errorf("%d further calls while the only endpoint is silent", len(calls))
	}
	sim.d.Complete(sim.now, first.ID, answer("h0", "h1"))
	results := sim.d.TakeJobResults()
	if len(results) != 1 || results[0].Problem != "" || len(results[0].Handles) != 2 {
		t.Fatalf("results %+v, want the two handles of the late answer", results)
	}
	if calls := sim.d.Schedule(sim.now); len(calls) > 0 || len(sim.d.pools["portal"].queue) > 0 {
		t.Errorf("%d further calls after the answer, %d groups in the queue", len(calls), len(sim.d.pools["portal"].queue))
	}
}

// The tasks of an overdue call are tried at another endpoint. The first answer counts, and the results of the other
// one are freed.
func TestFirstAnswerOfTriedTasksCounts(t *testing.T) {
	for _, lateFirst := range []bool{true, false} {
		sim, first := submitOverdue(t, 2)
		calls := sim.d.Schedule(sim.now)
		if len(calls) != 1 || calls[0].Endpoint.ID == first.Endpoint.ID || len(calls[0].Tasks) != 2 {
			t.Fatalf("calls %+v, want one of both tasks to the other endpoint", calls)
		}
		order := []Call{first, calls[0]}
		if !lateFirst {
			order = []Call{calls[0], first}
		}
		sim.d.Complete(sim.now, order[0].ID, answer("h0", "h1"))
		results := sim.d.TakeJobResults()
		if len(results) != 1 || results[0].Problem != "" || len(results[0].Handles) != 2 || results[0].Handles[0] != "h0" {
			t.Fatalf("late answer first %v: results %+v, want those of the first answer", lateFirst, results)
		}
		sim.d.Complete(sim.now, order[1].ID, answer("unused0", "unused1"))
		freed := sim.d.TakeFreeRequests()
		if len(freed) != 1 || freed[0].Endpoint.ID != order[1].Endpoint.ID || len(freed[0].Handles) != 2 {
			t.Errorf("late answer first %v: freed %+v, want the results of the second answer", lateFirst, freed)
		}
	}
}

// The failure of an overdue call must not disturb the call that its tasks are part of now.
func TestFailureOfOverdueCallLeavesItsTasks(t *testing.T) {
	sim, first := submitOverdue(t, 2)
	calls := sim.d.Schedule(sim.now)
	sim.d.Fail(sim.now, first.ID, ResponseLost)
	if again := sim.d.Schedule(sim.now.Add(maxBackoff)); len(again) > 0 {
		t.Errorf("%d further calls of tasks that are being tried", len(again))
	}
	sim.d.Complete(sim.now, calls[0].ID, answer("h0", "h1"))
	if results := sim.d.TakeJobResults(); len(results) != 1 || results[0].Problem != "" {
		t.Errorf("results %+v, want those of the other call", results)
	}
}

// An overdue call whose request has ended must not keep its endpoint at work.
func TestOverdueCallOfEndedJobsIsEnded(t *testing.T) {
	sim, first := submitOverdue(t, 1)
	if ended := sim.d.TakeEndedCalls(); len(ended) > 0 {
		t.Fatalf("calls %v were ended before their job", ended)
	}
	sim.d.Cancel(sim.now, "j")
	sim.d.Expire(sim.now)
	if ended := sim.d.TakeEndedCalls(); len(ended) != 1 || ended[0] != first.ID || sim.d.Busy() {
		t.Errorf("calls %v were ended, busy %v; want the one of the job", ended, sim.d.Busy())
	}
}

// A task that no endpoint answers must not occupy more of them than maxTries.
func TestUnansweredTaskOccupiesFewEndpoints(t *testing.T) {
	sim := newSimulation(t)
	sim.addService("portal", portalLimits, 3*maxTries, "a")
	for _, e := range endpointsOf("portal", 3*maxTries, "a") {
		sim.unresponsive[e.ID] = true
	}
	j := largeResultJob("j", sim.now, 1)
	j.Target, j.Deadline = sim.now.Add(time.Minute), sim.now.Add(time.Minute)
	sim.schedule(0, func() { sim.d.Submit(sim.now, j) })
	sim.run(time.Minute)
	if sim.callsSent != maxTries || sim.ended["j"].Problem == "" {
		t.Errorf("%d calls, want %d; the job ended with %+v", sim.callsSent, maxTries, sim.ended["j"])
	}
}
