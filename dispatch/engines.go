package dispatch

import (
	"time"

	"github.com/azurelead/azurelead/catalog"
)

const (
	// engineOverhead is the time to a first event besides reading the prompt.
	engineOverhead = 25 * time.Millisecond
	// tokenPrefillTime is about how long an engine reads one token of a prompt, pairTime
	// what each token before it adds. The measured times correct both.
	tokenPrefillTime = 17 * time.Microsecond
	tokenPairTime    = 300 * time.Nanosecond / 1000
	// engineSlowdownWeight is the weight of the latest measured time in an engine pool's pace.
	engineSlowdownWeight = 0.05
	// duplicatePrefillCost is what reading a token costs besides its time if another engine
	// has it: the requests beside it wait too.
	duplicatePrefillCost = 50 * time.Microsecond
	// fetchCost is what fetching a token's memory from another engine costs
	// besides its time; minFetch tokens are worth a fetch.
	fetchCost      = 12 * time.Microsecond
	minFetchTokens = 1024
	// recentPrefillWindow is how long a part that was read somewhere counts as known.
	recentPrefillWindow = 10 * time.Second
	// preferredEngineBonus prefers the engine that rendezvous hashing names for parts that
	// none has read, so that dispatchers agree that know nothing of each other.
	preferredEngineBonus = 30 * time.Millisecond
	// coldCost makes a cold engine the last choice among equals; coldShare of
	// its declared rate is used.
	coldCost      = 200 * time.Millisecond
	coldRateShare = 0.85
	// suspectDuration is how long an engine that failed a request is avoided, at
	// suspectCost.
	suspectDuration = 1500 * time.Millisecond
	suspectCost     = time.Second
	// cacheShare of an engine's memory is taken to hold parts of prompts.
	cacheShare = 0.7
	// activeRequestCost is what one request that is being answered adds to a first event.
	activeRequestCost = time.Millisecond
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
	// dcIndex is the position of its data centre in the pool's.
	dcIndex int
	// pendingPrefills are the requests whose first event is not there yet.
	pendingPrefills map[string]pendingPrefill
	// prefillsUntil is when what was sent so far is expected to be read.
	prefillsUntil   time.Time
	parts           map[string]cachedPart
	cachedTokens    int
	suspectUntil    time.Time
	nextColdRequest time.Time
}

