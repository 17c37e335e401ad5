package dispatch

import (
	"time"

	"github.com/azurelead/azurelead/stage"
)

// Complete takes the results of a call.
func (d *Dispatcher) Complete(now time.Time, id uint64, results []stage.Result) {
	c := d.calls[id]
	if c == nil {
		return
	}
	delete(d.calls, id)
	c.endpoint.callFinished(now, c)
	for i, ref := range c.tasks {
		if i < len(results) {
			d.handleTaskResult(now, c, ref, results[i])
		}
	}
	d.recordStageResults(c)
	for _, ref := range c.tasks {
		d.advanceJob(now, ref.group)
	}
}

// Fail takes a call that brought no results; its tasks wait again.
func (d *Dispatcher) Fail(now time.Time, id uint64, f Failure) {
	c := d.calls[id]
	if c == nil {
		return
	}
	delete(d.calls, id)
	c.endpoint.callFailed(now, c, f)
	for _, ref := range c.tasks {
		d.retryTask(now, ref, f != Refused)
	}
}

func (d *Dispatcher) handleTaskResult(now time.Time, c *call, ref taskRef, r stage.Result) {
	g := ref.group
	c.endpoint.reservedBytes -= g.resultBytes
	switch r.Problem {
	case stage.NoProblem:
		c.endpoint.storeResult(r.Handle, g.resultBytes, now.Add(c.pool.limits.ResultTTL))
		if g.job.ended {
			c.endpoint.removeResult(r.Handle)
			d.queueFree(c.endpoint, r.Handle)
			return
		}
		t := &g.tasks[ref.index]
		t.state, t.handle, t.endpoint = taskDone, r.Handle, c.endpoint.ID
	case stage.InputMissing:
		d.recomputeInputs(now, ref)
	case stage.MemoryFull:
		c.endpoint.markFull(now, c.pool.limits.ResultMemory)
		d.retryTask(now, ref, false)
	default:
		d.retryTask(now, ref, true)
	}
}

// recordStageResults takes note of a call's results for those who submitted the jobs.
func (d *Dispatcher) recordStageResults(c *call) {
	var m StageResults
	for i, ref := range c.tasks {
		g, t := ref.group, ref.group.tasks[ref.index]
		if !g.job.ended && t.state == taskDone && t.endpoint == c.endpoint.ID && t.handle != "" {
			m.Tasks, m.Handles = append(m.Tasks, ref.index), append(m.Handles, t.handle)
		}
		if last := i == len(c.tasks)-1; last || c.tasks[i+1].group != g {
			if len(m.Tasks) > 0 {
				m.Endpoint, m.Stage = c.endpoint.ID, g.stage
				d.stageResults[g.job.ID] = append(d.stageResults[g.job.ID], m)
			}
			m = StageResults{}
		}
	}
}

// retryTask lets a task wait again, or ends its job after too many tries.
func (d *Dispatcher) retryTask(now time.Time, ref taskRef, counts bool) {
	g := ref.group
	if g.job.ended {
		return
	}
	t := &g.tasks[ref.index]
	if counts {
		t.tries++
	}
	if t.tries >= maxTries {
		d.fail(now, g.job, "a task failed too often")
		return
	}
	d.pools[g.service].requeue(g, ref.index)
}

// recomputeInputs lets a task wait for results that an endpoint lost, which are
// made again with all that led to them.
func (d *Dispatcher) recomputeInputs(now time.Time, ref taskRef) {
	g := ref.group
	j := g.job
	if j.ended {
		return
	}
	d.pools[g.service].requeue(g, ref.index)
	if !d.recomputeDependencies(g) {
		return // they are being made already
	}
	j.recomputes++
	if j.recomputes > maxRecomputes {
		d.fail(now, j, "inputs were lost again")
	}
}

// recomputeDependencies queues the finished tasks that a group depends on, and reports
// whether there were any.
func (d *Dispatcher) recomputeDependencies(g *group) bool {
	any := false
	for _, before := range g.dependsOn {
		other := g.job.groups[before]
		for i := range other.tasks {
			if other.tasks[i].state == taskDone {
				d.freeTaskResult(other, i)
				d.pools[other.service].requeue(other, i)
				any = true
			}
		}
		if d.recomputeDependencies(other) {
			any = true
		}
	}
	return any
}

// maxRecomputes bounds how often the inputs of one job are made again.
const maxRecomputes = 2

// advanceJob looks at what the end of a group's task lets happen.
func (d *Dispatcher) advanceJob(now time.Time, g *group) {
	j := g.job
	if j.ended || j.complete || !g.done() {
		return
	}
	for _, before := range g.dependsOn {
		if j.consumed(before) {
			d.freeGroupResults(j.groups[before])
		}
	}
	if !j.done() {
		return
	}
	d.completeJob(now, j)
}

// completeJob tells of a job whose results are there and books its engine.
func (d *Dispatcher) completeJob(now time.Time, j *job) {
	j.complete = true
	delete(d.stageResults, j.ID) // all that is left is in the outcome
	f := JobResult{ID: j.ID}
	f.Engine, f.FetchFrom = d.chooseEngine(now, j)
	for _, i := range j.outputs {
		for _, t := range j.groups[i].tasks {
			f.Handles = append(f.Handles, t.handle)
		}
	}
	d.jobResults = append(d.jobResults, f)
}
