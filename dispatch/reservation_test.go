package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// limitedEngines returns engines of which the first n take a request every interval.
func limitedEngines(total, n int, interval time.Duration) []Engine {
	list := engineList(total, 1)
	for i := range n {
		list[i].RequestInterval = interval
	}
	return list
}

// The engines of a service all state rate limits, and four times as many requests come as these allow, half of
// them of the most urgent rank. No engine gets two requests within its interval, nearly all turns are used,
// urgent requests are served more often, and no stages run for requests that find no engine.
func TestTurnsAreGivenOutAtAdmission(t *testing.T) {
	const (
		engines  = 4
		interval = 400 * time.Millisecond
		length   = 20 * time.Second
	)
	sim := newFourCentreSimulation(t)
	sim.d.SetEngines(&catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 100_000}, limitedEngines(engines, engines, interval))
	sim.releaseResultsAfter(50 * time.Millisecond)
	ranks := map[string]int{}
	refused := 0
	for i := range int(length / (25 * time.Millisecond)) {
		sim.schedule(time.Duration(i)*25*time.Millisecond, func() {
			id := fmt.Sprint("r", i)
			j := Job{
				ID: id, Rank: i % 2 * 2, Target: sim.now.Add(time.Second), Deadline: sim.now.Add(time.Duration(6+4*(i%2)) * time.Second),
				Stages: []Stage{{Service: "portal", Tasks: 1, ResultBytes: 1e4}}, Prompt: promptOf("llm", id, i),
			}
			ranks[id] = j.Rank
			if a := sim.d.Submit(sim.now, j); !a.Admitted {
				refused++
				if a.RetryAfter < minRetryAfter {
					t.Errorf("%s is refused without a time to return", id)
				}
			}
		})
	}
	sim.run(length + 5*time.Second)
	turns := map[string][]time.Time{}
	served := map[int]int{}
	for id, r := range sim.ended {
		if r.Engine == "" || !r.TurnBooked {
			t.Errorf("%s ended without a turn: %+v", id, r)
			continue
		}
		served[ranks[id]]++
		turns[r.Engine] = append(turns[r.Engine], sim.endedAt[id].Add(r.StartAfter))
	}
	total := 0
	for engine, times := range turns {
		total += len(times)
		for i := range times {
			for k := range i {
				if gap := times[i].Sub(times[k]).Abs(); gap < interval {
					t.Fatalf("%s gets two requests within %v, want at least %v", engine, gap, interval)
				}
			}
		}
	}
	if available := engines * int(length/interval); total < available*9/10 {
		t.Errorf("%d of %d turns are used, want 90 %%", total, available)
	}
	if served[0] <= 2*served[2] {
		t.Errorf("%d urgent requests served and %d others, want more than twice as many", served[0], served[2])
	}
	if refused+total != len(ranks) {
		t.Errorf("%d requests refused and %d served of %d", refused, total, len(ranks))
	}
}

// Engines with a limit are booked at their turns while the others are busy, and hardly while they are idle.
func TestLimitedEnginesHelpUnderLoad(t *testing.T) {
	const interval = 500 * time.Millisecond
	for _, c := range []struct {
		name              string
		pause             time.Duration
		atLeast, atMost   int
		unlimited, length int
	}{
		{"idle", 200 * time.Millisecond, 0, 2, 2, 10},
		{"busy", 5 * time.Millisecond, 10, 40, 2, 10},
	} {
		d := New(Options{})
		d.SetEngines(&catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 1_000_000}, limitedEngines(2+c.unlimited, 2, interval))
		booked := 0
		for i := range int(time.Duration(c.length) * time.Second / c.pause) {
			now := epoch.Add(time.Duration(i) * c.pause)
			id := fmt.Sprint("r", i)
			d.Submit(now, Job{ID: id, Target: now.Add(time.Second), Deadline: now.Add(8 * time.Second), Prompt: Prompt{Service: "llm", Tokens: 1000, Parts: []Part{{ID: id, Tokens: 1000}}}})
			for _, r := range d.TakeJobResults() {
				if r.TurnBooked {
					booked++
				}
			}
		}
		if booked < c.atLeast || booked > c.atMost {
			t.Errorf("%s: %d requests booked at engines with a limit, want %d to %d", c.name, booked, c.atLeast, c.atMost)
		}
	}
}
