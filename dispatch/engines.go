package dispatch

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/catalog"
)

const (
	// engineOverhead is the time to a first event besides reading the prompt.
	engineOverhead = 25 * time.Millisecond
	// tokenTime is about how long an engine reads one token of a prompt, pairTime
	// what each token before it adds. The measured times correct both.
	tokenTime = 17 * time.Microsecond
	pairTime  = 300 * time.Nanosecond / 1000
	// paceWeight is the weight of the latest measured time in an engine pool's pace.
	paceWeight = 0.05
	// rereadCost is what reading a token costs besides its time if another engine
	// has it: the requests beside it wait too.
	rereadCost = 50 * time.Microsecond
	// fetchCost is what fetching a token's memory from another engine costs
	// besides its time; minFetch tokens are worth a fetch.
	fetchCost = 12 * time.Microsecond
	minFetch  = 1024
	// rereadWindow is how long a part that was read somewhere counts as known.
	rereadWindow = 10 * time.Second
	// homeBonus prefers the engine that rendezvous hashing names for parts that
	// none has read, so that dispatchers agree that know nothing of each other.
	homeBonus = 30 * time.Millisecond
	// coldCost makes a cold engine the last choice among equals; coldShare of
	// its declared rate is used.
	coldCost  = 200 * time.Millisecond
	coldShare = 0.85
	// suspectFor is how long an engine that failed a request is avoided, at
	// suspectCost.
	suspectFor  = 1500 * time.Millisecond
	suspectCost = time.Second
	// cacheShare of an engine's memory is taken to hold parts of prompts.
	cacheShare = 0.7
	// runningCost is what one request that is being answered adds to a first event.
	runningCost = time.Millisecond
)

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what an engine has to read for a request. The last part is the
// request's own.
type Prompt struct {
	// Service is the engines' service.
	Service string
	Parts   []Part
	Tokens  int
}

// Engine is a model engine that may get requests.
type Engine struct {
	catalog.Endpoint
	Cold bool
}

// engine is a model engine with its books.
type engine struct {
	Engine
	usable bool
	// reading are the requests whose first event is not there yet.
	reading map[string]reading
	// readsUntil is when what was sent so far is expected to be read.
	readsUntil   time.Time
	parts        map[string]cachedPart
	cached       int
	suspectUntil time.Time
	nextCold     time.Time
}

type reading struct {
	began    time.Time
	expected time.Duration
	alone    bool
}

type cachedPart struct {
	tokens int
	used   time.Time
}

// enginePool is the engines of one service.
type enginePool struct {
	engines map[string]*engine
	// memory is an engine's, in tokens.
	memory   int
	coldRate float64
	// tokenFetch is the time to fetch one token's memory; 0 if engines cannot.
	tokenFetch time.Duration
	// pace is how many times as long as expected an idle engine takes.
	pace float64
	// lastRead is when a part was last read anywhere.
	lastRead map[string]time.Time
}

// SetEngines replaces what is known of the engines of a service.
func (d *Dispatcher) SetEngines(service *catalog.Service, list []Engine) {
	p := d.enginePools[service.Name]
	if p == nil {
		p = &enginePool{engines: make(map[string]*engine), pace: 1, lastRead: make(map[string]time.Time)}
		d.enginePools[service.Name] = p
	}
	p.memory, p.coldRate, p.tokenFetch = service.EngineMemory, service.ColdRate, service.TokenFetch
	for _, e := range p.engines {
		e.usable = false
	}
	for _, c := range list {
		e := p.engines[c.ID]
		if e == nil || e.Incarnation != c.Incarnation {
			e = &engine{reading: make(map[string]reading), parts: make(map[string]cachedPart)}
			p.engines[c.ID] = e
		}
		e.Engine, e.usable = c, true
	}
	for id, e := range p.engines {
		if !e.usable {
			delete(p.engines, id)
		}
	}
}

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

