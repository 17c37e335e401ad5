package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/stage"
)

func newFourCentreSimulation(t testing.TB) *simulation {
	w := newSimulation(t)
	w.addService("portal", portalLimits, 4, "a", "b", "c", "d")
	w.addService("desk", deskLimits, 5, "a", "b", "c", "d")
	w.addService("notify", notifyLimits, 5, "a", "b", "c", "d")
	return w
}

// The load pattern: two kinds of requests come in bursts of 2.2 times their
// usual rate. One call for each request would need more endpoint time than
// there is; filled batches serve nearly all.
func TestBurstIsBatchedAcrossRequests(t *testing.T) {
	w := newFourCentreSimulation(t)
	w.releaseAfter(150 * time.Millisecond)
	w.submitBurst(7, 7*time.Second, 18.8, 14.1)
	w.run(15 * time.Second)

	served := 0
	alone := time.Duration(0) // endpoint time of the portal with one call a group
	for _, f := range w.ended {
		alone += portalLimits.CallTime + 2*portalLimits.TaskTime
		if f.Problem == "" {
			served++
		}
	}
	if total := len(w.ended); served < total*98/100 {
		t.Errorf("%d of %d requests served", served, total)
	}
	if capacity := 4 * 7 * time.Second; alone < capacity*5/4 {
		t.Errorf("the burst needs only %v of %v without batches: the test shows nothing", alone, capacity)
	}
	if perCall := float64(w.tasksSent) / float64(w.callsSent); perCall < 4 {
		t.Errorf("%.1f tasks in a call", perCall)
	}
	if held := w.storedResults(); held != 0 {
		t.Errorf("%d results are still held after all were read", held)
	}
}

// Whatever comes, endpoints have no more calls at once than they take, results
// never exceed the declared room, each admitted job ends once, and nothing
// stays held.
func TestBooksHoldUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFourCentreSimulation(t)
		w.releaseAfter(time.Duration(rapid.IntRange(10, 2000).Draw(rt, "read ms")) * time.Millisecond)
		seed := rapid.Uint64().Draw(rt, "seed")
		w.submitBurst(seed, 3*time.Second, float64(rapid.IntRange(1, 60).Draw(rt, "manuals")), float64(rapid.IntRange(1, 40).Draw(rt, "checks")))
		if rapid.Bool().Draw(rt, "slow") {
			w.slowdown["desk-1"] = 5
		}
		if rapid.Bool().Draw(rt, "dead") {
			w.unresponsive["portal-2"] = true
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		for i := range 40 {
			id := fmt.Sprintf("m%d", rng.IntN(60))
			w.schedule(time.Duration(rng.IntN(3000))*time.Millisecond+time.Duration(i), func() { w.d.Cancel(w.now, id) })
		}
		w.run(30 * time.Second)
		if len(w.d.jobs) != 0 {
			rt.Fatalf("%d jobs never ended", len(w.d.jobs))
		}
		for name, p := range w.d.pools {
			if len(p.queue) != 0 {
				rt.Fatalf("%s: %d groups still wait", name, len(p.queue))
			}
			for dc, n := range p.backlog {
				if n != 0 {
					rt.Fatalf("%s: backlog of %q is %d", name, dc, n)
				}
			}
			for id, e := range p.endpoints {
				if e.storedBytes != 0 || e.reservedBytes != 0 || e.activeCalls != 0 {
					rt.Fatalf("%s: books show %d bytes held, %d reserved, %d calls", id, e.storedBytes, e.reservedBytes, e.activeCalls)
				}
			}
		}
		if held := w.storedResults(); held != 0 {
			rt.Fatalf("%d results still held", held)
		}
	})
}

// The load pattern: more work than the endpoints can do before its deadline.
// It is refused when it comes, and what was admitted is done.
func TestOverloadIsRefusedBeforeWork(t *testing.T) {
	w := newFourCentreSimulation(t)
	w.releaseAfter(100 * time.Millisecond)
	refused, admitted := 0, 0
	for i := range 3000 {
		id := fmt.Sprintf("m%d", i)
		w.schedule(time.Duration(i)*2*time.Millisecond, func() {
			a := w.d.Submit(w.now, largeResultJob(id, w.now, 3))
			if a.Admitted {
				admitted++
				return
			}
			refused++
			if a.RetryAfter <= 0 {
				t.Errorf("refused without a time to come back")
			}
		})
	}
	w.run(20 * time.Second)
	failed := 0
	for _, f := range w.ended {
		if f.Problem != "" {
			failed++
		}
	}
	if refused == 0 || failed > admitted/20 {
		t.Errorf("%d admitted, %d refused, %d failed after they were admitted", admitted, refused, failed)
	}
}

