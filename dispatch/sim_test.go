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

// simulation plays calls of one dispatcher.
type simulation struct {
	t       testing.TB
	d       *Dispatcher
	now     time.Time
	events  eventQueue
	lastSeq int
	// activeCalls counts the calls in progress at each endpoint, results what it holds.
	activeCalls map[string]int
	results     map[string]map[string]bool
	// callsSent and tasksSent count what was sent.
	callsSent, tasksSent int
	// tasksAt counts the tasks that were sent to each endpoint.
	tasksAt     map[string]int
	handlesMade int
	limits      map[string]catalog.StageLimits
	// slowdown is how many times as long an endpoint takes.
	slowdown map[string]float64
	// unresponsive endpoints do not answer.
	unresponsive map[string]bool
	ended        map[string]JobResult
	endedAt      map[string]time.Time
	// submittedAt is when jobs were submitted.
	submittedAt map[string]time.Time
	// inputs checks what each task was given.
	handleOf map[string]string
	// engineService is the engines' service that the requests of a burst ask; they
	// share their first two parts with others.
	engineService string
	// releaseDelay is when the results of a job that ended are released; 0 leaves
	// that to readers.
	releaseDelay time.Duration
	// reported are the results that submitters were reported of, by job.
	reported map[string][]StageResults
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

func newSimulation(t testing.TB) *simulation {
	return &simulation{
		t: t, d: New(Options{}), now: epoch, activeCalls: map[string]int{}, results: map[string]map[string]bool{},
		limits: map[string]catalog.StageLimits{}, slowdown: map[string]float64{}, unresponsive: map[string]bool{},
		ended: map[string]JobResult{}, endedAt: map[string]time.Time{}, submittedAt: map[string]time.Time{}, tasksAt: map[string]int{}, handleOf: map[string]string{}, reported: map[string][]StageResults{},
	}
}

// portalLimits is a stage service of few large results, deskLimits one of many small ones.
var (
	portalLimits = catalog.StageLimits{Slots: 1, Batch: 8, CallTime: 150 * time.Millisecond, TaskTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second}
	deskLimits   = catalog.StageLimits{Slots: 1, Batch: 18, CallTime: 150 * time.Millisecond, TaskTime: 7 * time.Millisecond, ResultMemory: 3.3e6, ResultTTL: 4 * time.Second}
)

// addService declares a addService with n endpoints in turn in the data centres.
func (w *simulation) addService(name string, l catalog.StageLimits, n int, dataCentres ...string) {
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

func (w *simulation) schedule(d time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.events, simEvent{at: w.now.Add(d), seq: w.lastSeq, do: do})
}

// run plays until a time after the epoch.
func (w *simulation) run(until time.Duration) {
	w.scheduleExpiry()
	for len(w.events) > 0 && !w.events[0].at.After(epoch.Add(until)) {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
		w.carryOut()
	}
}

func (w *simulation) scheduleExpiry() {
	w.schedule(25*time.Millisecond, func() {
		w.d.Expire(w.now)
		w.scheduleExpiry()
	})
}

func (w *simulation) carryOut() {
	for _, c := range w.d.Schedule(w.now) {
		w.startCall(c)
	}
	for id, made := range w.d.TakeStageResults() {
		w.reported[id] = append(w.reported[id], made...)
	}
	for _, f := range w.d.TakeJobResults() {
		if _, twice := w.ended[f.ID]; twice {
			w.t.Fatalf("job %s ended twice", f.ID)
		}
		w.ended[f.ID], w.endedAt[f.ID] = f, w.now
		if w.releaseDelay > 0 {
			w.schedule(w.releaseDelay, func() { w.d.Release(w.now, f.ID, false) })
		}
	}
	for _, f := range w.d.TakeFreeRequests() {
		for _, h := range f.Handles {
			delete(w.results[f.Endpoint.ID], h)
		}
	}
}

func (w *simulation) startCall(c Call) {
	e := c.Endpoint
	l := w.limits[e.Service]
	w.callsSent++
	w.tasksSent += len(c.Tasks)
	w.tasksAt[e.ID] += len(c.Tasks)
	if w.activeCalls[e.ID]++; w.activeCalls[e.ID] > l.Slots {
		w.t.Fatalf("%d calls at once at %s", w.activeCalls[e.ID], e.ID)
	}
	if len(c.Tasks) > l.Batch {
		w.t.Fatalf("%d tasks in one call", len(c.Tasks))
	}
	if w.unresponsive[e.ID] {
		w.schedule(c.Timeout, func() {
			w.activeCalls[e.ID]--
			w.d.Fail(w.now, c.ID, ResponseLost)
		})
		return
	}
	took := l.CallTime + time.Duration(len(c.Tasks))*l.TaskTime
	if x := w.slowdown[e.ID]; x > 0 {
		took = time.Duration(float64(took) * x)
	}
	w.schedule(took, func() { w.completeCall(c) })
}

func (w *simulation) completeCall(c Call) {
	e := c.Endpoint
	w.activeCalls[e.ID]--
	if w.results[e.ID] == nil {
		w.results[e.ID] = map[string]bool{}
	}
	var results []stage.Result
	for range c.Tasks {
		w.handlesMade++
		h := fmt.Sprintf("%s/%d", e.Address, w.handlesMade)
		w.results[e.ID][h] = true
		results = append(results, stage.Result{Handle: h})
	}
	w.d.Complete(w.now, c.ID, results)
}

// storedResults counts the results at all endpoints.
func (w *simulation) storedResults() int {
	n := 0
	for _, r := range w.results {
		n += len(r)
	}
	return n
}

// largeResultJob is a request for large results that has to be answered soon; check is
// one of three stages that follow each other.
func largeResultJob(id string, now time.Time, tasks int) Job {
	return Job{
		ID: id, Key: "k" + id, Rank: 0, Target: now.Add(time.Second), Deadline: now.Add(8 * time.Second),
		Stages: []Stage{{Service: "portal", Tasks: tasks, ResultBytes: 3e6}},
	}
}

func chainJob(id string, now time.Time) Job {
	return Job{
		ID: id, Key: "k" + id, Rank: 1, Target: now.Add(2200 * time.Millisecond), Deadline: now.Add(6 * time.Second),
		Stages: []Stage{
			{Service: "portal", Tasks: 1, ResultBytes: 8000},
			{Service: "desk", After: []int{0}, Tasks: 8, ResultBytes: 60000},
			{Service: "notify", After: []int{1}, Tasks: 16, ResultBytes: 6000},
		},
	}
}

var notifyLimits = catalog.StageLimits{Slots: 1, Batch: 38, CallTime: 150 * time.Millisecond, TaskTime: 3400 * time.Microsecond, ResultMemory: 650e3, ResultTTL: 4 * time.Second}

// submitBurst submits Poisson arrivals of both kinds of requests and releases the
// results of those that end after the given time for reading.
func (w *simulation) submitBurst(seed uint64, length time.Duration, manuals, checks float64) (submitted, refused int) {
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
			w.schedule(at, func() {
				submitted++
				w.submittedAt[id] = w.now
				j := job(id, w.now)
				if w.engineService != "" {
					j.Prompt = promptOf(w.engineService, id, i)
				}
				if !w.d.Submit(w.now, j).Admitted {
					refused++
				}
			})
		}
	}
	sizes := rand.New(rand.NewPCG(seed, 2))
	arrive(manuals, func(id string, now time.Time) Job { return largeResultJob(id, now, 1+sizes.IntN(4)) }, "m")
	arrive(checks, chainJob, "c")
	return submitted, refused
}

// sharedPartCount is how many parts of prompts there are that requests share.
const sharedPartCount = 400

// promptOf is a prompt whose first two parts others share.
func promptOf(service, id string, i int) Prompt {
	return Prompt{Service: service, Tokens: 9000, Parts: []Part{
		{ID: fmt.Sprint("common", i%4), Tokens: 2500}, {ID: fmt.Sprint("shared", i*7919%sharedPartCount), Tokens: 3800}, {ID: "own" + id, Tokens: 2700},
	}}
}

// releaseAfter release the results of jobs that ended, a while later.
func (w *simulation) releaseAfter(after time.Duration) {
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
				w.schedule(after, func() { w.d.Release(w.now, id, false) })
			}
		}
		w.schedule(10*time.Millisecond, look)
	}
	w.schedule(0, look)
}
