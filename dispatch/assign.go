package dispatch

import (
	"sort"
	"time"

	"github.com/azurelead/azurelead/stage"
)

// draft is a call that is being filled.
type draft struct {
	endpoint *endpoint
	tasks    []taskRef
	bytes    int64
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
	drafts := p.drafts(now)
	if len(drafts) == 0 {
		return nil
	}
	for _, o := range d.order(now, p) {
		if o.group.job.ended {
			continue
		}
		d.fill(now, p, o, drafts)
	}
	var calls []Call
	for _, dr := range drafts {
		if len(dr.tasks) > 0 {
			calls = append(calls, d.start(now, p, dr))
		}
	}
	return calls
}

// drafts returns one empty call for each endpoint that can take one now.
func (p *pool) drafts(now time.Time) []*draft {
	list := p.usable("")
	if len(list) == 0 {
		return nil
	}
	fastest := list[0].pace
	waiting := 0
	for _, n := range p.backlog {
		waiting += n
	}
	busy := float64(waiting) / float64(p.limits.Batch*len(list))
	var drafts []*draft
	for _, e := range list {
		if e.calls >= p.limits.Slots || now.Before(e.retryAt) {
			continue
		}
		if e.pace > slowFactor*fastest && busy < slowBacklog {
			// A slow endpoint costs its requests their target while the others
			// keep up. Its pace is forgotten bit by bit, so that it is tried again.
			e.pace -= (e.pace - 1) * paceRecovery
			continue
		}
		drafts = append(drafts, &draft{endpoint: e, left: e.room(now, p)})
	}
	return drafts
}

// paceRecovery is the share of a slow endpoint's pace that is forgotten each
// time it is passed over.
const paceRecovery = 0.01

// order lists the groups that can start now, the most pressing first.
func (d *Dispatcher) order(now time.Time, p *pool) []ordered {
	list := make([]ordered, 0, len(p.queue))
	var hopeless []*job
	for _, g := range p.queue {
		if g.waiting == 0 || !g.job.ready(g) {
			continue
		}
		if now.Add(d.remaining(g) + g.job.Tail).After(g.job.Deadline) {
			hopeless = append(hopeless, g.job)
			continue
		}
		if g.readySince.IsZero() {
			g.readySince = now
		}
		if d.early(g) {
			continue
		}
		latest := g.job.Target.Add(-g.job.Tail - d.remaining(g))
		key := latest.Add(time.Duration(g.job.Rank) * d.o.RankSpacing)
		if now.After(latest.Add(lateGrace)) {
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

// early reports whether a group's large results would only wait, and take up
// room, until the results beside them are there.
func (d *Dispatcher) early(g *group) bool {
	if len(g.after) > 0 || g.totalBytes() <= d.o.SmallResult {
		return false
	}
	own := d.pools[g.service].callTime(len(g.tasks)) + d.pools[g.service].queueDelay(g.job.dataCentre)
	return d.pathLeft(g.job, g) > own+startMargin
}

// startMargin is how much sooner than its siblings a group may end.
const startMargin = 60 * time.Millisecond

// fill puts a group's waiting tasks into the drafts: first in the data centre
// that reads the results, and elsewhere once waiting costs more than crossing.
func (d *Dispatcher) fill(now time.Time, p *pool, o ordered, drafts []*draft) {
	g := o.group
	home := g.job.dataCentre
	for i := range g.tasks {
		if g.tasks[i].state != taskWaiting {
			continue
		}
		if dr := pick(p, drafts, g, func(e *endpoint) bool { return e.DataCentre == home }); dr != nil {
			dr.add(g, i)
			p.started(g, i)
			continue
		}
		if !d.mayCross(now, p, o) {
			continue
		}
		if dr := pick(p, drafts, g, func(*endpoint) bool { return true }); dr != nil {
			dr.add(g, i)
			p.started(g, i)
		}
	}
	if g.waiting == 0 {
		p.leaveQueue(g)
	}
}

// mayCross reports whether a group may be done away from the data centre that
// reads its results.
func (d *Dispatcher) mayCross(now time.Time, p *pool, o ordered) bool {
	g := o.group
	if g.job.dataCentre == "" || p.capacity(g.job.dataCentre) == 0 {
		return true
	}
	if g.totalBytes() <= d.o.SmallResult {
		return now.Sub(g.readySince) >= d.o.CrossSmallAfter
	}
	return g.job.Rank == 0 && now.After(o.latest.Add(-crossBefore))
}

// crossBefore is how long before its latest start a group stops waiting for an
// endpoint at home.
const crossBefore = 50 * time.Millisecond

// pick returns the draft with the most tasks of the same group, else the
// emptiest one, that has room for one more result.
func pick(p *pool, drafts []*draft, g *group, allowed func(*endpoint) bool) *draft {
	var best *draft
	for _, dr := range drafts {
		if len(dr.tasks) >= p.limits.Batch || dr.left < g.resultBytes || !allowed(dr.endpoint) {
			continue
		}
		if n := len(dr.tasks); n > 0 && dr.tasks[n-1].group == g {
			return dr
		}
		if best == nil || len(dr.tasks) < len(best.tasks) {
			best = dr
		}
	}
	return best
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
	out := Call{ID: c.id, Endpoint: e.Endpoint, Timeout: callTimeout(expected)}
	for _, ref := range dr.tasks {
		out.Tasks = append(out.Tasks, ref.task(now))
	}
	return out
}

// callTimeout leaves a slow endpoint time to answer, and gives a dead one up.
func callTimeout(expected time.Duration) time.Duration { return 4*expected + time.Second }

func (r taskRef) task(now time.Time) stage.Task {
	j := r.group.job
	t := stage.Task{Attempt: j.ID, Stage: r.group.stage, Index: r.index, Remaining: j.Deadline.Sub(now)}
	if len(r.group.after) == 0 {
		t.Key = j.Key
	} else {
		t.Inputs = j.inputs(r.group)
	}
	return t
}