// The load pattern: the urgent and the rest want more than there is. The urgent
// start first.
func TestUrgentWorkStartsFirst(t *testing.T) {
	w := newSimulation(t)
	w.addService("portal", portalLimits, 1, "a")
	for i := range 10 {
		j := largeResultJob(fmt.Sprintf("slow%d", i), w.now, 2)
		j.Rank, j.Target = 2, w.now.Add(2400*time.Millisecond)
		w.d.Submit(w.now, j)
	}
	for i := range 2 {
		w.d.Submit(w.now, largeResultJob(fmt.Sprintf("urgent%d", i), w.now, 2))
	}
	calls := w.d.Schedule(w.now)
	if len(calls) != 1 {
		t.Fatalf("%d calls", len(calls))
	}
	for _, task := range calls[0].Tasks[:4] {
		if task.AttemptID[0] != 'u' {
			t.Errorf("task of %s before the urgent ones", task.AttemptID)
		}
	}
}

// Tasks of a later stage read all results of the stages before it, in order,
// and are given nothing else.
func TestTasksReadWholeInputs(t *testing.T) {
	w := newFourCentreSimulation(t)
	w.d.Submit(w.now, chainJob("c", w.now))
	first := w.d.Schedule(w.now)
	if len(first) != 1 || len(first[0].Tasks) != 1 || first[0].Tasks[0].Key != "kc" || first[0].Tasks[0].Inputs != nil {
		t.Fatalf("first calls %+v", first)
	}
	w.d.Complete(w.now, first[0].ID, []stage.Result{{Handle: "h0"}})
	second := w.d.Schedule(w.now)
	n := 0
	for _, c := range second {
		for _, task := range c.Tasks {
			n++
			if task.Stage != 1 || task.Key != "" || len(task.Inputs) != 1 || task.Inputs[0] != "h0" {
				t.Errorf("task %+v", task)
			}
		}
	}
	if n != 8 {
		t.Errorf("%d tasks of the second stage", n)
	}
}

// A result that was lost is made again with all that led to it, and the job ends well.
func TestLostInputsAreMadeAgain(t *testing.T) {
	w := newFourCentreSimulation(t)
	w.d.Submit(w.now, chainJob("c", w.now))
	lost := false
	gone := make(map[string]bool)
	for range 40 {
		w.now = w.now.Add(300 * time.Millisecond)
		for _, c := range w.d.Schedule(w.now) {
			results := make([]stage.Result, len(c.Tasks))
			for i, task := range c.Tasks {
				results[i].Handle = fmt.Sprintf("%s/%d-%d-%d", c.Endpoint.ID, task.Stage, task.Index, c.ID)
				if task.Stage == 2 && !lost {
					results[i] = stage.Result{Problem: stage.InputMissing}
					gone[task.Inputs[0]] = true
				} else if task.Stage == 2 && gone[task.Inputs[0]] {
					t.Fatalf("task %d is given the lost input %s again", task.Index, task.Inputs[0])
				}
			}
			if c.Tasks[0].Stage == 2 {
				lost = true
			}
			w.d.Complete(w.now, c.ID, results)
		}
		for _, f := range w.d.TakeJobResults() {
			if f.Problem != "" || len(f.Handles) != 16 {
				t.Fatalf("ended with %+v", f)
			}
			return
		}
	}
	t.Fatal("the job never ended")
}

