package dispatch

import (
	"slices"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// Complete records the results of a call. Calls that are not known are ignored.
func (d *Dispatcher) Complete(now time.Time, id uint64, results []stage.Result) {
	c := d.calls[id]
	if c == nil {
		return
	}
	delete(d.calls, id)
	c.endpoint.callFinished(now, c, results)
	if c.inputsRead && slices.ContainsFunc(results, func(r stage.Result) bool { return r.Problem == stage.InputMissing }) {
		d.readDelay.Missed(now)
	}
	for i, ref := range c.tasks {
		if i < len(results) {
			d.handleTaskResult(now, c, ref, results[i])
		}
	}
	d.recordStageResults(c)
	for _, ref := range c.tasks {
		d.advanceJob(now, ref.group)
		d.finishHandOver(now, ref.group.job)
	}
}

// Fail records that a call returned no results. Its tasks are queued again, or fail
// their jobs after too many tries, unless they are tried again already.
func (d *Dispatcher) Fail(now time.Time, id uint64, f Failure) {
	c := d.calls[id]
	if c == nil {
		return
	}
	delete(d.calls, id)
	c.endpoint.callFailed(now, c, f)
	for _, ref := range c.tasks {
		d.retryTask(now, c, ref, f != Refused)
	}
	for _, ref := range c.tasks {
		d.finishHandOver(now, ref.group.job)
	}
}

// handleTaskResult records the result of one task of a call.
func (d *Dispatcher) handleTaskResult(now time.Time, c *call, ref taskRef, result stage.Result) {
	g := ref.group
	if !c.overdue {
		c.endpoint.reservedBytes -= g.resultBytes
	}
	switch result.Problem {
	case stage.NoProblem:
		c.endpoint.storeResult(result.Handle, g.resultBytes, now.Add(c.pool.limits.ResultTTL))
		t := &g.tasks[ref.index]
		if g.job.ended || t.state == taskDone {
			d.freeResult(c.endpoint, result.Handle)
			return
		}
		c.pool.markDone(g, ref.index)
		t.handle, t.endpoint = result.Handle, c.endpoint.ID
	case stage.InputMissing:
		d.recomputeInputs(now, c, ref)
	case stage.MemoryFull:
		c.endpoint.markFull(now)
		d.retryTask(now, c, ref, false)
	default:
		d.retryTask(now, c, ref, true)
	}
}

// recordStageResults collects the results of a call that are to be reported to the
// submitters of the jobs. The tasks of a group are adjacent in a call.
func (d *Dispatcher) recordStageResults(c *call) {
	var results StageResults
	for i, ref := range c.tasks {
		g, t := ref.group, ref.group.tasks[ref.index]
		if !g.job.ended && t.state == taskDone && t.endpoint == c.endpoint.ID && t.handle != "" {
			results.Tasks, results.Handles = append(results.Tasks, ref.index), append(results.Handles, t.handle)
		}
		if last := i == len(c.tasks)-1; last || c.tasks[i+1].group != g {
			if len(results.Tasks) > 0 {
				results.Endpoint, results.Stage = c.endpoint.ID, g.stage
				id := g.job.JobID()
				d.stageResults[id] = append(d.stageResults[id], results)
			}
			results = StageResults{}
		}
	}
}

// retryTask queues a task of a failed call again, or fails its job after too many tries.
// countTry is unset for failures that are not the task's, such as a refused call.
func (d *Dispatcher) retryTask(now time.Time, c *call, ref taskRef, countTry bool) {
	if !c.decides(ref) {
		return
	}
	g := ref.group
	t := &g.tasks[ref.index]
	if countTry {
		t.tries++
	}
	if t.tries >= maxTries {
		d.fail(now, g.job, "a task failed too often")
		return
	}
	d.requeueWithInputs(ref)
}

// requeueWithInputs queues a task again, and recomputes its inputs if they were freed.
func (d *Dispatcher) requeueWithInputs(ref taskRef) {
	g := ref.group
	d.pools[g.service].requeue(g, ref.index)
	if !g.job.handingOver && g.job.inputsFreed(g) {
		d.recomputeDependencies(g)
	}
}

// recomputeInputs queues a task again whose inputs an endpoint has lost. The inputs are
// recomputed, with all results that they depend on.
func (d *Dispatcher) recomputeInputs(now time.Time, c *call, ref taskRef) {
	if !c.decides(ref) {
		return
	}
	g := ref.group
	j := g.job
	d.pools[g.service].requeue(g, ref.index)
	if !d.recomputeDependencies(g) {
		return // the inputs are being recomputed already
	}
	j.recomputes++
	if j.recomputes > maxRecomputes {
		d.fail(now, j, "inputs were lost again")
	}
}

// recomputeDependencies queues all finished tasks again that a group depends on, and
// reports whether there were any.
func (d *Dispatcher) recomputeDependencies(g *group) bool {
	found := false
	for _, dep := range g.dependsOn {
		input := g.job.groups[dep]
		for i := range input.tasks {
			if input.tasks[i].state == taskDone {
				d.freeTaskResult(input, i)
				d.pools[input.service].requeue(input, i)
				found = true
			}
		}
		if d.recomputeDependencies(input) {
			found = true
		}
	}
	return found
}

// maxRecomputes is how often the inputs of one job are recomputed before the job fails.
const maxRecomputes = 2

// advanceJob frees the inputs that no task reads any more and completes the job if all
// its results are available. It is called after tasks of the group have finished.
func (d *Dispatcher) advanceJob(now time.Time, g *group) {
	j := g.job
	if j.ended || j.complete || !g.done() {
		return
	}
	d.freeConsumedInputs(g)
	d.dropRecomputes(g)
	if !j.done() {
		return
	}
	d.completeJob(now, j)
}

// completeJob chooses the engine of a job whose results are available, and reports the
// job as finished.
func (d *Dispatcher) completeJob(now time.Time, j *job) {
	j.complete = true
	delete(d.stageResults, j.JobID()) // the job result contains the remaining handles
	result := JobResult{ID: j.JobID()}
	d.chooseEngine(now, j, &result)
	for _, i := range j.outputs {
		for _, t := range j.groups[i].tasks {
			result.Handles = append(result.Handles, t.handle)
		}
	}
	d.jobResults = append(d.jobResults, result)
}
