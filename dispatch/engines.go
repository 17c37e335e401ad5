package dispatch

import (
	"time"

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
	// place is the position of its data centre in the pool's.
	place int
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
	// list are the engines by id, and dataCentres theirs.
	list        []*engine
	dataCentres []string
	// holders are the engines that have read a part.
	holders map[string]map[*engine]bool
	// homes are the engines that rendezvous hashing named for parts.
	homes map[string]*engine
	// memory is an engine's, in tokens.
	memory   int
	coldRate float64
	// tokenFetch is the time to fetch one token's memory; 0 if engines cannot.
	tokenFetch time.Duration
	// pace is how many times as long as expected an idle engine takes.
	pace float64
	// lastRead is when a part was last read anywhere.
	lastRead map[string]time.Time
	// forgotAt is when parts were last forgotten.
	forgotAt time.Time
}

// SetEngines replaces what is known of the engines of a service.
func (d *Dispatcher) SetEngines(service *catalog.Service, list []Engine) {
	p := d.enginePools[service.Name]
	if p == nil {
		p = newEnginePool()
		d.enginePools[service.Name] = p
	}
	p.memory, p.coldRate, p.tokenFetch = service.KVCacheTokens, service.ColdRate, service.TokenFetchTime
	for _, e := range p.engines {
		e.usable = false
	}
	for _, c := range list {
		e := p.engines[c.ID]
		if e == nil || e.Incarnation != c.Incarnation {
			p.remove(e)
			e = &engine{reading: make(map[string]reading), parts: make(map[string]cachedPart)}
			p.engines[c.ID] = e
			clear(p.homes)
		}
		e.Engine, e.usable = c, true
	}
	for _, e := range p.engines {
		if !e.usable {
			p.remove(e)
		}
	}
	p.index()
}

func newEnginePool() *enginePool {
	return &enginePool{
		engines: make(map[string]*engine), pace: 1, lastRead: make(map[string]time.Time),
		holders: make(map[string]map[*engine]bool), homes: make(map[string]*engine),
	}
}

// remove forgets an engine that is gone or has started anew.
func (p *enginePool) remove(e *engine) {
	if e == nil {
		return
	}
	p.forgetParts(e)
	delete(p.engines, e.ID)
	clear(p.homes)
}

// forgetParts notes that an engine has read nothing.
func (p *enginePool) forgetParts(e *engine) {
	for id := range e.parts {
		p.lose(e, id)
	}
}

// lose notes that an engine does not have a part any more.
func (p *enginePool) lose(e *engine, part string) {
	e.cached -= e.parts[part].tokens
	delete(e.parts, part)
	if delete(p.holders[part], e); len(p.holders[part]) == 0 {
		delete(p.holders, part)
	}
}

// index lists the engines and their data centres anew.
func (p *enginePool) index() {
	p.list = p.list[:0]
	for _, e := range p.engines {
		p.list = append(p.list, e)
	}
	p.dataCentres = arrange(p.list, func(e *engine) (*catalog.Endpoint, *int) { return &e.Endpoint, &e.place })
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
		if p.holders[part.ID] == nil {
			p.holders[part.ID] = make(map[*engine]bool)
		}
		p.holders[part.ID][e] = true
	}
	e.parts[part.ID] = cachedPart{tokens: part.Tokens, used: now}
	for limit := int(cacheShare * float64(p.memory)); limit > 0 && e.cached > limit && len(e.parts) > 1; {
		oldest, at := "", time.Time{}
		for id, c := range e.parts {
			if oldest == "" || c.used.Before(at) {
				oldest, at = id, c.used
			}
		}
		p.lose(e, oldest)
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
		p.forgetParts(e)
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

// forget drops parts that were not read for long. At thousands of requests a
// second there are hundreds of thousands of them, so that it looks rarely.
func (p *enginePool) forget(now time.Time) {
	if now.Sub(p.forgotAt) < forgetEvery {
		return
	}
	p.forgotAt = now
	for id, at := range p.lastRead {
		if now.Sub(at) > partMemory {
			delete(p.lastRead, id)
		}
	}
}

const (
	// partMemory is how long parts are remembered that no request brings.
	partMemory = time.Minute
	// forgetEvery is a small part of partMemory.
	forgetEvery = time.Second
)
