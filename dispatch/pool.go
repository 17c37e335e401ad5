package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/stage"
)

// pool holds the endpoints of one stage service and the groups that are queued for
// them.
type pool struct {
	limits    catalog.StageLimits
	endpoints map[string]*endpoint
	// usableEndpoints are the endpoints that may get calls, in the order of ids;
	// dataCentres are their data centres.
	usableEndpoints []*endpoint
	dataCentres     []string
	queue           []*group
	// backlog counts the waiting tasks by data centre of their jobs.
	backlog map[string]int
	// arrivals are the arrival rates of tasks by rank.
	arrivals map[int]*arrivalRate
	// trial bounds the calls to the endpoints of a new version; nil if there is none.
	trial *trial
}

// storedResult is a result that an endpoint stores.
type storedResult struct {
	bytes   int64
	expires time.Time
}

// endpoint is the state of one endpoint of a stage service.
type endpoint struct {
	catalog.Endpoint
	usable bool
	// dcIndex is the index of its data centre in the pool's dataCentres.
	dcIndex     int
	activeCalls int
	// idleAt is when the latest call is expected to end, or did end.
	idleAt time.Time
	// reservedBytes is the memory for the results of calls in progress, storedBytes
	// that of the stored results.
	reservedBytes int64
	storedBytes   int64
	// results are the stored results by handle.
	results map[string]storedResult
	// slowdown is the smoothed ratio of the actual to the declared duration of calls.
	slowdown float64
	// failures counts consecutive failures; no call is sent before retryAt.
	failures int
	retryAt  time.Time
	// callInterval is the minimum time between two calls; 0 if the endpoint states no rate limit. No call is
	// sent before nextCall.
	callInterval time.Duration
	nextCall     time.Time
	untracked    untrackedMemory
	// fullUntil is the time until which the endpoint is taken to have no memory left.
	fullUntil time.Time
	// queryMemory is set if the endpoint has to be asked for its free memory.
	queryMemory bool
	// reportDue is the time until which the endpoint gets no calls unless it reports its
	// free memory.
	reportDue time.Time
}

func newPool(l catalog.StageLimits) *pool {
	return &pool{limits: l, endpoints: make(map[string]*endpoint), backlog: make(map[string]int), arrivals: make(map[int]*arrivalRate)}
}

// SetService declares a stage service or updates its limits.
func (d *Dispatcher) SetService(name string, l catalog.StageLimits) {
	if p := d.pools[name]; p != nil {
		p.limits = l
		return
	}
	d.pools[name] = newPool(l)
}

// SetEndpoints replaces the endpoints of a service. Endpoints that are not listed get
// no more calls, but their calls in progress continue. An endpoint with another
// incarnation has restarted and starts without results.
func (d *Dispatcher) SetEndpoints(service string, list []catalog.Endpoint) {
	p := d.pools[service]
	if p == nil {
		return
	}
	for _, e := range p.endpoints {
		e.usable = false
	}
	for _, c := range list {
		e := p.endpoints[c.ID]
		if e == nil || e.Incarnation != c.Incarnation {
			e = &endpoint{results: make(map[string]storedResult), slowdown: 1}
			p.endpoints[c.ID] = e
		}
		e.Endpoint, e.usable = c, true
	}
	for id, e := range p.endpoints {
		if !e.usable && e.activeCalls == 0 && len(e.results) == 0 {
			delete(p.endpoints, id)
		}
	}
	p.rebuildIndex()
}

// SetCallIntervals sets the minimum time between two calls of those endpoints of a service that name a
// limit. The others have none.
func (d *Dispatcher) SetCallIntervals(service string, intervals map[string]time.Duration) {
	p := d.pools[service]
	if p == nil {
		return
	}
	for id, e := range p.endpoints {
		e.callInterval = intervals[id]
		if e.callInterval == 0 {
			e.nextCall = time.Time{}
		}
	}
}

// idleIn returns the time until an endpoint can take a call; it is negative if the endpoint is idle.
func (e *endpoint) idleIn(now time.Time) time.Duration {
	return max(e.idleAt.Sub(now), e.retryAt.Sub(now), e.nextCall.Sub(now))
}

// concurrency returns how many calls an endpoint can run at once, in calls of the declared duration.
func (e *endpoint) concurrency(p *pool) float64 {
	n := float64(p.limits.Slots) / max(e.slowdown, 0.5)
	if e.callInterval > 0 {
		n = min(n, float64(p.limits.CallTime)/float64(e.callInterval))
	}
	return n
}

// rebuildIndex rebuilds the lists of usable endpoints and their data centres.
func (p *pool) rebuildIndex() {
	p.usableEndpoints = p.usableEndpoints[:0]
	for _, e := range p.endpoints {
		if e.usable {
			p.usableEndpoints = append(p.usableEndpoints, e)
		}
	}
	p.dataCentres = sortAndIndex(p.usableEndpoints, func(e *endpoint) (*catalog.Endpoint, *int) { return &e.Endpoint, &e.dcIndex })
}

