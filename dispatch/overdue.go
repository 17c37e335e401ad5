package dispatch

import (
	"maps"
	"slices"
	"time"
)

// lateAnswerTime is how long the answer of an overdue call is awaited. A sound endpoint may be silent for longer than
// a second, and its answer still counts if it is the first.
const lateAnswerTime = 2 * time.Second

// retryOverdueCalls queues the tasks of overdue calls again, and lets their endpoints take further calls after a
// backoff. The calls continue, as the endpoints may be sound. A call whose jobs have all ended is ended instead.
func (d *Dispatcher) retryOverdueCalls(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.calls)) {
		c := d.calls[id]
		if now.Before(c.overdueAt) {
			continue
		}
		if c.isUnwanted() {
			d.endedCalls = append(d.endedCalls, id)
			d.Fail(now, id, ResponseLost)
			continue
		}
		if !c.overdue {
			d.markOverdue(now, c)
		}
	}
}

// markOverdue queues the tasks of a call again, except for those that were tried too often.
func (d *Dispatcher) markOverdue(now time.Time, c *call) {
	c.endpoint.callFailed(now, c, ResponseLost)
	c.overdue = true
	for _, ref := range c.tasks {
		if !c.decides(ref) {
			continue
		}
		t := &ref.group.tasks[ref.index]
		t.tries++
		if t.tries < maxTries || ref.group.job.handingOver {
			d.requeueWithInputs(ref)
		}
	}
	for _, ref := range c.tasks {
		d.finishHandOver(now, ref.group.job)
	}
}

// isUnwanted reports whether the jobs of all tasks of a call have ended.
func (c *call) isUnwanted() bool {
	return !slices.ContainsFunc(c.tasks, func(ref taskRef) bool { return !ref.group.job.ended })
}

// decides reports whether a task depends on the outcome of a call: its job has not ended, and it is not tried
// again since the call is overdue.
func (c *call) decides(ref taskRef) bool {
	return !ref.group.job.ended && ref.group.tasks[ref.index].call == c.id
}

// dropRecomputes takes the inputs off the queue that were to be recomputed for a group that is done, as its overdue
// calls were answered after all.
func (d *Dispatcher) dropRecomputes(g *group) {
	for _, dep := range g.dependsOn {
		if !g.job.consumed(dep) {
			continue
		}
		input := g.job.groups[dep]
		for i := range input.tasks {
			if input.tasks[i].state == taskWaiting {
				d.pools[input.service].markDone(input, i)
			}
		}
		if input.done() {
			d.dropRecomputes(input)
		}
	}
}

// TakeEndedCalls returns the ids of the calls in progress that were ended since the last call, because nothing needs
// their results.
func (d *Dispatcher) TakeEndedCalls() []uint64 {
	list := d.endedCalls
	d.endedCalls = nil
	return list
}