// The load pattern: an endpoint turns slow. Work goes elsewhere while the
// others keep up.
func TestSlowEndpointIsPassedOver(t *testing.T) {
	w := newFourCentreSimulation(t)
	w.slowdown["desk-1"] = 6
	w.releaseAfter(50 * time.Millisecond)
	w.submitBurst(3, 10*time.Second, 4, 8)
	w.run(12 * time.Second)
	late := 0
	for id, f := range w.ended {
		if id[0] == 'c' && f.Problem != "" {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests failed", late)
	}
	others := (w.tasksAt["desk-0"] + w.tasksAt["desk-2"] + w.tasksAt["desk-3"] + w.tasksAt["desk-4"]) / 4
	if slow := w.tasksAt["desk-1"]; slow > others/4 {
		t.Errorf("%d tasks for the slow endpoint, %d for each of the others", slow, others)
	}
}

// The load pattern: sessions that share parts of prompts come again. They meet
// the engine that has read them, until waiting there costs more than reading again.
func TestPromptsMeetTheEngineThatReadThem(t *testing.T) {
	d := New(Options{})
	s := &catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 500_000}
	var engines []Engine
	for i := range 4 {
		engines = append(engines, Engine{Endpoint: catalog.Endpoint{ID: fmt.Sprintf("e%d", i), DataCentre: "a"}})
	}
	d.SetEngines(s, engines)
	ask := func(now time.Time, id, shared string) string {
		t.Helper()
		a := d.Submit(now, Job{
			ID: id, Target: now.Add(time.Second), Deadline: now.Add(8 * time.Second),
			Prompt: Prompt{Service: "llm", Tokens: 17000, Parts: []Part{{ID: shared, Tokens: 13000}, {ID: "own" + id, Tokens: 4000}}},
		})
		f := d.TakeJobResults()
		if !a.Admitted || len(f) != 1 || f[0].Engine == "" {
			t.Fatalf("admission %+v, finished %+v", a, f)
		}
		return f[0].Engine
	}
	now := epoch
	home := ask(now, "1", "s")
	now = now.Add(500 * time.Millisecond)
	d.Release(now, "1", false)
	for i := range 3 {
		if got := ask(now, fmt.Sprintf("again%d", i), "s"); got != home {
			t.Errorf("request %d went to %s, the parts are at %s", i, got, home)
		}
	}
	used := map[string]bool{}
	for i := range 40 {
		used[ask(now, fmt.Sprintf("crowd%d", i), "s")] = true
	}
	if len(used) < 3 {
		t.Errorf("40 requests at once went to %d engines", len(used))
	}
}

// A cold engine gets no more requests than it bears.
func TestColdEngineIsRationed(t *testing.T) {
	d := New(Options{})
	s := &catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 500_000, ColdRate: 9}
	d.SetEngines(s, []Engine{{Endpoint: catalog.Endpoint{ID: "cold"}, Cold: true}})
	n := 0
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		id := fmt.Sprint(i)
		d.Submit(now, Job{ID: id, Target: now.Add(time.Second), Deadline: now.Add(time.Second), Prompt: Prompt{Service: "llm", Tokens: 10}})
		for _, f := range d.TakeJobResults() {
			if f.Engine != "" {
				n++
			}
		}
	}
	if n > 9 {
		t.Errorf("%d requests in a second", n)
	}
}

// The load pattern: a third of the endpoints falls silent. What was sent there
// is done elsewhere soon, and they are tried with little work until they answer.
func TestSilentEndpointsHoldLittle(t *testing.T) {
	w, _ := simulateSilence(t, 20)
	late := 0
	for id, f := range w.ended {
		if f.Problem != "" || w.endedAt[id].Sub(w.submittedAt[id]) > 1500*time.Millisecond {
			late++
		}
	}
	if late > len(w.ended)/50 {
		t.Errorf("%d of %d requests took long or failed", late, len(w.ended))
	}
	// When the others are busy too, no more than that is sent there.
	busy, atSilence := simulateSilence(t, 40)
	if sent := busy.tasksAt["portal-0"] + busy.tasksAt["portal-1"] - atSilence; sent > 2*(portalLimits.Batch+6) {
		t.Errorf("%d tasks were sent to two silent endpoints", sent)
	}
}

// simulateSilence plays requests at a rate while two of six endpoints fall silent, and
// returns how many tasks those had before.
func simulateSilence(t *testing.T, perSecond float64) (w *simulation, atSilence int) {
	w = newSimulation(t)
	w.addService("portal", portalLimits, 6, "a")
	w.releaseAfter(50 * time.Millisecond)
	w.submitBurst(5, 6*time.Second, perSecond, 0)
	w.schedule(time.Second, func() {
		w.unresponsive["portal-0"], w.unresponsive["portal-1"] = true, true
		atSilence = w.tasksAt["portal-0"] + w.tasksAt["portal-1"]
	})
	w.run(15 * time.Second)
	return w, atSilence
}