// sortAndIndex sorts a list by endpoint id and returns the distinct data centres. It
// sets the index of each endpoint's data centre in them. The function fields returns
// an element's endpoint and where to store the index.
func sortAndIndex[E any](list []E, fields func(E) (e *catalog.Endpoint, dcIndex *int)) (dataCentres []string) {
	slices.SortFunc(list, func(a, b E) int {
		first, _ := fields(a)
		second, _ := fields(b)
		return strings.Compare(first.ID, second.ID)
	})
	for _, e := range list {
		endpoint, dcIndex := fields(e)
		*dcIndex = slices.Index(dataCentres, endpoint.DataCentre)
		if *dcIndex < 0 {
			*dcIndex = len(dataCentres)
			dataCentres = append(dataCentres, endpoint.DataCentre)
		}
	}
	return dataCentres
}

// bySlowdown orders endpoints from the fastest to the slowest, and those of similar
// speed by id.
func bySlowdown(a, b *endpoint) int {
	switch {
	case a.slowdown < b.slowdown-0.05:
		return -1
	case b.slowdown < a.slowdown-0.05:
		return 1
	case a.ID < b.ID:
		return -1
	}
	return 1
}

// callTime returns the declared duration of a call with n tasks of a group. It
// assumes that tasks of other groups take up a quarter of the batch.
func (p *pool) callTime(n int) time.Duration {
	return p.limits.CallTime + time.Duration(min(n+p.limits.Batch/4, p.limits.Batch))*p.limits.TaskTime
}

// taskCost returns the share of one task in the duration of a full call.
func (p *pool) taskCost() time.Duration {
	return p.limits.CallTime/time.Duration(p.limits.Batch) + p.limits.TaskTime
}

// capacity returns how many calls the endpoints of a data centre can run at once, or the
// endpoints of all data centres if dataCentre is empty. The slots of each endpoint are
// divided by its slowdown, and bounded by its limit. Endpoints with two or more consecutive failures do
// not count.
func (p *pool) capacity(dataCentre string) float64 {
	var sum float64
	for _, e := range p.usableEndpoints {
		if e.failures < 2 && !p.trial.includes(e) && (dataCentre == "" || e.DataCentre == dataCentre) {
			sum += e.concurrency(p)
		}
	}
	return sum
}

// queueDelay returns the time that the endpoints of a data centre need for its
// backlog. Without endpoints there, it is that of all data centres.
func (p *pool) queueDelay(dataCentre string) time.Duration {
	capacity := p.capacity(dataCentre)
	if capacity == 0 {
		return p.totalQueueDelay()
	}
	return time.Duration(float64(p.backlog[dataCentre]) * float64(p.taskCost()) / capacity)
}

// totalQueueDelay returns the time that all endpoints need for the whole backlog.
func (p *pool) totalQueueDelay() time.Duration {
	total := 0
	for _, n := range p.backlog {
		total += n
	}
	return time.Duration(float64(total) * float64(p.taskCost()) / max(p.capacity(""), 0.5))
}

// dataCentreCost returns the expected delay of a group if its results are read in a
// data centre. If the service has no endpoint there, it includes the transfer of
// large results.
func (p *pool) dataCentreCost(now time.Time, dataCentre string, g *group) time.Duration {
	if !slices.Contains(p.dataCentres, dataCentre) {
		cost := p.totalQueueDelay()
		if g.totalBytes() > largeResultBytes {
			cost += largeTransferCost
		}
		return cost
	}
	cost := p.queueDelay(dataCentre)
	if len(g.dependsOn) > 0 {
		return cost
	}
	untilIdle := time.Duration(math.MaxInt64)
	for _, e := range p.usableEndpoints {
		if e.DataCentre != dataCentre {
			continue
		}
		untilIdle = min(untilIdle, max(e.idleIn(now), e.memoryDelay(now, p, g), 0))
	}
	return cost + untilIdle
}

// largeTransferCost is the cost of transferring large results between data centres,
// as time.
const largeTransferCost = 300 * time.Millisecond

// rankQueueDelay returns the expected queueing time of a new group of a rank: the
// time for the tasks queued ahead of it, and for tasks of more urgent ranks that
// arrive meanwhile. A group that will be late waits for tasks of every rank.
func (p *pool) rankQueueDelay(now time.Time, rank int, late bool) time.Duration {
	queuedTasks := 0
	for _, other := range p.queue {
		if late || other.job.Rank <= rank {
			queuedTasks += other.waiting
		}
	}
	cost := float64(p.taskCost()) / max(p.capacity(""), 0.5)
	var precedingLoad float64
	for otherRank, rate := range p.arrivals {
		if late || otherRank < rank {
			precedingLoad += rate.perSecond(now) * cost / float64(time.Second)
		}
	}
	return time.Duration(float64(queuedTasks) * cost / (1 - min(precedingLoad, maxPrecedingLoad)))
}

