package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// draft is a call that is being filled.
type draft struct {
	endpoint *endpoint
	tasks    []taskRef
	bytes    int64
	// most is the number of tasks that it may take.
	most int
	// left is the room for results that the draft may still use, in bytes.
	left int64
}

// ordered is a group that can start, with its place in the order.
type ordered struct {
	group *group
	// latest is when it has to start for its request to be on time.
	latest time.Time
	key    time.Time
}

// assign fills calls for a pool's idle endpoints, the most pressing groups first.
func (d *Dispatcher) assign(now time.Time, p *pool) []Call {
	if len(p.queue) == 0 {
		return nil
	}
	idle := p.idle(now)
	if len(idle) == 0 {
		return nil
	}
	order := d.order(now, p)
	if len(order) == 0 {
		return nil
	}
	drafts := p.drafts(now, idle)
	if len(drafts) == 0 {
		return nil
	}
	left := p.waits(now)
	for _, o := range order {
		if o.group.job.ended {
			continue
		}
		d.fill(now, p, o, drafts, left)
	}
	var calls []Call
	for _, dr := range drafts {
		if len(dr.tasks) > 0 {
			calls = append(calls, d.start(now, p, dr))
		}
	}
	return calls
}

// idle lists the endpoints that can take a call now.
func (p *pool) idle(now time.Time) []*endpoint {
	var list []*endpoint
	for _, e := range p.list {
		if e.calls < p.limits.Slots && !now.Before(e.retryAt) {
			list = append(list, e)
		}
	}
	return list
}

// drafts returns one empty call for each idle endpoint that is to have one, the
// fastest first.
func (p *pool) drafts(now time.Time, idle []*endpoint) []*draft {
	fastest := math.MaxFloat64
	for _, e := range p.list {
		fastest = min(fastest, e.pace)
	}
	waiting := 0
	for _, n := range p.backlog {
		waiting += n
	}
	busy := float64(waiting) / float64(p.limits.Batch*len(p.list))
	slices.SortFunc(idle, byPace)
	made := make([]draft, 0, len(idle))
	drafts := make([]*draft, 0, len(idle))
	for _, e := range idle {
		slow := e.pace > slowFactor*fastest && busy < slowBacklog
		if slow && now.Sub(e.freeAt) < slowRest {
			// It costs its requests their target while the others keep up.
			continue
		}
		dr := draft{endpoint: e, left: e.room(now, p), most: p.limits.Batch}
		if e.failures > 0 || slow {
			// A failed or slow endpoint is tried with little work.
			dr.most = trialTasks
		}
		made = append(made, dr)
		drafts = append(drafts, &made[len(made)-1])
	}
	return drafts
}

const (
	// trialTasks is the work for an endpoint whose last call failed or was slow.
	trialTasks = 1
	// slowRest is the time between two trials of a slow endpoint.
	slowRest = time.Second
)

// order lists the groups that can start now, the most pressing first.
func (d *Dispatcher) order(now time.Time, p *pool) []ordered {
	list := make([]ordered, 0, len(p.queue))
	var hopeless []*job
	for _, g := range p.queue {
		if g.waiting == 0 || !g.job.ready(g) {
			continue
		}
		if now.Add(d.remaining(g) + g.job.tail).After(g.job.Deadline) {
			hopeless = append(hopeless, g.job)
			continue
		}
		if g.readySince.IsZero() {
			g.readySince = now
		}
		if d.early(g) {
			continue
		}
		latest := g.job.Target.Add(-g.job.tail - d.remaining(g))
		key := latest.Add(time.Duration(g.job.Rank) * d.o.RankSpacing)
		if now.After(latest.Add(lateGrace)) && !d.holdsRoom(g) {
			key = key.Add(lateDemotion)
		}
		list = append(list, ordered{group: g, latest: latest, key: key})
	}
	for _, j := range hopeless {
		if !j.ended {
			d.fail(now, j, "the deadline cannot be met any more")
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].key.Before(list[k].key) })
	return list
}

// holdsRoom reports whether results are kept for a group until it is done: its
// own first ones, or large inputs. It is finished even if it is late, as the
// room would be lost to others.
func (d *Dispatcher) holdsRoom(g *group) bool {
	if g.waiting < len(g.tasks) {
		return true
	}
	var bytes int64
	for _, before := range g.after {
		bytes += g.job.groups[before].totalBytes()
	}
	return bytes > smallInputs
}

// smallInputs is the size of inputs that take up no room worth mentioning.
const smallInputs = 50_000

// early reports whether a group's large results would only wait, and take up
// room, until the results beside them are there.
func (d *Dispatcher) early(g *group) bool {
	if len(g.after) > 0 || g.totalBytes() <= bigResult {
		return false
	}
	own := d.pools[g.service].callTime(len(g.tasks)) + d.pools[g.service].queueDelay(g.job.dataCentre)
	return d.pathLeft(g.job, g) > own+startMargin
}

// startMargin is how much sooner than its siblings a group may end.
const startMargin = 60 * time.Millisecond

// wait is what one pass knows of a data centre's endpoints.
type wait struct {
	// endpoints is their number, first the time until the first of them is free.
	endpoints int
	first     time.Duration
	// left counts the tasks that the pass has left waiting for them.
	left int
}

