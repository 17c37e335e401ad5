package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// batch is a call that is being filled.
type batch struct {
	endpoint *endpoint
	tasks    []taskRef
	bytes    int64
	// maxTasks is the number of tasks that it may take.
	maxTasks int
	// freeMemory is the room for results that the draft may still use, in bytes.
	freeMemory int64
}

// readyGroup is a group that can start, with its place in the order.
type readyGroup struct {
	group *group
	// latestStart is when it has to start for its request to be on time.
	latestStart time.Time
	sortKey     time.Time
}

// assign fills calls for a pool's idle endpoints, the most pressing groups first.
func (d *Dispatcher) assign(now time.Time, p *pool) []Call {
	if len(p.queue) == 0 {
		return nil
	}
	idle := p.idleEndpoints(now)
	if len(idle) == 0 {
		return nil
	}
	order := d.readyGroups(now, p)
	if len(order) == 0 {
		return nil
	}
	drafts := p.newBatches(now, idle)
	if len(drafts) == 0 {
		return nil
	}
	left := p.dataCentreLoads(now)
	for _, o := range order {
		if o.group.job.ended {
			continue
		}
		d.fill(now, p, o, drafts, left)
	}
	var calls []Call
	for _, dr := range drafts {
		if len(dr.tasks) > 0 {
			calls = append(calls, d.startCall(now, p, dr))
		}
	}
	return calls
}

// idleEndpoints lists the endpoints that can take a call now.
func (p *pool) idleEndpoints(now time.Time) []*endpoint {
	var list []*endpoint
	for _, e := range p.usableEndpoints {
		if e.activeCalls < p.limits.Slots && !now.Before(e.retryAt) {
			list = append(list, e)
		}
	}
	return list
}

// newBatches returns one empty call for each idle endpoint that is to have one, the
// fastest first.
func (p *pool) newBatches(now time.Time, idle []*endpoint) []*batch {
	fastest := math.MaxFloat64
	for _, e := range p.usableEndpoints {
		fastest = min(fastest, e.slowdown)
	}
	waiting := 0
	for _, n := range p.backlog {
		waiting += n
	}
	busy := float64(waiting) / float64(p.limits.Batch*len(p.usableEndpoints))
	slices.SortFunc(idle, bySlowdown)
	made := make([]batch, 0, len(idle))
	drafts := make([]*batch, 0, len(idle))
	for _, e := range idle {
		slow := e.slowdown > slowFactor*fastest && busy < slowMinBacklog
		if slow && now.Sub(e.idleAt) < slowProbeInterval {
			// It costs its requests their target while the others keep up.
			continue
		}
		dr := batch{endpoint: e, freeMemory: e.freeMemory(now, p), maxTasks: p.limits.Batch}
		if e.failures > 0 || slow {
			// A failed or slow endpoint is tried with little work.
			dr.maxTasks = probeTasks
		}
		made = append(made, dr)
		drafts = append(drafts, &made[len(made)-1])
	}
	return drafts
}

const (
	// probeTasks is the work for an endpoint whose last call failed or was slow.
	probeTasks = 1
	// slowProbeInterval is the time between two trials of a slow endpoint.
	slowProbeInterval = time.Second
)

