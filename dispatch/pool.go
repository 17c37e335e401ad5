package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// pool is one stage service: its endpoints and the groups that wait for them.
type pool struct {
	limits    catalog.StageLimits
	endpoints map[string]*endpoint
	// usableEndpoints are the endpoints that may get calls, by id, and dataCentres theirs.
	usableEndpoints []*endpoint
	dataCentres     []string
	queue           []*group
	// backlog counts the tasks that no call has, by data centre.
	backlog map[string]int
	// arrivals are the tasks a second of each rank.
	arrivals map[int]*arrivalRate
}

// storedResult is a result at an endpoint.
type storedResult struct {
	bytes   int64
	expires time.Time
}

// endpoint is one endpoint of a stage service with its books.
type endpoint struct {
	catalog.Endpoint
	usable bool
	// dcIndex is the position of its data centre in the pool's.
	dcIndex     int
	activeCalls int
	// idleAt is when the call in progress is expected to end.
	idleAt time.Time
	// reservedBytes is the memory of the results that calls in progress make.
	reservedBytes int64
	storedBytes   int64
	results       map[string]storedResult
	// slowdown is how many times as long as declared a call takes.
	slowdown float64
	failures int
	retryAt  time.Time
	// untrackedBytes is the size of results that the books do not know, which are taken
	// to be gone at unknownUntil; ask is set when the endpoint has to be asked.
	untrackedBytes int64
	untrackedUntil time.Time
	queryMemory    bool
}

func newPool(l catalog.StageLimits) *pool {
	return &pool{limits: l, endpoints: make(map[string]*endpoint), backlog: make(map[string]int), arrivals: make(map[int]*arrivalRate)}
}

// SetService declares a stage service.
func (d *Dispatcher) SetService(name string, l catalog.StageLimits) {
	if p := d.pools[name]; p != nil {
		p.limits = l
		return
	}
	d.pools[name] = newPool(l)
}

// SetEndpoints replaces what is known of a service's endpoints. Those that are
// not listed get no more calls; calls in progress there go on.
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

// rebuildIndex lists the usable endpoints and their data centres anew.
func (p *pool) rebuildIndex() {
	p.usableEndpoints = p.usableEndpoints[:0]
	for _, e := range p.endpoints {
		if e.usable {
			p.usableEndpoints = append(p.usableEndpoints, e)
		}
	}
	p.dataCentres = sortAndIndex(p.usableEndpoints, func(e *endpoint) (*catalog.Endpoint, *int) { return &e.Endpoint, &e.dcIndex })
}

// sortAndIndex sorts a list by the endpoints' ids and numbers their data centres, which
// it returns.
func sortAndIndex[E any](list []E, of func(E) (e *catalog.Endpoint, place *int)) (dataCentres []string) {
	slices.SortFunc(list, func(a, b E) int {
		first, _ := of(a)
		second, _ := of(b)
		return strings.Compare(first.ID, second.ID)
	})
	for _, e := range list {
		endpoint, place := of(e)
		*place = slices.Index(dataCentres, endpoint.DataCentre)
		if *place < 0 {
			*place = len(dataCentres)
			dataCentres = append(dataCentres, endpoint.DataCentre)
		}
	}
	return dataCentres
}

// bySlowdown orders endpoints, the fastest first; those that are about as fast by id.
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

// callTime is the declared duration of a call with n of a group's tasks, in a
// batch that is filled up by half.
func (p *pool) callTime(n int) time.Duration {
	return p.limits.CallTime + time.Duration(min(n+p.limits.Batch/4, p.limits.Batch))*p.limits.TaskTime
}

// taskCost is the share of a full call that one task takes.
func (p *pool) taskCost() time.Duration {
	return p.limits.CallTime/time.Duration(p.limits.Batch) + p.limits.TaskTime
}

// capacity is the number of endpoints at their declared pace.
func (p *pool) capacity(dataCentre string) float64 {
	var sum float64
	for _, e := range p.usableEndpoints {
		if e.failures < 2 && (dataCentre == "" || e.DataCentre == dataCentre) {
			sum += float64(p.limits.Slots) / max(e.slowdown, 0.5)
		}
	}
	return sum
}

// queueDelay is how long what waits in a data centre keeps its endpoints busy.
func (p *pool) queueDelay(dataCentre string) time.Duration {
	capacity := p.capacity(dataCentre)
	if capacity == 0 {
		return p.totalQueueDelay()
	}
	return time.Duration(float64(p.backlog[dataCentre]) * float64(p.taskCost()) / capacity)
}

func (p *pool) totalQueueDelay() time.Duration {
	total := 0
	for _, n := range p.backlog {
		total += n
	}
	return time.Duration(float64(total) * float64(p.taskCost()) / max(p.capacity(""), 0.5))
}

// dataCentreCost is the time that a group waits if its results are read in a data
// centre; a service without endpoints there costs a crossing.
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
	busy := time.Duration(math.MaxInt64)
	for _, e := range p.usableEndpoints {
		if e.DataCentre != dataCentre {
			continue
		}
		busy = min(busy, max(e.idleAt.Sub(now), e.retryAt.Sub(now), e.memoryDelay(now, p, g), 0))
	}
	return cost + busy
}

// largeTransferCost weighs the bytes of large results between data centres, as time.
const largeTransferCost = 300 * time.Millisecond

// memoryDelay is a rough wait for room for a group's results.
func (e *endpoint) memoryDelay(now time.Time, p *pool, g *group) time.Duration {
	if e.freeMemory(now, p) >= min(g.totalBytes(), int64(p.limits.Batch)*g.resultBytes) {
		return 0
	}
	return p.limits.CallTime
}

