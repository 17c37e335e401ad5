package dispatch

import "time"

// stageReadDelay is the initial ReadDelay of stage calls: several round trips and the transfer of all
// inputs of a call to an endpoint that was idle.
const stageReadDelay = 60 * time.Millisecond

// freeReadInputs frees the results that only calls in progress read, once these have fetched them. If
// such a call fails, its inputs are computed again.
//
// The load that it answers is a burst on a chain of stages: results that stay stored while the next
// stage works on them fill the memory of their endpoints, and the calls there stay small.
func (d *Dispatcher) freeReadInputs(now time.Time) {
	delay := d.readDelay.Get(now)
	for _, c := range d.calls {
		if c.inputsRead || c.overdue || now.Sub(c.started) < delay || !c.endpoint.startsAtOnce() {
			continue
		}
		c.inputsRead = true
		for _, ref := range c.tasks {
			ref.group.tasks[ref.index].inputsRead = true
		}
		for _, ref := range c.tasks {
			d.freeConsumedInputs(ref.group)
		}
	}
}

// startsAtOnce reports whether the endpoint starts a call when it arrives: it has answered as declared
// lately, and has no other call.
func (e *endpoint) startsAtOnce() bool {
	return e.activeCalls == 1 && e.failures == 0 && e.slowdown < promptSlowdown
}

// promptSlowdown is the slowdown up to which an endpoint counts as working as declared.
const promptSlowdown = 1.5

// freeConsumedInputs frees the inputs of a group that no task reads any more.
func (d *Dispatcher) freeConsumedInputs(g *group) {
	if g.job.ended {
		return
	}
	for _, dep := range g.dependsOn {
		if g.job.consumed(dep) {
			d.freeGroupResults(g.job.groups[dep])
		}
	}
}

// InputsRead frees the results of a finished job that its engine has fetched but not worked off yet.
func (d *Dispatcher) InputsRead(id string) {
	j := d.jobs[id]
	if j == nil || !j.complete {
		return
	}
	for _, i := range j.outputs {
		d.freeGroupResults(j.groups[i])
	}
}

// hasReadInputs reports whether no task of the group reads its inputs any more.
func (g *group) hasReadInputs() bool {
	for i := range g.tasks {
		if t := &g.tasks[i]; t.state != taskDone && !(t.state == taskRunning && t.inputsRead) {
			return false
		}
	}
	return true
}

// inputsFreed reports whether results that a group reads were computed and freed.
func (j *job) inputsFreed(g *group) bool {
	for _, dep := range g.dependsOn {
		for i := range j.groups[dep].tasks {
			if t := &j.groups[dep].tasks[i]; t.state == taskDone && t.handle == "" {
				return true
			}
		}
	}
	return false
}
