package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choice is an engine for a prompt with what it costs.
type choice struct {
	engine *engine
	// first is the expected time to the first event, cost weighs in what others pay.
	first time.Duration
	cost  time.Duration
	// read is how long the engine itself takes.
	read time.Duration
	// source is the engine to fetch parts of the prompt from; nil for none.
	source *engine
}

// view is what the engines of a pool are to one prompt at one time. Thousands of
// requests a second look at hundreds of engines: what is the same for all of
// them is worked out once.
type view struct {
	pool   *enginePool
	now    time.Time
	prompt Prompt
	shared []Part
	// tokens and reread are, by the number of leading parts that an engine has
	// read, the tokens of these, and of the others those that some engine has
	// read lately.
	tokens, reread []int
	// holders are the engines that have read the first part.
	holders map[*engine]bool
	home    *engine
	// source is the engine that has read most of the shared parts, sourceParts
	// the number of these.
	source      *engine
	sourceParts int
}

// view looks at a pool for a prompt; it is nil without a pool.
func (p *enginePool) view(now time.Time, prompt Prompt) *view {
	if p == nil {
		return nil
	}
	shared := prompt.shared()
	v := &view{
		pool: p, now: now, prompt: prompt, shared: shared,
		tokens: make([]int, len(shared)+1), reread: make([]int, len(shared)+1),
	}
	if len(shared) == 0 {
		return v
	}
	for i, part := range shared {
		v.tokens[i+1] = v.tokens[i] + part.Tokens
	}
	for i := len(shared) - 1; i >= 0; i-- {
		v.reread[i] = v.reread[i+1]
		if now.Sub(p.lastRead[shared[i].ID]) < rereadWindow {
			v.reread[i] += shared[i].Tokens
		}
	}
	v.holders = p.holders[shared[0].ID]
	v.home = p.home(shared[len(shared)-1].ID)
	v.findSource()
	return v
}

// parts is the number of leading parts of the prompt that an engine has read.
func (v *view) parts(e *engine) int {
	if !v.holders[e] {
		return 0
	}
	n := 1
	for n < len(v.shared) {
		if _, found := e.parts[v.shared[n].ID]; !found {
			break
		}
		n++
	}
	return n
}

func (v *view) findSource() {
	if v.pool.tokenFetch == 0 {
		return
	}
	most := 0
	for e := range v.holders {
		if v.now.Before(e.suspectUntil) {
			continue
		}
		n := v.parts(e)
		if known := v.tokens[n]; known > most || known == most && v.source != nil && e.ID < v.source.ID {
			v.source, v.sourceParts, most = e, n, known
		}
	}
}

// best returns the engine with the least cost, or nil. The move is what reading
// the stages' results costs in a data centre; nil for requests without results.
func (v *view) best(late time.Time, move func(dataCentre string) time.Duration) *choice {
	if v == nil {
		return nil
	}
	moves := make([]time.Duration, len(v.pool.dataCentres))
	if move != nil {
		for i, dataCentre := range v.pool.dataCentres {
			moves[i] = move(dataCentre)
		}
	}
	var best choice
	for _, e := range v.pool.list {
		if e.Cold && v.now.Before(e.nextCold) {
			continue
		}
		c := v.cost(e)
		c.cost += moves[e.place]
		if e == v.home {
			c.cost -= homeBonus
		}
		if v.now.Add(c.first).After(late) {
			c.cost += lateCost
		}
		if best.engine == nil || c.cost < best.cost {
			best = c
		}
	}
	if best.engine == nil {
		return nil
	}
	return &best
}

func (v *view) cost(e *engine) choice {
	n := v.parts(e)
	known := v.tokens[n]
	c := choice{engine: e}
	c.read = v.pool.readTime(known, v.prompt.Tokens-known)
	c.cost = time.Duration(v.reread[n]) * rereadCost
	if v.source != nil && v.source != e {
		v.fetch(&c, known)
	}
	c.first = c.read + max(e.readsUntil.Sub(v.now), 0) + time.Duration(len(e.reading))*runningCost
	c.cost += c.first
	if e.Cold {
		c.cost += coldCost
	}
	if v.now.Before(e.suspectUntil) {
		c.cost += suspectCost
	}
	return c
}