// readyGroups lists the groups that can start now, the most pressing first.
func (d *Dispatcher) readyGroups(now time.Time, p *pool) []readyGroup {
	list := make([]readyGroup, 0, len(p.queue))
	var hopeless []*job
	for _, g := range p.queue {
		if g.waiting == 0 || !g.job.ready(g) {
			continue
		}
		if now.Add(d.remainingTime(g) + g.job.firstEventDelay).After(g.job.Deadline) {
			hopeless = append(hopeless, g.job)
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
	for _, j := range hopeless {
		if !j.ended {
			d.fail(now, j, "the deadline cannot be met any more")
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].sortKey.Before(list[k].sortKey) })
	return list
}

// holdsMemory reports whether results are kept for a group until it is done: its
// own first ones, or large inputs. It is finished even if it is late, as the
// room would be lost to others.
func (d *Dispatcher) holdsMemory(g *group) bool {
	if g.waiting < len(g.tasks) {
		return true
	}
	var bytes int64
	for _, before := range g.dependsOn {
		bytes += g.job.groups[before].totalBytes()
	}
	return bytes > smallInputBytes
}

// smallInputBytes is the size of inputs that take up no room worth mentioning.
const smallInputBytes = 50_000

// tooEarly reports whether a group's large results would only wait, and take up
// room, until the results beside them are there.
func (d *Dispatcher) tooEarly(g *group) bool {
	if len(g.dependsOn) > 0 || g.totalBytes() <= largeResultBytes {
		return false
	}
	own := d.pools[g.service].callTime(len(g.tasks)) + d.pools[g.service].queueDelay(g.job.dataCentre)
	return d.criticalPathExcept(g.job, g) > own+earlyStartMargin
}

// earlyStartMargin is how much sooner than its siblings a group may end.
const earlyStartMargin = 60 * time.Millisecond

// dataCentreLoad is what one pass knows of a data centre's endpoints.
type dataCentreLoad struct {
	// endpoints is their number, first the time until the first of them is free.
	endpoints int
	untilIdle time.Duration
	// deferredTasks counts the tasks that the pass has deferredTasks waiting for them.
	deferredTasks int
}

// dataCentreLoads looks at the pool's data centres once for a pass, which starts no call
// before its end.
func (p *pool) dataCentreLoads(now time.Time) []dataCentreLoad {
	list := make([]dataCentreLoad, len(p.dataCentres))
	for _, e := range p.usableEndpoints {
		w := &list[e.dcIndex]
		free := max(e.idleAt.Sub(now), e.retryAt.Sub(now))
		if e.activeCalls < p.limits.Slots && free < p.limits.CallTime/2 {
			// It is idle, and takes nothing for want of room or as it is slow.
			free = p.limits.CallTime / 2
		}
		if w.endpoints == 0 || free < w.untilIdle {
			w.untilIdle = free
		}
		w.endpoints++
	}
	return list
}

// fill puts a group's waiting tasks into the drafts as long as that costs less
// than waiting for an endpoint nearer to the inputs or to the reader of the
// results.
func (d *Dispatcher) fill(now time.Time, p *pool, o readyGroup, drafts []*batch, left []dataCentreLoad) {
	g := o.group
	moves := d.transferCosts(p, g)
	for i := range g.tasks {
		if g.tasks[i].state != taskWaiting {
			continue
		}
		dr := pickBatch(drafts, g, moves)
		where, wait := p.cheapestWait(now, o, moves, left)
		if dr == nil || moves[dr.endpoint.dcIndex] > wait {
			left[where].deferredTasks += g.waiting
			return
		}
		dr.add(g, i)
		p.markRunning(g, i)
	}
	if g.waiting == 0 {
		p.removeFromQueue(g)
	}
}

// transferCosts gives what doing a group in each of the pool's data centres costs for
// the bytes that cross to and from it, as time.
func (d *Dispatcher) transferCosts(p *pool, g *group) []time.Duration {
	rate := d.options.TransferCostPerMB
	if g.job.Rank == 0 {
		rate /= 2
	}
	costs := make([]time.Duration, len(p.dataCentres))
	for i, dataCentre := range p.dataCentres {
		var bytes int64
		if g.output && g.job.dataCentre != "" && dataCentre != g.job.dataCentre {
			bytes += g.totalBytes()
		}
		bytes += d.remoteInputBytes(g, dataCentre)
		costs[i] = time.Duration(float64(bytes) / 1e6 * float64(rate))
	}
	return costs
}

// remoteInputBytes is the size of the inputs that are not in a data centre.
func (d *Dispatcher) remoteInputBytes(g *group, dataCentre string) int64 {
	var bytes int64
	for _, before := range g.dependsOn {
		other := g.job.groups[before]
		for i := range other.tasks {
			e := d.pools[other.service].endpoints[other.tasks[i].endpoint]
			if e != nil && e.DataCentre != dataCentre {
				bytes += other.resultBytes
			}
		}
	}
	return bytes
}

// cheapestWait returns the position of the data centre for whose next free
// endpoint it costs least to wait, and that cost.
func (p *pool) cheapestWait(now time.Time, o readyGroup, moves []time.Duration, left []dataCentreLoad) (int, time.Duration) {
	best, bestCost := 0, time.Duration(math.MaxInt64)
	for i, w := range left {
		wait := p.expectedWait(w)
		cost := moves[i] + time.Duration(waitWeight*float64(wait))
		if now.Add(wait).After(o.latestStart) {
			cost += lateCost
		}
		if cost < bestCost || cost == bestCost && p.dataCentres[i] < p.dataCentres[best] {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

const (
	// waitWeight is what waiting costs while the request still is on time.
	waitWeight = 0.4
	// lateCost is what waiting beyond the latest start costs besides.
	lateCost = 400 * time.Millisecond
)

// expectedWait is how long a group waits for an endpoint of a data centre behind the
// tasks that were left there.
func (p *pool) expectedWait(w dataCentreLoad) time.Duration {
	full := p.limits.CallTime + time.Duration(p.limits.Batch)*p.limits.TaskTime
	return max(w.untilIdle, 0) + time.Duration(w.deferredTasks/(p.limits.Batch*w.endpoints))*full
}

// pickBatch returns the draft with room for one more result where the group's moves
// cost least; of several, the one that has tasks of the group, else the emptiest.
func pickBatch(drafts []*batch, g *group, moves []time.Duration) *batch {
	var best *batch
	for _, dr := range drafts {
		if len(dr.tasks) >= dr.maxTasks || dr.freeMemory < g.resultBytes {
			continue
		}
		if best == nil || dr.betterThan(best, g, moves) {
			best = dr
		}
	}
	return best
}

func (dr *batch) betterThan(other *batch, g *group, moves []time.Duration) bool {
	own, its := moves[dr.endpoint.dcIndex], moves[other.endpoint.dcIndex]
	if own != its {
		return own < its
	}
	if a, b := dr.lastTaskIsOf(g), other.lastTaskIsOf(g); a != b {
		return a
	}
	return len(dr.tasks) < len(other.tasks)
}

// lastTaskIsOf reports whether the latest task of a draft is of the group.
func (dr *batch) lastTaskIsOf(g *group) bool {
	n := len(dr.tasks)
	return n > 0 && dr.tasks[n-1].group == g
}

func (dr *batch) add(g *group, index int) {
	dr.tasks = append(dr.tasks, taskRef{group: g, index: index})
	dr.bytes += g.resultBytes
	dr.freeMemory -= g.resultBytes
}

func (p *pool) removeFromQueue(g *group) {
	for i, other := range p.queue {
		if other == g {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	g.queued = false
}

// startCall books a filled draft as a call in progress.
func (d *Dispatcher) startCall(now time.Time, p *pool, dr *batch) Call {
	d.lastCallID++
	e := dr.endpoint
	expected := p.limits.CallTime + time.Duration(len(dr.tasks))*p.limits.TaskTime
	c := &call{id: d.lastCallID, pool: p, endpoint: e, tasks: dr.tasks, bytes: dr.bytes, started: now, expected: expected}
	d.calls[c.id] = c
	e.activeCalls++
	e.reservedBytes += dr.bytes
	e.idleAt = now.Add(time.Duration(float64(expected) * e.slowdown))
	out := Call{ID: c.id, Endpoint: e.Endpoint, Timeout: callTimeout(expected, e.slowdown)}
	for _, ref := range dr.tasks {
		out.Tasks = append(out.Tasks, ref.stageTask(now))
	}
	return out
}

// callTimeout leaves an endpoint that is known to be slow time to answer, and
// gives a dead one up soon: its tasks wait meanwhile.
func callTimeout(expected time.Duration, pace float64) time.Duration {
	return time.Duration(timeoutFactor*max(pace, 1)*float64(expected)) + timeoutSlack
}

const (
	// timeoutFactor and timeoutSlack are above what a call at the known pace takes.
	timeoutFactor = 2.5
	timeoutSlack  = 250 * time.Millisecond
)

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
