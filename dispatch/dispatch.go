// Package dispatch decides how the tasks of requests' stages wait, are refused
// and are placed. One dispatcher fills batches across the requests of all
// entries. It is a value without I/O: every method takes the time, and what has
// to be sent is returned.
//
// The load it answers: endpoints of stage services do one call at a time, whose
// cost hardly depends on what is in it, and hold few results. One call for each
// request leaves most of a batch empty.
package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/stage"
)

// Options are the weights of the dispatcher's decisions. Zero members take the
// defaults below.
type Options struct {
	// RankSpacing is how much sooner a task starts for each rank of urgency.
	RankSpacing time.Duration
	// TransferCostPerMB is what a megabyte of results that crosses between data centres
	// costs, as waiting time; the most urgent pay half.
	TransferCostPerMB time.Duration
}

// Defaults of Options.
const (
	// DefaultRankSpacing is about one call's duration.
	DefaultRankSpacing = 250 * time.Millisecond
	// DefaultTransferCostPerMB lets a chain's results cross to spare half a call, and not
	// those of several megabytes.
	DefaultTransferCostPerMB = 125 * time.Millisecond
)

// largeResultBytes is the size of a group's results that should not wait for others
// and take up room, in bytes.
const largeResultBytes = 1_000_000

const (
	// maxTries bounds the calls of one task.
	maxTries = 4
	// admissionMargin is left of the deadline for what the forecast cannot see.
	admissionMargin = 400 * time.Millisecond
	// lateGrace is how far behind its latest start a task still counts as on time.
	lateGrace = 100 * time.Millisecond
	// lateSortOffset orders tasks that miss their target after all others.
	lateSortOffset = time.Hour
	// refusedBackoff is the pause after an endpoint had no room for a call.
	refusedBackoff = 100 * time.Millisecond
	// failureBackoff doubles with each failure in a row, up to maxBackoff.
	failureBackoff = 400 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// usableMemoryShare of an endpoint's memory is filled, as sizes are approximate.
	usableMemoryShare = 0.97
	// slowFactor marks an endpoint that takes so many times as long as the
	// fastest one of its service; slowBacklog is the number of full batches for
	// each endpoint that must wait before it is used.
	slowFactor     = 2.2
	slowMinBacklog = 1.0
	// slowdownWeight is the weight of the latest call in an endpoint's pace.
	slowdownWeight = 0.4
	// arrivalRateWindow is the time constant of arrival rates.
	arrivalRateWindow = 2 * time.Second
	// maxPrecedingLoad bounds the share of a service that earlier work is taken to
	// use in a forecast.
	maxPrecedingLoad = 0.9
)

// Stage is one stage of a job.
type Stage struct {
	Service     string
	After       []int
	Tasks       int
	ResultBytes int64
}

// Job is the stages of one request.
type Job struct {
	ID     string
	Key    string
	Stages []Stage
	Rank   int
	// Target is when the request should be answered, Deadline when it must be.
	Target   time.Time
	Deadline time.Time
	// Prompt is what the engine has to read.
	Prompt Prompt
	// Retry is set for a client that was told to come back.
	Retry bool
	// PriorResults are results that a dispatcher before this one had made.
	PriorResults []StageResults
}

// StageResults are results of one call for one job. Who submitted the job is told of
// them, so that another dispatcher can go on if this one is lost.
type StageResults struct {
	Endpoint string `json:"endpoint"`
	Stage    int    `json:"stage"`
	// Tasks are the numbers of the stage's tasks, Handles their results.
	Tasks   []int    `json:"tasks"`
	Handles []string `json:"handles"`
}

// Admission is the answer to a submitted job.
type Admission struct {
	Admitted bool
	// Forecast is how long the stages are expected to take.
	Forecast time.Duration
	// FirstEventDelay is the expected time from the stages' results to the first event.
	FirstEventDelay time.Duration
	// RetryAfter is when there is expected to be room for a refused job.
	RetryAfter time.Duration
	Reason     string
}

// Call is one call to an endpoint of a stage service.
type Call struct {
	ID       uint64
	Endpoint catalog.Endpoint
	Tasks    []stage.Task
	// Timeout is how long the call may take before the endpoint counts as lost.
	Timeout time.Duration
}

// FreeRequest gives up results at an endpoint.
type FreeRequest struct {
	Endpoint catalog.Endpoint
	Handles  []string
}

// Failure says why a call brought no results.
type Failure int

// The failures of calls.
const (
	// Refused: the endpoint did not run the call.
	Refused Failure = iota + 1
	// Unreachable: no byte was sent.
	Unreachable
	// ResponseLost: the call may have run, its answer is not known.
	ResponseLost
)

// JobResult is a job that ended.
type JobResult struct {
	ID string
	// Handles are the results that the request reads, in the order of stages.
	Handles []string
	// Engine is the one to ask; empty when none is known.
	Engine string
	// FetchFrom is the address of an engine that has read parts of the prompt
	// that the one to ask has not.
	FetchFrom string
	// Problem is empty for success.
	Problem string
}

// Dispatcher holds the jobs and the books of the endpoints. It is not safe for
// concurrent use.
type Dispatcher struct {
	options Options
	pools   map[string]*pool
	// enginePools are by service.
	enginePools  map[string]*enginePool
	jobs         map[string]*job
	calls        map[uint64]*call
	lastCallID   uint64
	jobResults   []JobResult
	freeRequests map[string]*FreeRequest
	// stageResults are results to tell of, by job.
	stageResults map[string][]StageResults
}

