package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// An endpoint that answers every call at once with reasons for all tasks counted as the fastest, and got all calls.
func TestEndpointThatFailsAllTasksIsAvoided(t *testing.T) {
	const jobs, maxCalls = 30, 6
	sim := newSimulation(t)
	sim.addService("portal", portalLimits, 2, "a")
	faulty, callsAtFaulty := endpointsOf("portal", 2, "a")[0].ID, 0
	for i := range jobs {
		sim.d.Submit(sim.now, largeResultJob(fmt.Sprint(i), sim.now, 2))
		var ended []JobResult
		for ; len(ended) == 0; ended = sim.d.TakeJobResults() {
			for _, call := range sim.d.Schedule(sim.now) {
				took, results := 100*time.Millisecond, answer("h0", "h1")
				if call.Endpoint.ID == faulty {
					callsAtFaulty++
					took, results = 10*time.Millisecond, []stage.Result{{Problem: stage.Failed}, {Problem: stage.Failed}}
				}
				sim.now = sim.now.Add(took)
				sim.d.Complete(sim.now, call.ID, results[:len(call.Tasks)])
			}
			sim.now = sim.now.Add(10 * time.Millisecond)
		}
		if ended[0].Problem != "" {
			t.Errorf("job %d failed beside a sound endpoint: %s", i, ended[0].Problem)
		}
	}
	if callsAtFaulty > maxCalls || callsAtFaulty == 0 {
		t.Errorf("%d calls reached the failing endpoint, want 1 to %d", callsAtFaulty, maxCalls)
	}
}

func TestCallsWithoutResultsCountAsFailures(t *testing.T) {
	result, failed, late := stage.Result{Handle: "h"}, stage.Result{Problem: stage.Failed}, stage.Result{Problem: stage.DeadlineExceeded}
	for _, c := range []struct {
		name    string
		calls   [][]stage.Result
		backoff time.Duration
	}{
		{"one call", [][]stage.Result{{failed, failed}}, 0},
		{"two calls", [][]stage.Result{{failed, failed}, {failed}}, 2 * failureBackoff},
		{"three calls", [][]stage.Result{{failed}, {failed}, {failed}}, 4 * failureBackoff},
		{"a result between them", [][]stage.Result{{failed}, {failed, result}, {failed}}, 0},
		{"tasks that come late", [][]stage.Result{{late}, {late, late}}, 0},
		{"no tasks", [][]stage.Result{{}, {}}, 0},
	} {
		e := &endpoint{slowdown: 1}
		for _, results := range c.calls {
			e.activeCalls++
			e.callFinished(epoch, &call{started: epoch, expected: time.Second}, results)
		}
		if got := max(e.retryAt.Sub(epoch), 0); got != c.backoff || e.activeCalls != 0 {
			t.Errorf("%s: backoff %v and %d calls, want %v and none", c.name, got, e.activeCalls, c.backoff)
		}
	}
}
