package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// In a roll-out, the dispatcher is replaced every few seconds while jobs are in progress at every
// stage. The jobs must go on at the next dispatcher with all results that were made: no task runs
// twice, and the old dispatcher starts no further call, as the two do not know of each other's calls.
func TestJobsAreHandedOver(t *testing.T) {
	for elapsed := 20 * time.Millisecond; elapsed < 800*time.Millisecond; elapsed += 20 * time.Millisecond {
		sim := newChainSimulation(t)
		submittedAt := make(map[string]time.Time)
		for i := range 3 {
			if after := time.Duration(i) * 90 * time.Millisecond; after < elapsed {
				id := fmt.Sprint("c", i)
				submittedAt[id] = epoch.Add(after)
				sim.schedule(after, func() { sim.d.Submit(sim.now, chainJob(id, sim.now)) })
			}
		}
		sim.run(elapsed)
		sim.now = epoch.Add(elapsed)
		calls := sim.callsSent
		sim.d.HandOver(sim.now)
		sim.carryOut()
		sim.run(elapsed + 400*time.Millisecond) // longer than any call
		if sim.callsSent != calls || len(sim.ended) != len(submittedAt) {
			t.Fatalf("after %s: %d calls were started after the hand-over, and %d of %d jobs ended", elapsed, sim.callsSent-calls, len(sim.ended), len(submittedAt))
		}
		next := newChainSimulation(t)
		next.now, next.results, next.tasksSent = sim.now, sim.results, sim.tasksSent
		for id, result := range sim.ended {
			if !result.HandedOver {
				continue // its last results arrived meanwhile
			}
			j := chainJob(id, submittedAt[id])
			j.PriorResults = append(sim.reported[id], result.StageResults...)
			if a := next.d.Submit(next.now, j); !a.Admitted {
				t.Fatalf("after %s: %s was refused: %+v", elapsed, id, a)
			}
		}
		next.carryOut()
		next.run(10 * time.Second)
		for id, result := range sim.ended {
			if result.HandedOver {
				result = next.ended[id]
			}
			if result.Problem != "" || len(result.Handles) != 16 {
				t.Errorf("after %s: %s ended with %+v", elapsed, id, result)
			}
		}
		if want := 25 * len(submittedAt); next.tasksSent != want {
			t.Errorf("after %s: %d tasks were sent for %d jobs, want %d", elapsed, next.tasksSent, len(submittedAt), want)
		}
	}
}
