package dispatch

import "time"

// taskState is the state of a task.
type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	taskDone
)

// task is one task of a group.
type task struct {
	state taskState
	// inputsRead is set while the task is running and its endpoint has fetched the inputs.
	inputsRead bool
	// tries counts the failed and overdue calls of the task.
	tries int
	// call is the id of the call that the task is part of; 0 if there is none. An overdue call is that of its tasks
	// only while they are not to be tried again.
	call uint64
	// handle identifies the result; empty if there is none or it was freed.
	handle string
	// endpoint is the id of the endpoint that stores the result.
	endpoint string
}

// group holds the tasks of one stage of one job.
type group struct {
	job     *job
	stage   int
	service string
	// dependsOn are the indices of the stages whose results the tasks read.
	dependsOn []int
	// resultBytes is the declared size of one task's result.
	resultBytes int64
	tasks       []task
	// output is set if no other stage reads the results, so that the request itself
	// reads them.
	output bool
	// waiting counts the tasks that are not part of a call yet.
	waiting int
	// queued is set while the group is in its pool's queue.
	queued bool
	// readySince is when all inputs became available.
	readySince time.Time
}

// done reports whether all tasks of the group are done.
func (g *group) done() bool {
	for i := range g.tasks {
		if g.tasks[i].state != taskDone {
			return false
		}
	}
	return true
}

// totalBytes returns the declared size of all results of the group.
func (g *group) totalBytes() int64 { return g.resultBytes * int64(len(g.tasks)) }

// job is an admitted request.
type job struct {
	Job
	// firstEventDelay is the expected time from the stages' results to the first event.
	firstEventDelay time.Duration
	// groups has one entry for each stage, nil for stages without tasks.
	groups []*group
	// outputs are the indices of the stages whose results the request reads.
	outputs []int
	// dataCentre is where the results are expected to be read; empty if not known.
	dataCentre string
	// engine is the id of the engine that the request is assigned to, until the engine has
	// read the prompt.
	engine string
	// reservation is the turn of an engine that was taken at admission, if all of them have limits.
	reservation reservation
	// recomputes counts how often lost inputs were recomputed.
	recomputes int
	// complete is set once all results are available, ended once the job is removed.
	complete bool
	ended    bool
	// handingOver is set once no further calls are to be started for the job.
	handingOver bool
}

// newJob returns a job with a group for each stage that has tasks. Dependencies on
// later stages and on stages without tasks are ignored.
func newJob(j Job) *job {
	created := &job{Job: j, groups: make([]*group, len(j.Stages))}
	hasDependents := make([]bool, len(j.Stages))
	for i, s := range j.Stages {
		if s.Tasks <= 0 {
			continue
		}
		g := &group{job: created, stage: i, service: s.Service, resultBytes: s.ResultBytes, tasks: make([]task, s.Tasks), waiting: s.Tasks}
		for _, dep := range s.After {
			if dep >= 0 && dep < i && j.Stages[dep].Tasks > 0 {
				g.dependsOn = append(g.dependsOn, dep)
				hasDependents[dep] = true
			}
		}
		created.groups[i] = g
	}
	for i, g := range created.groups {
		if g != nil && !hasDependents[i] {
			created.outputs = append(created.outputs, i)
			g.output = true
		}
	}
	return created
}

// done reports whether all results that the request reads are available.
func (j *job) done() bool {
	for _, i := range j.outputs {
		if !j.groups[i].done() {
			return false
		}
	}
	return true
}

// running reports whether any task of the job is part of a call in progress.
func (j *job) running() bool {
	for _, g := range j.groups {
		if g == nil {
			continue
		}
		for i := range g.tasks {
			if g.tasks[i].state == taskRunning {
				return true
			}
		}
	}
	return false
}

// ready reports whether all results that a group reads are available.
func (j *job) ready(g *group) bool {
	for _, dep := range g.dependsOn {
		for i := range j.groups[dep].tasks {
			if t := &j.groups[dep].tasks[i]; t.state != taskDone || t.handle == "" {
				return false
			}
		}
	}
	return true
}

// consumed reports whether no task reads a stage's results any more.
func (j *job) consumed(stage int) bool {
	for _, g := range j.groups {
		if g == nil {
			continue
		}
		for _, dep := range g.dependsOn {
			if dep == stage && !g.hasReadInputs() {
				return false
			}
		}
	}
	return true
}

// inputs returns the handles of the results that a group's tasks read.
func (j *job) inputs(g *group) []string {
	var handles []string
	for _, dep := range g.dependsOn {
		for _, t := range j.groups[dep].tasks {
			handles = append(handles, t.handle)
		}
	}
	return handles
}

// remainingTime returns the least time from the start of a group to the end of all
// stages that depend on it.
func (d *Dispatcher) remainingTime(g *group) time.Duration {
	own := d.pools[g.service].callTime(len(g.tasks))
	var longest time.Duration
	for _, next := range g.job.groups {
		if next == nil {
			continue
		}
		for _, dep := range next.dependsOn {
			if dep == g.stage {
				longest = max(longest, d.remainingTime(next))
			}
		}
	}
	return own + longest
}

// criticalPathExcept returns the least time until all outputs of a job are available,
// without regard to the excluded group.
func (d *Dispatcher) criticalPathExcept(j *job, excluded *group) time.Duration {
	var longest time.Duration
	for _, g := range j.groups {
		if g == nil || g == excluded || g.done() {
			continue
		}
		if j.ready(g) {
			remaining := d.remainingTime(g)
			if g.waiting > 0 {
				remaining += d.pools[g.service].queueDelay(j.dataCentre)
			} else {
				remaining -= d.pools[g.service].callTime(len(g.tasks)) / 2
			}
			longest = max(longest, remaining)
		}
	}
	return longest
}

// hasLargeOutput reports whether the request reads results that are too large to
// transfer between data centres.
func (j *job) hasLargeOutput() bool {
	for _, i := range j.outputs {
		if j.groups[i].totalBytes() > largeResultBytes {
			return true
		}
	}
	return false
}