type pendingPrefill struct {
	startedAt time.Time
	expected  time.Duration
	alone     bool
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// enginePool is the engines of one service.
type enginePool struct {
	engines map[string]*engine
	// sortedEngines are the engines by id, and dataCentres theirs.
	sortedEngines []*engine
	dataCentres   []string
	// holders are the engines that have read a part.
	holders map[string]map[*engine]bool
	// preferredEngines are the engines that rendezvous hashing named for parts.
	preferredEngines map[string]*engine
	// memoryTokens is an engine's, in tokens.
	memoryTokens int
	coldRate     float64
	// tokenFetchTime is the time to fetch one token's memory; 0 if engines cannot.
	tokenFetchTime time.Duration
	// slowdown is how many times as long as expected an idle engine takes.
	slowdown float64
	// lastPrefill is when a part was last read anywhere.
	lastPrefill map[string]time.Time
	// prunedAt is when parts were last forgotten.
	prunedAt time.Time
}

// SetEngines replaces what is known of the engines of a service.
func (d *Dispatcher) SetEngines(service *catalog.Service, list []Engine) {
	p := d.enginePools[service.Name]
	if p == nil {
		p = newEnginePool()
		d.enginePools[service.Name] = p
	}
	p.memoryTokens, p.coldRate, p.tokenFetchTime = service.KVCacheTokens, service.ColdRate, service.TokenFetchTime
	for _, e := range p.engines {
		e.usable = false
	}
	for _, c := range list {
		e := p.engines[c.ID]
		if e == nil || e.Incarnation != c.Incarnation {
			p.remove(e)
			e = &engine{pendingPrefills: make(map[string]pendingPrefill), parts: make(map[string]cachedPart)}
			p.engines[c.ID] = e
			clear(p.preferredEngines)
		}
		e.Engine, e.usable = c, true
	}
	for _, e := range p.engines {
		if !e.usable {
			p.remove(e)
		}
	}
	p.rebuildIndex()
}

func newEnginePool() *enginePool {
	return &enginePool{
		engines: make(map[string]*engine), slowdown: 1, lastPrefill: make(map[string]time.Time),
		holders: make(map[string]map[*engine]bool), preferredEngines: make(map[string]*engine),
	}
}

// remove forgets an engine that is gone or has started anew.
func (p *enginePool) remove(e *engine) {
	if e == nil {
		return
	}
	p.evictAllParts(e)
	delete(p.engines, e.ID)
	clear(p.preferredEngines)
}

// evictAllParts notes that an engine has read nothing.
func (p *enginePool) evictAllParts(e *engine) {
	for id := range e.parts {
		p.evictPart(e, id)
	}
}

// evictPart notes that an engine does not have a part any more.
func (p *enginePool) evictPart(e *engine, part string) {
	e.cachedTokens -= e.parts[part].tokens
	delete(e.parts, part)
	if delete(p.holders[part], e); len(p.holders[part]) == 0 {
		delete(p.holders, part)
	}
}

// rebuildIndex lists the engines and their data centres anew.
func (p *enginePool) rebuildIndex() {
	p.sortedEngines = p.sortedEngines[:0]
	for _, e := range p.engines {
		p.sortedEngines = append(p.sortedEngines, e)
	}
	p.dataCentres = sortAndIndex(p.sortedEngines, func(e *engine) (*catalog.Endpoint, *int) { return &e.Endpoint, &e.dcIndex })
}

func (p Prompt) sharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// prefillTime is how long an idle engine takes to the first event when it knows a
// part of the prompt.
func (p *enginePool) prefillTime(known, fresh int) time.Duration {
	pairs := float64(fresh) * (float64(known) + float64(fresh)/2)
	expected := float64(engineOverhead) + float64(fresh)*float64(tokenPrefillTime) + pairs*float64(tokenPairTime)
	return time.Duration(expected * p.slowdown)
}

// bookRequest books a request at an engine.
func (p *enginePool) bookRequest(now time.Time, c *choice, job string, prompt Prompt) {
	e := c.engine
	expected := c.prefillTime
	e.pendingPrefills[job] = pendingPrefill{startedAt: now, expected: expected, alone: len(e.pendingPrefills) == 0}
	if e.prefillsUntil.Before(now) {
		e.prefillsUntil = now
	}
	e.prefillsUntil = e.prefillsUntil.Add(expected)
	if e.Cold && p.coldRate > 0 {
		e.nextColdRequest = now.Add(time.Duration(float64(time.Second) / (p.coldRate * coldRateShare)))
	}
	for _, part := range prompt.Parts {
		p.cachePart(now, e, part)
	}
}

// cachePart notes that an engine has a part; the least recently used ones yield.
func (p *enginePool) cachePart(now time.Time, e *engine, part Part) {
	p.lastPrefill[part.ID] = now
	if _, found := e.parts[part.ID]; !found {
		e.cachedTokens += part.Tokens
		if p.holders[part.ID] == nil {
			p.holders[part.ID] = make(map[*engine]bool)
		}
		p.holders[part.ID][e] = true
	}
	e.parts[part.ID] = cachedPart{tokens: part.Tokens, lastUsed: now}
	for limit := int(cacheShare * float64(p.memoryTokens)); limit > 0 && e.cachedTokens > limit && len(e.parts) > 1; {
		oldest, at := "", time.Time{}
		for id, c := range e.parts {
			if oldest == "" || c.lastUsed.Before(at) {
				oldest, at = id, c.lastUsed
			}
		}
		p.evictPart(e, oldest)
	}
}

// finishPrefill books the first event of a request, or its end without one.
func (p *enginePool) finishPrefill(now time.Time, e *engine, job string, failed bool) {
	r, found := e.pendingPrefills[job]
	if !found {
		return
	}
	delete(e.pendingPrefills, job)
	if failed {
		e.suspectUntil = now.Add(suspectDuration)
		// What it had read may be gone.
		p.evictAllParts(e)
	} else if r.alone && r.expected > 0 {
		ratio := float64(now.Sub(r.startedAt)) / float64(r.expected) * p.slowdown
		p.slowdown += engineSlowdownWeight * (min(max(ratio, minEngineSlowdown), maxEngineSlowdown) - p.slowdown)
	}
	if len(e.pendingPrefills) == 0 {
		e.prefillsUntil = now
		return
	}
	// What is left cannot take longer than all of it from now on.
	var left time.Duration
	for _, other := range e.pendingPrefills {
		left += other.expected
	}
	if latest := now.Add(left); e.prefillsUntil.After(latest) {
		e.prefillsUntil = latest
	}
}

// minEngineSlowdown and maxEngineSlowdown bound what one measured time says of the engines.
const (
	minEngineSlowdown = 0.3
	maxEngineSlowdown = 5
)

// pruneParts drops parts that were not read for long. At thousands of requests a
// second there are hundreds of thousands of them, so that it looks rarely.
func (p *enginePool) pruneParts(now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	for id, at := range p.lastPrefill {
		if now.Sub(at) > partRetention {
			delete(p.lastPrefill, id)
		}
	}
}

const (
	// partRetention is how long parts are remembered that no request brings.
	partRetention = time.Minute
	// pruneInterval is a small part of partMemory.
	pruneInterval = time.Second
)
