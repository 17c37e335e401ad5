package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// batch is a call that is being filled with tasks.
type batch struct {
	endpoint *endpoint
	tasks    []taskRef
	// bytes is the declared size of the tasks' results.
	bytes    int64
	maxTasks int
	// memoryLeft is the endpoint's memory that is left for further results, in bytes.
	memoryLeft int64
	// memoryShort is set once a task did not fit into the memory.
	memoryShort bool
}

// readyGroup is a group that can start, with the keys of its scheduling order.
type readyGroup struct {
	group *group
	// latestStart is the latest start that meets the target of the request.
	latestStart time.Time
	// sortKey is latestStart adjusted for rank and lateness; the earliest goes first.
	sortKey time.Time
}

// assign fills calls for a pool's idle endpoints, starting with the most urgent groups.
func (d *Dispatcher) assign(now time.Time, p *pool) []Call {
	if len(p.queue) == 0 {
		return nil
	}
	idle := p.idleEndpoints(now)
	if len(idle) == 0 {
		return nil
	}
	ready := d.readyGroups(now, p)
	if len(ready) == 0 {
		return nil
	}
	batches := p.newBatches(now, idle)
	if len(batches) == 0 {
		return nil
	}
	d.fillAll(now, p, ready, batches)
	defer func(all []*batch) {
		for _, b := range all {
			if len(b.tasks) == 0 {
				p.trial.refund(b.endpoint)
			}
		}
	}(batches)
	if kept := p.withoutMemoryWaits(now, batches); len(kept) < len(batches) {
		batches = kept
		d.fillAll(now, p, ready, batches)
	}
	var calls []Call
	for _, b := range batches {
		if len(b.tasks) > 0 {
			calls = append(calls, d.startCall(now, p, b))
		}
	}
	return calls
}

// fillAll adds the waiting tasks of the ready groups to the batches.
func (d *Dispatcher) fillAll(now time.Time, p *pool, ready []readyGroup, batches []*batch) {
	loads := p.dataCentreLoads(now)
	for _, next := range ready {
		if !next.group.job.ended && next.group.waiting > 0 {
			d.fill(now, p, next, batches, loads)
		}
	}
}

// withoutMemoryWaits returns the batches to send now. A batch that is small for want of memory is
// emptied again, and its endpoint waits for results to be freed.
//
// The load that it answers is a burst that fills the memory of a stage: each result that is freed
// would start a call of its own, which takes nearly as long as a full one.
func (p *pool) withoutMemoryWaits(now time.Time, batches []*batch) []*batch {
	kept := make([]*batch, 0, len(batches))
	for _, b := range batches {
		waited := now.Sub(b.endpoint.idleAt)
		if b.memoryShort && len(b.tasks) < b.maxTasks/2 && waited < time.Duration(memoryWaitShare*float64(p.limits.CallTime)) {
			p.empty(b)
			continue
		}
		kept = append(kept, b)
	}
	return kept
}

// memoryWaitShare is the share of a call's fixed duration for which an idle endpoint waits for memory.
const memoryWaitShare = 0.75

// empty returns the tasks of a batch to the queue.
func (p *pool) empty(b *batch) {
	for _, ref := range b.tasks {
		p.unmarkRunning(ref.group, ref.index)
	}
	b.tasks = nil
}

// idleEndpoints lists the endpoints that can take a call now.
func (p *pool) idleEndpoints(now time.Time) []*endpoint {
	var list []*endpoint
	for _, e := range p.usableEndpoints {
		if e.activeCalls < p.limits.Slots && !now.Before(e.retryAt) && !now.Before(e.nextCall) && !now.Before(e.reportDue) {
			list = append(list, e)
		}
	}
	return list
}