// New returns a dispatcher without endpoints.
func New(o Options) *Dispatcher {
	if o.RankSpacing == 0 {
		o.RankSpacing = DefaultRankSpacing
	}
	if o.TransferCostPerMB == 0 {
		o.TransferCostPerMB = DefaultTransferCostPerMB
	}
	return &Dispatcher{
		options: o, pools: make(map[string]*pool), enginePools: make(map[string]*enginePool), jobs: make(map[string]*job),
		calls: make(map[uint64]*call), freeRequests: make(map[string]*FreeRequest), stageResults: make(map[string][]StageResults),
	}
}

// call is a call in progress.
type call struct {
	id       uint64
	pool     *pool
	endpoint *endpoint
	tasks    []taskRef
	bytes    int64
	started  time.Time
	expected time.Duration
}

type taskRef struct {
	group *group
	index int
}

// Cancel ends a job whose client has gone or was answered otherwise.
func (d *Dispatcher) Cancel(now time.Time, id string) {
	if j := d.jobs[id]; j != nil {
		d.endJob(now, j)
	}
}

// Release gives up the results of a finished job: its engine has read them with
// the prompt, or failed.
func (d *Dispatcher) Release(now time.Time, id string, engineFailed bool) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	d.finishPrefill(now, j, engineFailed)
	d.endJob(now, j)
}

func (d *Dispatcher) finishPrefill(now time.Time, j *job, failed bool) {
	if j.engine == "" {
		return
	}
	if p := d.enginePools[j.Prompt.Service]; p != nil && p.engines[j.engine] != nil {
		p.finishPrefill(now, p.engines[j.engine], j.ID, failed)
	}
	j.engine = ""
}

// Abandon drops a job whose submitter cannot be reached. Its results are left to
// whoever has the job now, by what the submitter was told; if nobody has, they
// expire.
func (d *Dispatcher) Abandon(now time.Time, id string) {
	if j := d.jobs[id]; j != nil {
		d.removeJob(now, j)
	}
}

// endJob drops a job, its waiting tasks and its results.
func (d *Dispatcher) endJob(now time.Time, j *job) {
	d.removeJob(now, j)
	for _, g := range j.groups {
		if g != nil {
			d.freeGroupResults(g)
		}
	}
}

// removeJob drops a job and its waiting tasks.
func (d *Dispatcher) removeJob(now time.Time, j *job) {
	j.ended = true
	delete(d.jobs, j.ID)
	delete(d.stageResults, j.ID)
	d.finishPrefill(now, j, false)
	for _, g := range j.groups {
		if g != nil {
			d.pools[g.service].discard(g)
		}
	}
}

func (d *Dispatcher) freeGroupResults(g *group) {
	for i := range g.tasks {
		d.freeTaskResult(g, i)
	}
}

func (d *Dispatcher) freeTaskResult(g *group, i int) {
	t := &g.tasks[i]
	if t.handle == "" {
		return
	}
	if p := d.pools[g.service]; p != nil {
		if e := p.endpoints[t.endpoint]; e != nil {
			e.removeResult(t.handle)
			d.queueFree(e, t.handle)
		}
	}
	t.handle = ""
}

func (d *Dispatcher) queueFree(e *endpoint, handle string) {
	f := d.freeRequests[e.ID]
	if f == nil {
		f = &FreeRequest{Endpoint: e.Endpoint}
		d.freeRequests[e.ID] = f
	}
	f.Handles = append(f.Handles, handle)
}

// TakeFreeRequests returns the results to give up since the last call.
func (d *Dispatcher) TakeFreeRequests() []FreeRequest {
	if len(d.freeRequests) == 0 {
		return nil
	}
	list := make([]FreeRequest, 0, len(d.freeRequests))
	for _, f := range d.freeRequests {
		list = append(list, *f)
	}
	clear(d.freeRequests)
	sort.Slice(list, func(i, k int) bool { return list[i].Endpoint.ID < list[k].Endpoint.ID })
	return list
}

// Busy reports whether jobs or calls are in progress.
func (d *Dispatcher) Busy() bool { return len(d.jobs) > 0 || len(d.calls) > 0 }

// TakeJobResults returns the jobs that ended since the last call.
func (d *Dispatcher) TakeJobResults() []JobResult {
	list := d.jobResults
	d.jobResults = nil
	return list
}

// TakeStageResults returns the results that were made since the last call, by job, for jobs
// that go on.
func (d *Dispatcher) TakeStageResults() map[string][]StageResults {
	if len(d.stageResults) == 0 {
		return nil
	}
	made := d.stageResults
	d.stageResults = make(map[string][]StageResults)
	return made
}

// Expire ends the jobs whose deadline has passed and forgets results that
// their endpoints no longer keep.
func (d *Dispatcher) Expire(now time.Time) {
	for _, j := range d.jobs {
		if now.After(j.Deadline) {
			d.fail(now, j, "deadline")
		}
	}
	for _, p := range d.pools {
		for _, e := range p.endpoints {
			e.expireResults(now)
		}
	}
	for _, p := range d.enginePools {
		p.pruneParts(now)
	}
}

func (d *Dispatcher) fail(now time.Time, j *job, problem string) {
	if !j.complete {
		d.jobResults = append(d.jobResults, JobResult{ID: j.ID, Problem: problem})
	}
	d.endJob(now, j)
}

// Schedule returns the calls to make now.
func (d *Dispatcher) Schedule(now time.Time) []Call {
	names := make([]string, 0, len(d.pools))
	for name := range d.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	var calls []Call
	for _, name := range names {
		calls = append(calls, d.assign(now, d.pools[name])...)
	}
	return calls
}
