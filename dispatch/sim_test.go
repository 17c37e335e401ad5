package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/stage"
)

// The dispatcher's tests play its decisions against endpoints of stage services
// with the timing that the operators declare, on a virtual clock and without
// sockets.

// epoch is the virtual clock's zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world plays calls of one dispatcher.
type world struct {
	t   testing.TB
	d   *Dispatcher
	now time.Time
	pq  eventQueue
	seq int
	// busy counts the calls in progress at each endpoint, results what it holds.
	busy    map[string]int
	results map[string]map[string]bool
	// calls and tasks count what was sent.
	calls, tasks int
	// tasksAt counts the tasks that were sent to each endpoint.
	tasksAt map[string]int
	made    int
	limits  map[string]catalog.StageLimits
	// slow is how many times as long an endpoint takes.
	slow map[string]float64
	// dead endpoints do not answer.
	dead  map[string]bool
	ended map[string]JobResult
	endAt map[string]time.Time
	// begunAt is when jobs were submitted.
	begunAt map[string]time.Time
	// inputs checks what each task was given.
	handleOf map[string]string
	// prompts is the engines' service that the requests of a burst ask; they
	// share their first two parts with others.
	prompts string
	// readAfter is when the results of a job that ended are released; 0 leaves
	// that to readers.
	readAfter time.Duration
	// told are the results that submitters were told of, by job.
	told map[string][]StageResults
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newWorld(t testing.TB) *world {
	return &world{
		t: t, d: New(Options{}), now: epoch, busy: map[string]int{}, results: map[string]map[string]bool{},
		limits: map[string]catalog.StageLimits{}, slow: map[string]float64{}, dead: map[string]bool{},
		ended: map[string]JobResult{}, endAt: map[string]time.Time{}, begunAt: map[string]time.Time{}, tasksAt: map[string]int{}, handleOf: map[string]string{}, told: map[string][]StageResults{},
	}
}

// portal is a stage service of few large results, desk one of many small ones.
var (
	portal = catalog.StageLimits{Slots: 1, Batch: 8, CallTime: 150 * time.Millisecond, TaskTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second}
	desk   = catalog.StageLimits{Slots: 1, Batch: 18, CallTime: 150 * time.Millisecond, TaskTime: 7 * time.Millisecond, ResultMemory: 3.3e6, ResultTTL: 4 * time.Second}
)

// service declares a service with n endpoints in turn in the data centres.
func (w *world) service(name string, l catalog.StageLimits, n int, dataCentres ...string) {
	w.limits[name] = l
	w.d.SetService(name, l)
	w.d.SetEndpoints(name, endpointsOf(name, n, dataCentres...))
}

func endpointsOf(name string, n int, dataCentres ...string) []catalog.Endpoint {
	var list []catalog.Endpoint
	for i := range n {
		list = append(list, catalog.Endpoint{
			ID: fmt.Sprintf("%s-%d", name, i), Service: name, Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	return list
}

func (w *world) at(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.pq, simEvent{at: w.now.Add(d), seq: w.seq, do: do})
}

// run plays until a time after the epoch.
func (w *world) run(until time.Duration) {
	w.tick()
	for len(w.pq) > 0 && !w.pq[0].at.After(epoch.Add(until)) {
		e := heap.Pop(&w.pq).(simEvent)
		w.now = e.at
		e.do()
		w.pump()
	}
}

func (w *world) tick() {
	w.at(25*time.Millisecond, func() {
		w.d.Expire(w.now)
		w.tick()
	})
}

func (w *world) pump() {
	for _, c := range w.d.Schedule(w.now) {
		w.call(c)
	}
	for id, made := range w.d.TakeStageResults() {
		w.told[id] = append(w.told[id], made...)
	}
	for _, f := range w.d.TakeJobResults() {
		if _, twice := w.ended[f.ID]; twice {
			w.t.Fatalf("job %s ended twice", f.ID)
		}
		w.ended[f.ID], w.endAt[f.ID] = f, w.now
		if w.readAfter > 0 {
			w.at(w.readAfter, func() { w.d.Release(w.now, f.ID, false) })
		}
	}
	for _, f := range w.d.TakeFreeRequests() {
		for _, h := range f.Handles {
			delete(w.results[f.Endpoint.ID], h)
		}
	}
}

func (w *world) call(c Call) {
	e := c.Endpoint
	l := w.limits[e.Service]
	w.calls++
	w.tasks += len(c.Tasks)
	w.tasksAt[e.ID] += len(c.Tasks)
	if w.busy[e.ID]++; w.busy[e.ID] > l.Slots {
		w.t.Fatalf("%d calls at once at %s", w.busy[e.ID], e.ID)
	}
	if len(c.Tasks) > l.Batch {
		w.t.Fatalf("%d tasks in one call", len(c.Tasks))
	}
	if w.dead[e.ID] {
		w.at(c.Timeout, func() {
			w.busy[e.ID]--
			w.d.Fail(w.now, c.ID, ResponseLost)
		})
		return
	}
	took := l.CallTime + time.Duration(len(c.Tasks))*l.TaskTime
	if x := w.slow[e.ID]; x > 0 {
		took = time.Duration(float64(took) * x)
	}
	w.at(took, func() { w.complete(c) })
}

func (w *world) complete(c Call) {
	e := c.Endpoint
	w.busy[e.ID]--
	if w.results[e.ID] == nil {
		w.results[e.ID] = map[string]bool{}
	}
	var results []stage.Result
	for range c.Tasks {
		w.made++
		h := fmt.Sprintf("%s/%d", e.Address, w.made)
		w.results[e.ID][h] = true
		results = append(results, stage.Result{Handle: h})
	}
	w.d.Complete(w.now, c.ID, results)
}

// held counts the results at all endpoints.
func (w *world) held() int {
	n := 0
	for _, r := range w.results {
		n += len(r)
	}
	return n
}

// manual is a request for large results that has to be answered soon; check is
// one of three stages that follow each other.
func manual(id string, now time.Time, tasks int) Job {
	return Job{
		ID: id, Key: "k" + id, Rank: 0, Target: now.Add(time.Second), Deadline: now.Add(8 * time.Second),
		Stages: []Stage{{Service: "portal", Tasks: tasks, ResultBytes: 3e6}},
	}
}

func check(id string, now time.Time) Job {
	return Job{
		ID: id, Key: "k" + id, Rank: 1, Target: now.Add(2200 * time.Millisecond), Deadline: now.Add(6 * time.Second),
		Stages: []Stage{
			{Service: "portal", Tasks: 1, ResultBytes: 8000},
			{Service: "desk", After: []int{0}, Tasks: 8, ResultBytes: 60000},
			{Service: "notify", After: []int{1}, Tasks: 16, ResultBytes: 6000},
		},
	}
}

var notify = catalog.StageLimits{Slots: 1, Batch: 38, CallTime: 150 * time.Millisecond, TaskTime: 3400 * time.Microsecond, ResultMemory: 650e3, ResultTTL: 4 * time.Second}

// burst submits Poisson arrivals of both kinds of requests and releases the
// results of those that end after the given time for reading.
func (w *world) burst(seed uint64, length time.Duration, manuals, checks float64) (submitted, refused int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	arrive := func(perSecond float64, job func(id string, now time.Time) Job, name string) {
		if perSecond == 0 {
			return
		}
		at := time.Duration(0)
		for i := 0; ; i++ {
			at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			if at > length {
				return
			}
			id := fmt.Sprintf("%s%d", name, i)
			w.at(at, func() {
				submitted++
				w.begunAt[id] = w.now
				j := job(id, w.now)
				if w.prompts != "" {
					j.Prompt = promptOf(w.prompts, id, i)
				}
				if !w.d.Submit(w.now, j).Admitted {
					refused++
				}
			})
		}
	}
	sizes := rand.New(rand.NewPCG(seed, 2))
	arrive(manuals, func(id string, now time.Time) Job { return manual(id, now, 1+sizes.IntN(4)) }, "m")
	arrive(checks, check, "c")
	return submitted, refused
}

// sharedParts is how many parts of prompts there are that requests share.
const sharedParts = 400

// promptOf is a prompt whose first two parts others share.
func promptOf(service, id string, i int) Prompt {
	return Prompt{Service: service, Tokens: 9000, Parts: []Part{
		{ID: fmt.Sprint("common", i%4), Tokens: 2500}, {ID: fmt.Sprint("shared", i*7919%sharedParts), Tokens: 3800}, {ID: "own" + id, Tokens: 2700},
	}}
}

// readers release the results of jobs that ended, a while later.
func (w *world) readers(after time.Duration) {
	seen := map[string]bool{}
	var look func()
	look = func() {
		ids := make([]string, 0, len(w.ended))
		for id := range w.ended {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for _, id := range ids {
			if !seen[id] {
				seen[id] = true
				w.at(after, func() { w.d.Release(w.now, id, false) })
			}
		}
		w.at(10*time.Millisecond, look)
	}
	w.at(0, look)
}