// newBatches returns an empty batch for each idle endpoint that may get tasks, the
// fastest endpoint first.
func (p *pool) newBatches(now time.Time, idle []*endpoint) []*batch {
	fastest := math.MaxFloat64
	for _, e := range p.usableEndpoints {
		fastest = min(fastest, e.slowdown)
	}
	waitingTasks := 0
	for _, n := range p.backlog {
		waitingTasks += n
	}
	queuedBatches := float64(waitingTasks) / float64(p.limits.Batch*len(p.usableEndpoints))
	slices.SortFunc(idle, bySlowdown)
	backing := make([]batch, 0, len(idle))
	batches := make([]*batch, 0, len(idle))
	for _, e := range idle {
		slow := e.slowdown > slowFactor*fastest && queuedBatches < slowMinBacklog
		if slow && now.Sub(e.idleAt) < slowProbeInterval {
			// While the other endpoints keep up, tasks here would only make their
			// requests miss the target.
			continue
		}
		if !p.trial.tryTake(e) {
			continue
		}
		b := batch{endpoint: e, memoryLeft: e.freeMemory(now, p), maxTasks: p.limits.Batch}
		if e.failures > 0 || slow {
			// A failed or slow endpoint is probed with little work.
			b.maxTasks = probeTasks
		}
		backing = append(backing, b)
		batches = append(batches, &backing[len(backing)-1])
	}
	return batches
}

const (
	// probeTasks is the number of tasks in a probe of a failed or slow endpoint.
	probeTasks = 1
	// slowProbeInterval is the time between two probes of a slow endpoint.
	slowProbeInterval = time.Second
)

// failUnmeetable fails the jobs whose next tasks would miss their deadline if they started now.
func (d *Dispatcher) failUnmeetable(now time.Time, p *pool) {
	var unmeetable []*job
	for _, g := range p.queue {
		if g.waiting > 0 && g.job.ready(g) && now.Add(d.remainingTime(g)+g.job.firstEventDelay).After(g.job.Deadline) {
			unmeetable = append(unmeetable, g.job)
		}
	}
	for _, j := range unmeetable {
		if !j.ended {
			d.fail(now, j, "the deadline cannot be met any more")
		}
	}
}

// readyGroups lists the groups that can start now, the most urgent first. It fails
// the jobs that can no longer meet their deadline.
func (d *Dispatcher) readyGroups(now time.Time, p *pool) []readyGroup {
	d.failUnmeetable(now, p)
	list := make([]readyGroup, 0, len(p.queue))
	for _, g := range p.queue {
		if g.waiting == 0 || !g.job.ready(g) {
			continue
		}
		if g.readySince.IsZero() {
			g.readySince = now
		}
		if d.tooEarly(g) {
			continue
		}
		latest := g.job.Target.Add(-g.job.firstEventDelay - d.remainingTime(g))
		key := latest.Add(time.Duration(g.job.Rank) * d.options.RankSpacing)
		if now.After(latest.Add(lateGrace)) && !d.holdsMemory(g) {
			key = key.Add(lateSortOffset)
		}
		list = append(list, readyGroup{group: g, latestStart: latest, sortKey: key})
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].sortKey.Before(list[k].sortKey) })
	return list
}

// holdsMemory reports whether endpoints store results until the group is done: results
// of its own tasks, or large inputs. Such a group keeps its priority when it is late,
// because the memory is not available to other work until the group is done.
func (d *Dispatcher) holdsMemory(g *group) bool {
	if g.waiting < len(g.tasks) {
		return true
	}
	var bytes int64
	for _, dep := range g.dependsOn {
		bytes += g.job.groups[dep].totalBytes()
	}
	return bytes > smallInputBytes
}

// smallInputBytes is the size up to which the memory for inputs does not matter.
const smallInputBytes = 50_000

// tooEarly reports whether a group should not start yet because its large results
// would occupy memory until the other results of the job are available.
func (d *Dispatcher) tooEarly(g *group) bool {
	if len(g.dependsOn) > 0 || g.totalBytes() <= largeResultBytes {
		return false
	}
	ownTime := d.pools[g.service].callTime(len(g.tasks)) + d.pools[g.service].queueDelay(g.job.dataCentre)
	return d.criticalPathExcept(g.job, g) > ownTime+earlyStartMargin
}

// earlyStartMargin is how long before the other groups of its job a group with large
// results may end.
const earlyStartMargin = 60 * time.Millisecond

// dataCentreLoad is the load of a data centre's endpoints during one scheduling pass.
type dataCentreLoad struct {
	// endpoints is the number of endpoints, untilIdle the time until the first of them
	// is idle.
	endpoints int
	untilIdle time.Duration
	// deferredTasks counts the tasks that the pass has left to wait for these endpoints.
	deferredTasks int
}