// enqueue adds a new job's group to the queue.
func (p *pool) enqueue(now time.Time, g *group) {
	if g.waiting == 0 {
		return
	}
	p.queue = append(p.queue, g)
	g.queued = true
	p.backlog[g.job.dataCentre] += g.waiting
	rate := p.arrivals[g.job.Rank]
	if rate == nil {
		rate = &arrivalRate{}
		p.arrivals[g.job.Rank] = rate
	}
	rate.add(now, float64(g.waiting))
}

// requeue returns one task of a group to the queue, unless its job is being handed over.
func (p *pool) requeue(g *group, index int) {
	g.tasks[index].state = taskWaiting
	g.tasks[index].handle = ""
	g.tasks[index].inputsRead = false
	g.tasks[index].call = 0
	if g.job.handingOver {
		return
	}
	g.waiting++
	g.readySince = time.Time{}
	p.backlog[g.job.dataCentre]++
	if !g.queued {
		p.queue = append(p.queue, g)
		g.queued = true
	}
}

// markRunning records that one task of a group is part of a call.
func (p *pool) markRunning(g *group, index int) {
	g.tasks[index].state = taskRunning
	g.waiting--
	p.backlog[g.job.dataCentre]--
}

// markDone records that a task needs no further call. A waiting task is taken off the queue.
func (p *pool) markDone(g *group, index int) {
	t := &g.tasks[index]
	waiting := t.state == taskWaiting && !g.job.handingOver
	t.state, t.call = taskDone, 0
	if !waiting {
		return
	}
	g.waiting--
	p.backlog[g.job.dataCentre]--
	if g.waiting == 0 && g.queued {
		p.removeFromQueue(g)
	}
}

// unmarkRunning reverts markRunning.
func (p *pool) unmarkRunning(g *group, index int) {
	g.tasks[index].state = taskWaiting
	g.waiting++
	p.backlog[g.job.dataCentre]++
	if !g.queued {
		p.queue = append(p.queue, g)
		g.queued = true
	}
}

// discard removes a group and its waiting tasks from the queue and the backlog.
func (p *pool) discard(g *group) {
	p.backlog[g.job.dataCentre] -= g.waiting
	g.waiting = 0
	if g.queued {
		p.queue = slices.DeleteFunc(p.queue, func(other *group) bool { return other == g })
		g.queued = false
	}
}

// callFinished records that a call has returned results. Calls all of whose tasks have failed are failures of the
// endpoint from the second in a row; the first may be due to the tasks.
func (e *endpoint) callFinished(now time.Time, c *call, results []stage.Result) {
	failed := allFailed(results)
	if !failed {
		e.failures = 0
		e.retryAt = time.Time{}
	}
	if c.overdue {
		return // the endpoint takes further calls already
	}
	e.activeCalls--
	e.idleAt = now
	if failed {
		if e.failures++; e.failures > 1 {
			e.backOff(now)
		}
		return // the call's duration says nothing about the next one's
	}
	if c.expected > 0 {
		measured := float64(now.Sub(c.started)) / float64(c.expected)
		e.slowdown += slowdownWeight * (min(measured, maxSlowdown) - e.slowdown)
	}
}

// allFailed reports whether a call returned no result because all of its tasks have failed.
func allFailed(results []stage.Result) bool {
	return len(results) > 0 && !slices.ContainsFunc(results, func(r stage.Result) bool { return r.Problem != stage.Failed })
}

// backOff keeps calls from an endpoint for a time that doubles with each consecutive failure.
func (e *endpoint) backOff(now time.Time) {
	e.retryAt = now.Add(min(failureBackoff<<min(e.failures-1, 4), maxBackoff))
}

// maxSlowdown bounds the effect of one slow call on an endpoint's slowdown.
const maxSlowdown = 10

// callFailed records that a call has returned no results, or none in time.
func (e *endpoint) callFailed(now time.Time, c *call, f Failure) {
	if c.overdue {
		return // recorded already
	}
	e.activeCalls--
	e.reservedBytes -= c.bytes
	e.idleAt = now
	if f == Refused {
		e.retryAt = now.Add(refusedBackoff)
		return
	}
	e.failures++
	if f == ResponseLost {
		// The endpoint may be slow rather than dead, so that the next call gets a
		// longer time-out.
		e.slowdown = min(max(e.slowdown, 1)*lostCallSlowdown, maxSlowdown)
	}
	e.backOff(now)
}

// lostCallSlowdown is the factor by which an endpoint's slowdown grows when it does
// not answer in time.
const lostCallSlowdown = 1.5

// arrivalRate is an exponentially decaying rate of arrivals per second.
type arrivalRate struct {
	value     float64
	updatedAt time.Time
}

func (r *arrivalRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.value *= math.Exp(-now.Sub(r.updatedAt).Seconds() / arrivalRateWindow.Seconds())
	}
	r.updatedAt = now
}

func (r *arrivalRate) add(now time.Time, n float64) {
	r.decay(now)
	r.value += n / arrivalRateWindow.Seconds()
}

func (r *arrivalRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}