// rankQueueDelay is how long a group of a rank waits for what precedes it. One that will
// be late waits for all work that comes while it does, of any rank.
func (p *pool) rankQueueDelay(now time.Time, rank int, late bool) time.Duration {
	ahead := 0
	for _, other := range p.queue {
		if late || other.job.Rank <= rank {
			ahead += other.waiting
		}
	}
	cost := float64(p.taskCost()) / max(p.capacity(""), 0.5)
	var before float64
	for r, a := range p.arrivals {
		if late || r < rank {
			before += a.perSecond(now) * cost / float64(time.Second)
		}
	}
	return time.Duration(float64(ahead) * cost / (1 - min(before, maxPrecedingLoad)))
}

// enqueue puts a new job's group into the queue.
func (p *pool) enqueue(now time.Time, g *group) {
	if g.waiting == 0 {
		return
	}
	p.queue = append(p.queue, g)
	g.queued = true
	p.backlog[g.job.dataCentre] += g.waiting
	a := p.arrivals[g.job.Rank]
	if a == nil {
		a = &arrivalRate{}
		p.arrivals[g.job.Rank] = a
	}
	a.add(now, float64(g.waiting))
}

// requeue lets one task of a group wait again.
func (p *pool) requeue(g *group, index int) {
	g.tasks[index].state = taskWaiting
	g.tasks[index].handle = ""
	g.waiting++
	g.readySince = time.Time{}
	p.backlog[g.job.dataCentre]++
	if !g.queued {
		p.queue = append(p.queue, g)
		g.queued = true
	}
}

// markRunning notes that a call has one task of a group.
func (p *pool) markRunning(g *group, index int) {
	g.tasks[index].state = taskRunning
	g.waiting--
	p.backlog[g.job.dataCentre]--
}

// discard takes a group out of the queue.
func (p *pool) discard(g *group) {
	p.backlog[g.job.dataCentre] -= g.waiting
	g.waiting = 0
	if g.queued {
		p.queue = slices.DeleteFunc(p.queue, func(other *group) bool { return other == g })
		g.queued = false
	}
}

// freeMemory is the memory that is left for results, in bytes.
func (e *endpoint) freeMemory(now time.Time, p *pool) int64 {
	room := int64(usableMemoryShare*float64(p.limits.ResultMemory)) - e.storedBytes - e.reservedBytes
	if now.Before(e.untrackedUntil) {
		room -= e.untrackedBytes
	}
	return room
}

// storeResult books a result. One that is booked already, of a job that was abandoned and
// came back, is booked once.
func (e *endpoint) storeResult(handle string, bytes int64, expires time.Time) {
	e.removeResult(handle)
	e.results[handle] = storedResult{bytes: bytes, expires: expires}
	e.storedBytes += bytes
}

func (e *endpoint) removeResult(handle string) {
	if h, found := e.results[handle]; found {
		e.storedBytes -= h.bytes
		delete(e.results, handle)
	}
}

func (e *endpoint) expireResults(now time.Time) {
	for handle, h := range e.results {
		if now.After(h.expires) {
			e.removeResult(handle)
		}
	}
}

// markFull notes that the endpoint holds results that the books do not know: those
// of a dispatcher before this one, or larger ones than declared. Until it is
// asked, it gets none.
func (e *endpoint) markFull(now time.Time, limit int64) {
	e.untrackedBytes, e.untrackedUntil, e.queryMemory = limit, now.Add(untrackedTTL), true
}

// untrackedTTL is about the time in which an endpoint's results are read.
const untrackedTTL = 400 * time.Millisecond

// TakeMemoryQueries returns the endpoints to ask for their room since the last call.
func (d *Dispatcher) TakeMemoryQueries() []catalog.Endpoint {
	var list []catalog.Endpoint
	for _, p := range d.pools {
		for _, e := range p.endpoints {
			if e.queryMemory && e.usable {
				list = append(list, e.Endpoint)
			}
			e.queryMemory = false
		}
	}
	return list
}

// SetFreeMemory takes the room that an endpoint says it has for results, in bytes.
func (d *Dispatcher) SetFreeMemory(now time.Time, service, id string, free int64) {
	p := d.pools[service]
	if p == nil || p.endpoints[id] == nil {
		return
	}
	e := p.endpoints[id]
	e.untrackedBytes = max(p.limits.ResultMemory-e.storedBytes-e.reservedBytes-free, 0)
	e.untrackedUntil = now.Add(untrackedTTL)
}

func (e *endpoint) callFinished(now time.Time, c *call) {
	e.activeCalls--
	e.failures = 0
	e.retryAt = time.Time{}
	if c.expected > 0 {
		measured := float64(now.Sub(c.started)) / float64(c.expected)
		e.slowdown += slowdownWeight * (min(measured, maxSlowdown) - e.slowdown)
	}
	e.idleAt = now
}

// maxSlowdown bounds what one slow call says of an endpoint.
const maxSlowdown = 10

func (e *endpoint) callFailed(now time.Time, c *call, f Failure) {
	e.activeCalls--
	e.reservedBytes -= c.bytes
	e.idleAt = now
	if f == Refused {
		e.retryAt = now.Add(refusedBackoff)
		return
	}
	e.failures++
	if f == ResponseLost {
		// It may be slow rather than dead: the next call gets more time.
		e.slowdown = min(max(e.slowdown, 1)*lostCallSlowdown, maxSlowdown)
	}
	e.retryAt = now.Add(min(failureBackoff<<min(e.failures-1, 4), maxBackoff))
}

// lostCallSlowdown is how many times as slow an endpoint is taken to be after it did
// not answer in time.
const lostCallSlowdown = 1.5

// arrivalRate is an exponentially weighted number of arrivals a second.
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