// dataCentreLoads determines the load of each data centre at the start of a scheduling
// pass. The number of endpoints and the time until one is idle do not change during the
// pass, because calls start at its end.
func (p *pool) dataCentreLoads(now time.Time) []dataCentreLoad {
	list := make([]dataCentreLoad, len(p.dataCentres))
	for _, e := range p.usableEndpoints {
		load := &list[e.dcIndex]
		idleIn := e.idleIn(now)
		if e.activeCalls < p.limits.Slots && idleIn < p.limits.CallTime/2 {
			// The endpoint is idle but gets no tasks, because its memory is full or it
			// is slow.
			idleIn = p.limits.CallTime / 2
		}
		if load.endpoints == 0 || idleIn < load.untilIdle {
			load.untilIdle = idleIn
		}
		load.endpoints++
	}
	return list
}

// fill adds a group's waiting tasks to the batches as long as that costs less than
// waiting for an endpoint nearer to the inputs or to the reader of the results.
func (d *Dispatcher) fill(now time.Time, p *pool, ready readyGroup, batches []*batch, loads []dataCentreLoad) {
	g := ready.group
	costs := d.transferCosts(p, g)
	for i := range g.tasks {
		if g.tasks[i].state != taskWaiting {
			continue
		}
		b := pickBatch(batches, g, costs)
		nearest, waitCost := p.cheapestWait(now, ready, costs, loads)
		if b == nil || costs[b.endpoint.dcIndex] > waitCost {
			loads[nearest].deferredTasks += g.waiting
			return
		}
		b.add(g, i)
		p.markRunning(g, i)
	}
	if g.waiting == 0 {
		p.removeFromQueue(g)
	}
}

// transferCosts returns, for each of the pool's data centres, the cost of transferring
// a group's inputs to it and the results from it, as time.
func (d *Dispatcher) transferCosts(p *pool, g *group) []time.Duration {
	costPerMB := d.options.TransferCostPerMB
	if g.job.Rank == 0 {
		costPerMB /= 2
	}
	costs := make([]time.Duration, len(p.dataCentres))
	for i, dataCentre := range p.dataCentres {
		var bytes int64
		if g.output && g.job.dataCentre != "" && dataCentre != g.job.dataCentre {
			bytes += g.totalBytes()
		}
		bytes += d.remoteInputBytes(g, dataCentre)
		costs[i] = time.Duration(float64(bytes) / 1e6 * float64(costPerMB))
	}
	return costs
}

// remoteInputBytes returns the size of a group's inputs that are stored outside a data
// centre.
func (d *Dispatcher) remoteInputBytes(g *group, dataCentre string) int64 {
	var bytes int64
	for _, dep := range g.dependsOn {
		input := g.job.groups[dep]
		for i := range input.tasks {
			e := d.pools[input.service].endpoints[input.tasks[i].endpoint]
			if e != nil && e.DataCentre != dataCentre {
				bytes += input.resultBytes
			}
		}
	}
	return bytes
}

