package dispatch

import "time"

type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	taskDone
)

type task struct {
	state    taskState
	tries    int
	handle   string
	endpoint string
}

// group is the tasks of one stage of one job.
type group struct {
	job         *job
	stage       int
	service     string
	dependsOn   []int
	resultBytes int64
	tasks       []task
	// output is set when the request itself reads the results.
	output bool
	// waiting counts the tasks that no call has.
	waiting int
	// queued is set while the group is in its pool's queue.
	queued bool
	// readySince is when its inputs were there.
	readySince time.Time
}

func (g *group) done() bool {
	for i := range g.tasks {
		if g.tasks[i].state != taskDone {
			return false
		}
	}
	return true
}

// totalBytes is the size of the group's results.
func (g *group) totalBytes() int64 { return g.resultBytes * int64(len(g.tasks)) }

// job is an admitted request.
type job struct {
	Job
	// firstEventDelay is the expected time from the results to the first event.
	firstEventDelay time.Duration
	// groups has one entry for each stage, nil for stages without tasks.
	groups     []*group
	outputs    []int
	dataCentre string
	// engine is the one that was booked for the request.
	engine     string
	recomputes int
	complete   bool
	ended      bool
}

func newJob(j Job) *job {
	n := &job{Job: j, groups: make([]*group, len(j.Stages))}
	followed := make([]bool, len(j.Stages))
	for i, s := range j.Stages {
		if s.Tasks <= 0 {
			continue
		}
		g := &group{job: n, stage: i, service: s.Service, resultBytes: s.ResultBytes, tasks: make([]task, s.Tasks), waiting: s.Tasks}
		for _, before := range s.After {
			if before >= 0 && before < i && j.Stages[before].Tasks > 0 {
				g.dependsOn = append(g.dependsOn, before)
				followed[before] = true
			}
		}
		n.groups[i] = g
	}
	for i, g := range n.groups {
		if g != nil && !followed[i] {
			n.outputs = append(n.outputs, i)
			g.output = true
		}
	}
	return n
}

func (j *job) done() bool {
	for _, i := range j.outputs {
		if !j.groups[i].done() {
			return false
		}
	}
	return true
}

// ready reports whether the results that a group reads are there.
func (j *job) ready(g *group) bool {
	for _, before := range g.dependsOn {
		for i := range j.groups[before].tasks {
			if t := &j.groups[before].tasks[i]; t.state != taskDone || t.handle == "" {
				return false
			}
		}
	}
	return true
}

// consumed reports whether every group that reads a stage's results is done.
func (j *job) consumed(stage int) bool {
	for _, g := range j.groups {
		if g == nil {
			continue
		}
		for _, before := range g.dependsOn {
			if before == stage && !g.done() {
				return false
			}
		}
	}
	return true
}

// inputs are the handles that a group's tasks read.
func (j *job) inputs(g *group) []string {
	var handles []string
	for _, before := range g.dependsOn {
		for _, t := range j.groups[before].tasks {
			handles = append(handles, t.handle)
		}
	}
	return handles
}

// remainingTime is the least time from the start of a group to the end of the
// stages that depend on it.
func (d *Dispatcher) remainingTime(g *group) time.Duration {
	own := d.pools[g.service].callTime(len(g.tasks))
	var longest time.Duration
	for _, next := range g.job.groups {
		if next == nil {
			continue
		}
		for _, before := range next.dependsOn {
			if before == g.stage {
				longest = max(longest, d.remainingTime(next))
			}
		}
	}
	return own + longest
}

// criticalPathExcept is the least time until all outputs but one group's own are there.
func (d *Dispatcher) criticalPathExcept(j *job, except *group) time.Duration {
	var longest time.Duration
	for _, g := range j.groups {
		if g == nil || g == except || g.done() {
			continue
		}
		if j.ready(g) {
			left := d.remainingTime(g)
			if g.waiting > 0 {
				left += d.pools[g.service].queueDelay(j.dataCentre)
			} else {
				left -= d.pools[g.service].callTime(len(g.tasks)) / 2
			}
			longest = max(longest, left)
		}
	}
	return longest
}

// hasLargeOutput reports whether the request reads results that should not cross
// between data centres.
func (j *job) hasLargeOutput() bool {
	for _, i := range j.outputs {
		if j.groups[i].totalBytes() > largeResultBytes {
			return true
		}
	}
	return false
}
