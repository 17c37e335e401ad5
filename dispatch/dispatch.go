// Package dispatch admits, queues and schedules the tasks of requests' stages. A
// single dispatcher fills batches across the requests of all entries. It performs
// no I/O: every method takes the current time, and the messages to send are
// returned to the caller.
//
// Endpoints of stage services process one call at a time and store few results.
// The duration of a call hardly depends on the number of its tasks, so that one
// call per request would leave most of a batch empty.
package dispatch

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/speed"
	"github.com/azurelead/azurelead/stage"
)

// Options are the weights of the dispatcher's decisions. Zero fields select the
// defaults below.
type Options struct {
	// RankSpacing is the head start that a task has over tasks of the next less
	// urgent rank.
	RankSpacing time.Duration
	// TransferCostPerMB is the cost of transferring one megabyte of results between
	// data centres, as queueing time. Tasks of the most urgent rank count half of it.
	TransferCostPerMB time.Duration
}

// Defaults of Options.
const (
	// DefaultRankSpacing is about the duration of one call.
	DefaultRankSpacing = 250 * time.Millisecond
	// DefaultTransferCostPerMB allows a transfer between the small stages of a chain
	// if it saves half the duration of a call, but not one of several megabytes.
	DefaultTransferCostPerMB = 125 * time.Millisecond
)

// largeResultBytes is the size from which the results of a group count as large.
// They should not occupy memory while they wait for the results of other groups.
const largeResultBytes = 1_000_000

const (
	// maxTries is the number of failed or overdue calls after which a task is not tried again. It fails its job
	// then, as soon as its last call has failed.
	maxTries = 4
	// admissionMargin is the time before the deadline that admission keeps free for
	// delays that the forecast cannot predict.
	admissionMargin = 400 * time.Millisecond
	// lateGrace is how long after its latest start a task still counts as on time.
	lateGrace = 100 * time.Millisecond
	// lateSortOffset sorts tasks that will miss their target after all others.
	lateSortOffset = time.Hour
	// refusedBackoff is the backoff after an endpoint refused a call for lack of capacity.
	refusedBackoff = 100 * time.Millisecond
	// failureBackoff is the backoff after a failed call. It doubles with each
	// consecutive failure, up to maxBackoff.
	failureBackoff = 400 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// usableMemoryShare is the share of an endpoint's memory that is filled. It is
	// below 1 because the declared sizes of results are approximate.
	usableMemoryShare = 0.97
	// An endpoint is slow if its slowdown is above slowFactor times that of the
	// fastest endpoint of its service. It is used normally only while the backlog is
	// at least slowMinBacklog full batches for each endpoint.
	slowFactor     = 2.2
	slowMinBacklog = 1.0
	// slowdownWeight is the weight of the latest call in an endpoint's slowdown.
	slowdownWeight = 0.4
	// arrivalRateWindow is the time constant of arrival rates.
	arrivalRateWindow = 2 * time.Second
	// maxPrecedingLoad bounds the share of a service's capacity that a forecast
	// reserves for tasks that arrive later but run first.
	maxPrecedingLoad = 0.9
)

// Stage is one stage of a job. Its fields are encoded under their Go names.
type Stage struct {
	// Service is the name of the stage service that runs the tasks.
	Service string
	// After are the indices of the stages whose results the tasks read.
	After []int
	// Tasks is the number of tasks.
	Tasks int
	// ResultBytes is the declared size of the result of one task.
	ResultBytes int64
}

// Job describes the stages of one request.
type Job struct {
	// ID is the attempt id of the request.
	ID string
	// Run counts the earlier jobs of the request. Its stages run again if their results were lost.
	Run int
	// Key is passed to the tasks of stages without inputs.
	Key    string
	Stages []Stage
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Target is when the request should be answered, Deadline when it must be.
	Target   time.Time
	Deadline time.Time
	// Prompt is the prompt that the engine has to read.
	Prompt Prompt
	// Retry is set if the client was refused before and told to retry.
	Retry bool
	// PriorResults are the results that an earlier dispatcher obtained for the job.
	PriorResults []StageResults
}

// JobID identifies the job among all jobs of all requests. Messages about a job may arrive after its request
// has submitted the next one.
func (j Job) JobID() string { return JobID(j.ID, j.Run) }

// JobID returns the id of the run-th job of a request, which is not valid as an attempt id unless run is 0.
func JobID(attemptID string, run int) string {
	if run == 0 {
		return attemptID
	}
	return attemptID + "\n" + strconv.Itoa(run)
}