// cheapestWait returns the index of the data centre whose next idle endpoint is the
// cheapest to wait for, and the cost of waiting for it and of the transfers.
func (p *pool) cheapestWait(now time.Time, ready readyGroup, costs []time.Duration, loads []dataCentreLoad) (int, time.Duration) {
	best, bestCost := 0, time.Duration(math.MaxInt64)
	for i, load := range loads {
		wait := p.expectedWait(load)
		cost := costs[i] + time.Duration(waitWeight*float64(wait))
		if now.Add(wait).After(ready.latestStart) {
			cost += lateCost
		}
		if cost < bestCost || cost == bestCost && p.dataCentres[i] < p.dataCentres[best] {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

const (
	// waitWeight is the weight of waiting time relative to transfer cost.
	waitWeight = 0.4
	// lateCost is the additional cost of missing the target of the request.
	lateCost = 400 * time.Millisecond
)

// expectedWait returns how long a group waits for an endpoint of a data centre behind
// the tasks that were deferred to it.
func (p *pool) expectedWait(load dataCentreLoad) time.Duration {
	fullCall := p.limits.CallTime + time.Duration(p.limits.Batch)*p.limits.TaskTime
	return max(load.untilIdle, 0) + time.Duration(load.deferredTasks/(p.limits.Batch*load.endpoints))*fullCall
}

// pickBatch returns the best batch for one more task of a group, or nil if none has
// space and memory for it.
func pickBatch(batches []*batch, g *group, costs []time.Duration) *batch {
	var best *batch
	for _, b := range batches {
		if len(b.tasks) >= b.maxTasks {
			continue
		}
		if b.memoryLeft < g.resultBytes {
			b.memoryShort = true
			continue
		}
		if best == nil || b.betterThan(best, g, costs) {
			best = b
		}
	}
	return best
}

// betterThan reports whether a batch suits a group better than another one: by lower
// transfer costs, then by holding tasks of the group, then by fewer tasks.
func (b *batch) betterThan(other *batch, g *group, costs []time.Duration) bool {
	cost, otherCost := costs[b.endpoint.dcIndex], costs[other.endpoint.dcIndex]
	if cost != otherCost {
		return cost < otherCost
	}
	if same, otherSame := b.lastTaskIsOf(g), other.lastTaskIsOf(g); same != otherSame {
		return same
	}
	return len(b.tasks) < len(other.tasks)
}

// lastTaskIsOf reports whether the last task of the batch belongs to the group.
func (b *batch) lastTaskIsOf(g *group) bool {
	n := len(b.tasks)
	return n > 0 && b.tasks[n-1].group == g
}

func (b *batch) add(g *group, index int) {
	b.tasks = append(b.tasks, taskRef{group: g, index: index})
	b.bytes += g.resultBytes
	b.memoryLeft -= g.resultBytes
}

// removeFromQueue removes a group without waiting tasks from the queue.
func (p *pool) removeFromQueue(g *group) {
	for i, other := range p.queue {
		if other == g {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	g.queued = false
}

// startCall turns a batch into a call in progress and reserves memory for its results.
func (d *Dispatcher) startCall(now time.Time, p *pool, b *batch) Call {
	d.lastCallID++
	e := b.endpoint
	expected := p.limits.CallTime + time.Duration(len(b.tasks))*p.limits.TaskTime
	allowed := callTimeout(expected, e.slowdown)
	c := &call{id: d.lastCallID, pool: p, endpoint: e, tasks: b.tasks, bytes: b.bytes, started: now, expected: expected, overdueAt: now.Add(allowed)}
	d.calls[c.id] = c
	p.trial.sent()
	e.activeCalls++
	if e.callInterval > 0 {
		e.nextCall = now.Add(e.callInterval)
	}
	e.reservedBytes += b.bytes
	e.idleAt = now.Add(time.Duration(float64(expected) * e.slowdown))
	sent := Call{ID: c.id, Endpoint: e.Endpoint, Expected: expected, Timeout: allowed + lateAnswerTime}
	for _, ref := range b.tasks {
		ref.group.tasks[ref.index].call = c.id
		sent.Tasks = append(sent.Tasks, ref.stageTask(now))
	}
	return sent
}

// callTimeout returns the time after which a call is overdue. An endpoint that is known to
// be slow gets more time; it is short otherwise, because the tasks of a call to a dead
// endpoint wait until it has passed.
func callTimeout(expected time.Duration, slowdown float64) time.Duration {
	return time.Duration(timeoutFactor*max(slowdown, 1)*float64(expected)) + timeoutSlack
}

const (
	// The time-out is timeoutFactor times the expected duration plus timeoutSlack, which
	// is well above what a call at the known slowdown takes.
	timeoutFactor = 2.5
	timeoutSlack  = 250 * time.Millisecond
)

// stageTask returns the task as it is sent to the endpoint.
func (r taskRef) stageTask(now time.Time) stage.Task {
	j := r.group.job
	t := stage.Task{AttemptID: j.ID, Stage: r.group.stage, Index: r.index, Remaining: j.Deadline.Sub(now)}
	if len(r.group.dependsOn) == 0 {
		t.Key = j.Key
	} else {
		t.Inputs = j.inputs(r.group)
	}
	return t
}