// choose returns the engine with the least cost for a prompt, or nil. The move
// is what reading the stages' results costs in a data centre.
func (p *enginePool) choose(now time.Time, prompt Prompt, late time.Time, move func(dataCentre string) time.Duration) *choice {
	if p == nil {
		return nil
	}
	ids := make([]string, 0, len(p.engines))
	for id := range p.engines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	home := p.home(prompt, ids)
	source := p.source(now, prompt, ids)
	var best *choice
	for _, id := range ids {
		e := p.engines[id]
		if e.Cold && now.Before(e.nextCold) {
			continue
		}
		c := p.cost(now, e, source, prompt)
		c.cost += move(e.DataCentre)
		if id == home {
			c.cost -= homeBonus
		}
		if now.Add(c.first).After(late) {
			c.cost += lateCost
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// source is the engine that has read most of a prompt's shared parts.
func (p *enginePool) source(now time.Time, prompt Prompt, ids []string) *engine {
	if p.tokenFetch == 0 {
		return nil
	}
	var best *engine
	most := 0
	for _, id := range ids {
		e := p.engines[id]
		if known, _ := p.known(now, e, prompt); known > most && !now.Before(e.suspectUntil) {
			best, most = e, known
		}
	}
	return best
}

func (p *enginePool) cost(now time.Time, e, source *engine, prompt Prompt) *choice {
	known, reread := p.known(now, e, prompt)
	c := &choice{engine: e}
	c.read = p.readTime(known, prompt.Tokens-known)
	c.cost = time.Duration(reread) * rereadCost
	if source != nil && source != e {
		c.fetch(p, now, source, known, prompt)
	}
	c.first = c.read + max(e.readsUntil.Sub(now), 0) + time.Duration(len(e.reading))*runningCost
	c.cost += c.first
	if e.Cold {
		c.cost += coldCost
	}
	if now.Before(e.suspectUntil) {
		c.cost += suspectCost
	}
	return c
}

// fetch weighs fetching what the source has read of the prompt beyond what the
// engine itself has.
func (c *choice) fetch(p *enginePool, now time.Time, source *engine, known int, prompt Prompt) {
	there, reread := p.known(now, source, prompt)
	tokens := there - known
	if tokens < minFetch {
		return
	}
	moving := time.Duration(tokens) * p.tokenFetch
	if source.DataCentre != c.engine.DataCentre {
		moving *= 2
	}
	read := moving + p.readTime(there, prompt.Tokens-there)
	cost := time.Duration(tokens)*fetchCost + time.Duration(reread)*rereadCost
	if read+cost < c.read+c.cost {
		c.read, c.cost, c.source = read, cost, source
	}
}

// known returns how many tokens of a prompt an engine has read, and how many it
// would read again although some engine has read them lately.
func (p *enginePool) known(now time.Time, e *engine, prompt Prompt) (known, reread int) {
	whole := true
	for _, part := range prompt.shared() {
		_, found := e.parts[part.ID]
		whole = whole && found
		switch {
		case whole:
			known += part.Tokens
		case now.Sub(p.lastRead[part.ID]) < rereadWindow:
			reread += part.Tokens
		}
	}
	return known, reread
}

func (p Prompt) shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// readTime is how long an idle engine takes to the first event when it knows a
// part of the prompt.
func (p *enginePool) readTime(known, fresh int) time.Duration {
	pairs := float64(fresh) * (float64(known) + float64(fresh)/2)
	expected := float64(engineOverhead) + float64(fresh)*float64(tokenTime) + pairs*float64(pairTime)
	return time.Duration(expected * p.pace)
}

// home is the engine that rendezvous hashing names for the shared parts.
func (p *enginePool) home(prompt Prompt, ids []string) string {
	shared := prompt.shared()
	if len(shared) == 0 {
		return ""
	}
	key := shared[len(shared)-1].ID
	best, weight := "", uint64(0)
	for _, id := range ids {
		if w := xxhash.Sum64String(key + "/" + id); w >= weight {
			best, weight = id, w
		}
	}
	return best
}

// assign books a request at an engine.
func (p *enginePool) assign(now time.Time, c *choice, job string, prompt Prompt) {
	e := c.engine
	expected := c.read
	e.reading[job] = reading{began: now, expected: expected, alone: len(e.reading) == 0}
	if e.readsUntil.Before(now) {
		e.readsUntil = now
	}
	e.readsUntil = e.readsUntil.Add(expected)
	if e.Cold && p.coldRate > 0 {
		e.nextCold = now.Add(time.Duration(float64(time.Second) / (p.coldRate * coldShare)))
	}
	for _, part := range prompt.Parts {
		p.keep(now, e, part)
	}
}

// keep notes that an engine has a part; the least recently used ones yield.
func (p *enginePool) keep(now time.Time, e *engine, part Part) {
	p.lastRead[part.ID] = now
	if _, found := e.parts[part.ID]; !found {
		e.cached += part.Tokens
	}
	e.parts[part.ID] = cachedPart{tokens: part.Tokens, used: now}
	for limit := int(cacheShare * float64(p.memory)); limit > 0 && e.cached > limit && len(e.parts) > 1; {
		oldest, at := "", time.Time{}
		for id, c := range e.parts {
			if oldest == "" || c.used.Before(at) {
				oldest, at = id, c.used
			}
		}
		e.cached -= e.parts[oldest].tokens
		delete(e.parts, oldest)
	}
}

// read books the first event of a request, or its end without one.
func (p *enginePool) read(now time.Time, e *engine, job string, failed bool) {
	r, found := e.reading[job]
	if !found {
		return
	}
	delete(e.reading, job)
	if failed {
		e.suspectUntil = now.Add(suspectFor)
		// What it had read may be gone.
		clear(e.parts)
		e.cached = 0
	} else if r.alone && r.expected > 0 {
		ratio := float64(now.Sub(r.began)) / float64(r.expected) * p.pace
		p.pace += paceWeight * (min(max(ratio, minPace), maxEnginePace) - p.pace)
	}
	if len(e.reading) == 0 {
		e.readsUntil = now
		return
	}
	// What is left cannot take longer than all of it from now on.
	var left time.Duration
	for _, other := range e.reading {
		left += other.expected
	}
	if latest := now.Add(left); e.readsUntil.After(latest) {
		e.readsUntil = latest
	}
}

// minPace and maxEnginePace bound what one measured time says of the engines.
const (
	minPace       = 0.3
	maxEnginePace = 5
)

// forget drops parts that were not read for long.
func (p *enginePool) forget(now time.Time) {
	for id, at := range p.lastRead {
		if now.Sub(at) > forgetParts {
			delete(p.lastRead, id)
		}
	}
}

// forgetParts is how long parts are remembered that no request brings.
const forgetParts = time.Minute

// noMove is for requests without results of stages.
func noMove(string) time.Duration { return 0 }

// engineForecast is the expected time from the stages' results to the first event.
func (d *Dispatcher) engineForecast(now time.Time, j *job) time.Duration {
	c := d.enginePools[j.Prompt.Service].choose(now, j.Prompt, j.Target, noMove)
	if c == nil {
		return 0
	}
	return c.first
}

// chooseEngine picks and books the engine of a job whose results are there.
func (d *Dispatcher) chooseEngine(now time.Time, j *job) (engine, fetchFrom string) {
	p := d.enginePools[j.Prompt.Service]
	c := p.choose(now, j.Prompt, j.Target, func(dataCentre string) time.Duration { return d.readCost(j, dataCentre) })
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
	return time.Duration(float64(bytes) / 1e6 * float64(d.o.MoveTime))
}

// bestPlace is the data centre with the least cost of an engine there and of
// the stages whose large results are read there.
func (d *Dispatcher) bestPlace(now time.Time, j *job) string {
	p := d.enginePools[j.Prompt.Service]
	if p == nil || !j.hasBigOutput() {
		return ""
	}
	best, bestCost := "", time.Duration(math.MaxInt64)
	costs := make(map[string]time.Duration)
	ids := make([]string, 0, len(p.engines))
	for id := range p.engines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	home := p.home(j.Prompt, ids)
	source := p.source(now, j.Prompt, ids)
	for _, id := range ids {
		e := p.engines[id]
		cost := p.cost(now, e, source, j.Prompt).cost
		if id == home {
			cost -= homeBonus
		}
		if old, found := costs[e.DataCentre]; !found || cost < old {
			costs[e.DataCentre] = cost
		}
	}
	for _, id := range ids {
		dataCentre := p.engines[id].DataCentre
		cost, left := costs[dataCentre]
		if !left {
			continue
		}
		delete(costs, dataCentre)
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