// StageResults are the results of one call for one job. They are reported to the
// submitter of the job, so that another dispatcher can continue the job if this one
// is lost.
type StageResults struct {
	Endpoint string `json:"endpoint"`
	Stage    int    `json:"stage"`
	// Tasks are the indices of the tasks in the stage, Handles their results.
	Tasks   []int    `json:"tasks"`
	Handles []string `json:"handles"`
}

// Admission is the answer to a submitted job.
type Admission struct {
	Admitted bool
	// Forecast is the expected duration of the stages.
	Forecast time.Duration
	// FirstEventDelay is the expected time from the stages' results to the first
	// event of the engine's answer.
	FirstEventDelay time.Duration
	// RetryAfter is the time after which a refused job is expected to be admitted.
	RetryAfter time.Duration
	// Reason says why the job was refused.
	Reason string
	// Unavailable is the service without usable endpoints for which the job was refused.
	Unavailable string
}

// Call is one call to an endpoint of a stage service.
type Call struct {
	ID       uint64
	Endpoint catalog.Endpoint
	Tasks    []stage.Task
	// Expected is the declared duration of the call.
	Expected time.Duration
	// Timeout is the time after which the response counts as lost. The tasks are tried again before.
	Timeout time.Duration
}

// FreeRequest tells an endpoint to free stored results.
type FreeRequest struct {
	Endpoint catalog.Endpoint
	Handles  []string
}

// Failure is the reason why a call returned no results.
type Failure int

// Failures of calls.
const (
	// Refused means that the endpoint did not run the call.
	Refused Failure = iota + 1
	// Unreachable means that no byte of the call was sent.
	Unreachable
	// ResponseLost means that the call may have run, but its response is not known.
	ResponseLost
)

// JobResult is the result of a job that has finished.
type JobResult struct {
	ID string
	// Handles are the results that the request reads, in the order of stages.
	Handles []string
	// Engine is the id of the engine to send the request to; empty if none is known.
	Engine string
	// FetchFrom is the address of an engine that has cached parts of the prompt that
	// Engine has not; empty if nothing is worth fetching.
	FetchFrom string
	// TurnBooked is set if Engine has a limit and the dispatcher has booked a turn for the request, which
	// comes after StartAfter.
	TurnBooked bool
	StartAfter time.Duration
	// Problem says why the job failed; empty if it succeeded.
	Problem string
	// HandedOver is set if the job is to be submitted to another dispatcher. StageResults are then
	// its results that were not returned by TakeStageResults.
	HandedOver   bool
	StageResults []StageResults
}

// Dispatcher tracks the jobs and the state of the endpoints. It is not safe for
// concurrent use.
type Dispatcher struct {
	options Options
	// pools and enginePools are by service.
	pools       map[string]*pool
	enginePools map[string]*enginePool
	jobs        map[string]*job
	calls       map[uint64]*call
	lastCallID  uint64
	// readDelay is the time after which a stage call is taken to have fetched its inputs.
	readDelay *ReadDelay
	// jobResults, endedCalls, freeRequests by endpoint and stageResults by job accumulate
	// until the caller takes them.
	jobResults   []JobResult
	endedCalls   []uint64
	freeRequests map[string]*FreeRequest
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
		options: o, readDelay: NewReadDelay(stageReadDelay), pools: make(map[string]*pool), enginePools: make(map[string]*enginePool), jobs: make(map[string]*job),
		calls: make(map[uint64]*call), freeRequests: make(map[string]*FreeRequest), stageResults: make(map[string][]StageResults),
	}
}

// call is a call in progress.
type call struct {
	id       uint64
	pool     *pool
	endpoint *endpoint
	tasks    []taskRef
	// bytes is the memory that is reserved for the results.
	bytes   int64
	started time.Time
	// expected is the declared duration of the call.
	expected time.Duration
	// overdueAt is the time from which the tasks are tried again. overdue is set once they are.
	overdueAt time.Time
	overdue   bool
	// inputsRead is set once the endpoint has fetched the inputs of the tasks.
	inputsRead bool
}

// taskRef refers to one task of a group.
type taskRef struct {
	group *group
	index int
}

// Cancel ends a job whose client has disconnected or was answered otherwise, and
// frees its results.
func (d *Dispatcher) Cancel(now time.Time, id string) {
	if j := d.jobs[id]; j != nil {
		d.endJob(now, j)
	}
}