// waits looks at the pool's data centres once for a pass, which starts no call
// before its end.
func (p *pool) waits(now time.Time) []wait {
	list := make([]wait, len(p.dataCentres))
	for _, e := range p.list {
		w := &list[e.place]
		free := max(e.freeAt.Sub(now), e.retryAt.Sub(now))
		if e.calls < p.limits.Slots && free < p.limits.CallTime/2 {
			// It is idle, and takes nothing for want of room or as it is slow.
			free = p.limits.CallTime / 2
		}
		if w.endpoints == 0 || free < w.first {
			w.first = free
		}
		w.endpoints++
	}
	return list
}

// fill puts a group's waiting tasks into the drafts as long as that costs less
// than waiting for an endpoint nearer to the inputs or to the reader of the
// results.
func (d *Dispatcher) fill(now time.Time, p *pool, o ordered, drafts []*draft, left []wait) {
	g := o.group
	moves := d.moves(p, g)
	for i := range g.tasks {
		if g.tasks[i].state != taskWaiting {
			continue
		}
		dr := pick(drafts, g, moves)
		where, wait := p.cheapestWait(now, o, moves, left)
		if dr == nil || moves[dr.endpoint.place] > wait {
			left[where].left += g.waiting
			return
		}
		dr.add(g, i)
		p.started(g, i)
	}
	if g.waiting == 0 {
		p.leaveQueue(g)
	}
}

// moves gives what doing a group in each of the pool's data centres costs for
// the bytes that cross to and from it, as time.
func (d *Dispatcher) moves(p *pool, g *group) []time.Duration {
	rate := d.o.TransferCostPerMB
	if g.job.Rank == 0 {
		rate /= 2
	}
	costs := make([]time.Duration, len(p.dataCentres))
	for i, dataCentre := range p.dataCentres {
		var bytes int64
		if g.output && g.job.dataCentre != "" && dataCentre != g.job.dataCentre {
			bytes += g.totalBytes()
		}
		bytes += d.inputsElsewhere(g, dataCentre)
		costs[i] = time.Duration(float64(bytes) / 1e6 * float64(rate))
	}
	return costs
}

// inputsElsewhere is the size of the inputs that are not in a data centre.
func (d *Dispatcher) inputsElsewhere(g *group, dataCentre string) int64 {
	var bytes int64
	for _, before := range g.after {
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
func (p *pool) cheapestWait(now time.Time, o ordered, moves []time.Duration, left []wait) (int, time.Duration) {
	best, bestCost := 0, time.Duration(math.MaxInt64)
	for i, w := range left {
		wait := p.waitFor(w)
		cost := moves[i] + time.Duration(waitWeight*float64(wait))
		if now.Add(wait).After(o.latest) {
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

// waitFor is how long a group waits for an endpoint of a data centre behind the
// tasks that were left there.
func (p *pool) waitFor(w wait) time.Duration {
	full := p.limits.CallTime + time.Duration(p.limits.Batch)*p.limits.TaskTime
	return max(w.first, 0) + time.Duration(w.left/(p.limits.Batch*w.endpoints))*full
}

// pick returns the draft with room for one more result where the group's moves
// cost least; of several, the one that has tasks of the group, else the emptiest.
func pick(drafts []*draft, g *group, moves []time.Duration) *draft {
	var best *draft
	for _, dr := range drafts {
		if len(dr.tasks) >= dr.most || dr.left < g.resultBytes {
			continue
		}
		if best == nil || dr.better(best, g, moves) {
			best = dr
		}
	}
	return best
}

func (dr *draft) better(other *draft, g *group, moves []time.Duration) bool {
	own, its := moves[dr.endpoint.place], moves[other.endpoint.place]
	if own != its {
		return own < its
	}
	if a, b := dr.has(g), other.has(g); a != b {
		return a
	}
	return len(dr.tasks) < len(other.tasks)
}

// has reports whether the latest task of a draft is of the group.
func (dr *draft) has(g *group) bool {
	n := len(dr.tasks)
	return n > 0 && dr.tasks[n-1].group == g
}

func (dr *draft) add(g *group, index int) {
	dr.tasks = append(dr.tasks, taskRef{group: g, index: index})
	dr.bytes += g.resultBytes
	dr.left -= g.resultBytes
}

func (p *pool) leaveQueue(g *group) {
	for i, other := range p.queue {
		if other == g {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	g.queued = false
}

// start books a filled draft as a call in progress.
func (d *Dispatcher) start(now time.Time, p *pool, dr *draft) Call {
	d.lastCall++
	e := dr.endpoint
	expected := p.limits.CallTime + time.Duration(len(dr.tasks))*p.limits.TaskTime
	c := &call{id: d.lastCall, pool: p, endpoint: e, tasks: dr.tasks, bytes: dr.bytes, started: now, expected: expected}
	d.calls[c.id] = c
	e.calls++
	e.reserved += dr.bytes
	e.freeAt = now.Add(time.Duration(float64(expected) * e.pace))
	out := Call{ID: c.id, Endpoint: e.Endpoint, Timeout: callTimeout(expected, e.pace)}
	for _, ref := range dr.tasks {
		out.Tasks = append(out.Tasks, ref.task(now))
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

func (r taskRef) task(now time.Time) stage.Task {
	j := r.group.job
	t := stage.Task{AttemptID: j.ID, Stage: r.group.stage, Index: r.index, Remaining: j.Deadline.Sub(now)}
	if len(r.group.after) == 0 {
		t.Key = j.Key
	} else {
		t.Inputs = j.inputs(r.group)
	}
	return t
}
