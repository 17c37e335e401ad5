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
	c.endpoint.finished(now, c)
	for i, ref := range c.tasks {
		if i < len(results) {
			d.taskResult(now, c, ref, results[i])
		}
	}
	d.noteMade(c)
	for _, ref := range c.tasks {
		d.advance(now, ref.group)
	}
}

// Fail takes a call that brought no results; its tasks wait again.
func (d *Dispatcher) Fail(now time.Time, id uint64, f Failure) {
	c := d.calls[id]
	if c == nil {
		return
	}
	delete(d.calls, id)
	c.endpoint.failed(now, c, f)
	for _, ref := range c.tasks {
		d.retry(now, ref, f != Refused)
	}
}

func (d *Dispatcher) taskResult(now time.Time, c *call, ref taskRef, r stage.Result) {
	g := ref.group
	c.endpoint.reserved -= g.resultBytes
	switch r.Problem {
	case stage.NoProblem:
		c.endpoint.hold(r.Handle, g.resultBytes, now.Add(c.pool.limits.ResultTTL))
		if g.job.ended {
			c.endpoint.forget(r.Handle)
			d.addFree(c.endpoint, r.Handle)
			return
		}
		t := &g.tasks[ref.index]
		t.state, t.handle, t.endpoint = taskDone, r.Handle, c.endpoint.ID
	case stage.InputMissing:
		d.remakeInputs(now, ref)
	case stage.MemoryFull:
		c.endpoint.full(now, c.pool.limits.ResultMemory)
		d.retry(now, ref, false)
	default:
		d.retry(now, ref, true)
	}
}

// noteMade takes note of a call's results for those who submitted the jobs.
func (d *Dispatcher) noteMade(c *call) {
	var m StageResults
	for i, ref := range c.tasks {
		g, t := ref.group, ref.group.tasks[ref.index]
		if !g.job.ended && t.state == taskDone && t.endpoint == c.endpoint.ID && t.handle != "" {
			m.Tasks, m.Handles = append(m.Tasks, ref.index), append(m.Handles, t.handle)
		}
		if last := i == len(c.tasks)-1; last || c.tasks[i+1].group != g {
			if len(m.Tasks) > 0 {
				m.Endpoint, m.Stage = c.endpoint.ID, g.stage
				d.made[g.job.ID] = append(d.made[g.job.ID], m)
			}
			m = StageResults{}
		}
	}
}

// retry lets a task wait again, or ends its job after too many tries.
func (d *Dispatcher) retry(now time.Time, ref taskRef, counts bool) {
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
	d.pools[g.service].wants(g, ref.index)
}

// remakeInputs lets a task wait for results that an endpoint lost, which are
// made again with all that led to them.
func (d *Dispatcher) remakeInputs(now time.Time, ref taskRef) {
	g := ref.group
	j := g.job
	if j.ended {
		return
	}
	d.pools[g.service].wants(g, ref.index)
	if !d.remakeBefore(g) {
		return // they are being made already
	}
	j.remade++
	if j.remade > maxRemakes {
		d.fail(now, j, "inputs were lost again")
	}
}

// remakeBefore queues the finished tasks that a group depends on, and reports
// whether there were any.
func (d *Dispatcher) remakeBefore(g *group) bool {
	any := false
	for _, before := range g.after {
		other := g.job.groups[before]
		for i := range other.tasks {
			if other.tasks[i].state == taskDone {
				d.freeTask(other, i)
				d.pools[other.service].wants(other, i)
				any = true
			}
		}
		if d.remakeBefore(other) {
			any = true
		}
	}
	return any
}

// maxRemakes bounds how often the inputs of one job are made again.
const maxRemakes = 2

// advance looks at what the end of a group's task lets happen.
func (d *Dispatcher) advance(now time.Time, g *group) {
	j := g.job
	if j.ended || j.complete || !g.done() {
		return
	}
	for _, before := range g.after {
		if j.consumed(before) {
			d.freeGroup(j.groups[before])
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
	delete(d.made, j.ID) // all that is left is in the outcome
	f := JobResult{ID: j.ID}
	f.Engine, f.FetchFrom = d.chooseEngine(now, j)
	for _, i := range j.outputs {
		for _, t := range j.groups[i].tasks {
			f.Handles = append(f.Handles, t.handle)
		}
	}
	d.finished = append(d.finished, f)
}