// fetch weighs fetching what the source has read of the prompt beyond what the
// engine itself has.
func (v *view) fetch(c *choice, known int) {
	there, reread := v.tokens[v.sourceParts], v.reread[v.sourceParts]
	tokens := there - known
	if tokens < minFetch {
		return
	}
	moving := time.Duration(tokens) * v.pool.tokenFetch
	if v.source.DataCentre != c.engine.DataCentre {
		moving *= 2
	}
	read := moving + v.pool.readTime(there, v.prompt.Tokens-there)
	cost := time.Duration(tokens)*fetchCost + time.Duration(reread)*rereadCost
	if read+cost < c.read+c.cost {
		c.read, c.cost, c.source = read, cost, v.source
	}
}

// maxHomes bounds the parts whose home is remembered.
const maxHomes = 4096

// home is the engine that rendezvous hashing names for a part.
func (p *enginePool) home(part string) *engine {
	if e, found := p.homes[part]; found {
		return e
	}
	var best *engine
	weight := uint64(0)
	for _, e := range p.list {
		if w := xxhash.Sum64String(part + "/" + e.ID); w >= weight {
			best, weight = e, w
		}
	}
	if best == nil {
		return nil
	}
	if len(p.homes) >= maxHomes {
		clear(p.homes)
	}
	p.homes[part] = best
	return best
}

// forecast is the expected time from the stages' results to the first event.
func (v *view) forecast(target time.Time) time.Duration {
	c := v.best(target, nil)
	if c == nil {
		return 0
	}
	return c.first
}

// chooseEngine picks and books the engine of a job whose results are there.
func (d *Dispatcher) chooseEngine(now time.Time, j *job) (engine, fetchFrom string) {
	p := d.enginePools[j.Prompt.Service]
	c := p.view(now, j.Prompt).best(j.Target, func(dataCentre string) time.Duration { return d.readCost(j, dataCentre) })
	if c == nil {
		return "", ""
	}
	j.engine = c.engine.ID
	j.dataCentre = c.engine.DataCentre
	p.assign(now, c, j.ID, j.Prompt)
	if c.source != nil {
		fetchFrom = c.source.Address
	}
	return j.engine, fetchFrom
}

// readCost is what reading a job's results in a data centre costs for the bytes
// that cross, as time.
func (d *Dispatcher) readCost(j *job, dataCentre string) time.Duration {
	var bytes int64
	for _, i := range j.outputs {
		g := j.groups[i]
		for k := range g.tasks {
			if e := d.pools[g.service].endpoints[g.tasks[k].endpoint]; e != nil && e.DataCentre != dataCentre {
				bytes += g.resultBytes
			}
		}
	}
	return time.Duration(float64(bytes) / 1e6 * float64(d.o.TransferCostPerMB))
}

// bestPlace is the data centre with the least cost of an engine there and of
// the stages whose large results are read there.
func (d *Dispatcher) bestPlace(now time.Time, j *job, v *view) string {
	if v == nil || !j.hasBigOutput() {
		return ""
	}
	costs := make([]time.Duration, len(v.pool.dataCentres))
	for i := range costs {
		costs[i] = math.MaxInt64
	}
	for _, e := range v.pool.list {
		cost := v.cost(e).cost
		if e == v.home {
			cost -= homeBonus
		}
		costs[e.place] = min(costs[e.place], cost)
	}
	best, bestCost := "", time.Duration(math.MaxInt64)
	for i, dataCentre := range v.pool.dataCentres {
		cost := costs[i]
		for _, g := range j.groups {
			if g != nil && g.output && g.totalBytes() > bigResult {
				cost += d.pools[g.service].placeCost(now, dataCentre, g)
			}
		}
		if cost < bestCost {
			best, bestCost = dataCentre, cost
		}
	}
	return best
}