// EngineReport is what a request has shown of the engine that was booked for it.
type EngineReport struct {
	Failed bool
	// Load is what the engine states of itself; nil if it is not known.
	Load *speed.Load
}

// Release frees the results of a finished job whose engine has read them with the
// prompt or has failed.
func (d *Dispatcher) Release(now time.Time, id string, r EngineReport) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	d.finishJobPrefill(now, j, &r)
	d.endJob(now, j)
}

// finishJobPrefill tells the job's engine pool that the engine has read the prompt or
// has failed. r is nil if the request has ended otherwise.
func (d *Dispatcher) finishJobPrefill(now time.Time, j *job, r *EngineReport) {
	if j.engine == "" {
		return
	}
	if p := d.enginePools[j.Prompt.Service]; p != nil && p.engines[j.engine] != nil {
		p.finishPrefill(now, p.engines[j.engine], j.JobID(), r)
	}
	j.engine = ""
}

// Abandon removes a job whose submitter cannot be reached, but does not free its
// results. Another dispatcher may have taken over the job with the results that
// were reported to the submitter; otherwise they expire.
func (d *Dispatcher) Abandon(now time.Time, id string) {
	if j := d.jobs[id]; j != nil {
		d.removeJob(now, j)
	}
}

// endJob removes a job with its waiting tasks and frees its results.
func (d *Dispatcher) endJob(now time.Time, j *job) {
	d.removeJob(now, j)
	for _, g := range j.groups {
		if g != nil {
			d.freeGroupResults(g)
		}
	}
}

// removeJob removes a job with its waiting tasks.
func (d *Dispatcher) removeJob(now time.Time, j *job) {
	j.ended = true
	delete(d.jobs, j.JobID())
	delete(d.stageResults, j.JobID())
	d.finishJobPrefill(now, j, nil)
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

// freeTaskResult queues the result of a task to be freed at its endpoint.
func (d *Dispatcher) freeTaskResult(g *group, i int) {
	t := &g.tasks[i]
	if t.handle == "" {
		return
	}
	if p := d.pools[g.service]; p != nil {
		if e := p.endpoints[t.endpoint]; e != nil {
			d.freeResult(e, t.handle)
		}
	}
	t.handle = ""
}

// freeResult queues a result to be freed at its endpoint. Endpoints with a limit discard results when
// these expire, as a call that frees results takes the place of one that makes some.
func (d *Dispatcher) freeResult(e *endpoint, handle string) {
	if e.callInterval > 0 {
		return
	}
	e.removeResult(handle)
	f := d.freeRequests[e.ID]
	if f == nil {
		f = &FreeRequest{Endpoint: e.Endpoint}
		d.freeRequests[e.ID] = f
	}
	f.Handles = append(f.Handles, handle)
}

// TakeFreeRequests returns the requests to free results that have accumulated since
// the last call, in the order of endpoint ids.
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

// TakeJobResults returns the results of the jobs that have finished since the last
// call.
func (d *Dispatcher) TakeJobResults() []JobResult {
	list := d.jobResults
	d.jobResults = nil
	return list
}

// TakeStageResults returns the results that were received since the last call, by
// job, for jobs that are still in progress.
func (d *Dispatcher) TakeStageResults() map[string][]StageResults {
	if len(d.stageResults) == 0 {
		return nil
	}
	results := d.stageResults
	d.stageResults = make(map[string][]StageResults)
	return results
}

// Expire fails the jobs whose deadline has passed or cannot be met any more, and removes results that their
// endpoints no longer store and stale entries about parts of prompts.
func (d *Dispatcher) Expire(now time.Time) {
	for _, j := range d.jobs {
		if now.After(j.Deadline) {
			d.fail(now, j, "deadline")
		}
	}
	for _, p := range d.pools {
		d.failUnmeetable(now, p)
		for _, e := range p.endpoints {
			e.expireResults(now)
			e.refreshUntracked(now, p.limits.ResultTTL)
		}
	}
	d.freeReadInputs(now)
	d.retryOverdueCalls(now)
	for _, p := range d.enginePools {
		p.recent.prune(now)
	}
}

// fail ends a job and reports the problem unless its result was reported before.
func (d *Dispatcher) fail(now time.Time, j *job, problem string) {
	if !j.complete {
		d.jobResults = append(d.jobResults, JobResult{ID: j.JobID(), Problem: problem})
	}
	d.endJob(now, j)
}

// Schedule returns the calls to send now and counts them as in progress.
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
