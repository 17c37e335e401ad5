package dispatch

import (
	"slices"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/speed"
)

const (
	// engineOverhead is the time to the first event in addition to reading the prompt.
	engineOverhead = 25 * time.Millisecond
	// tokenPrefillTime is the approximate time to read one token of a prompt, and
	// tokenPairTime what each token before it adds. The measured slowdown of the engines
	// corrects both.
	tokenPrefillTime = 17 * time.Microsecond
	tokenPairTime    = 300 * time.Nanosecond / 1000
	// engineSlowdownWeight is the weight of the latest measurement in the slowdown of an
	// engine pool.
	engineSlowdownWeight = 0.05
	// duplicatePrefillCost is the cost of reading a token that another engine has cached,
	// in addition to the time of the request: other requests at the engine wait too.
	duplicatePrefillCost = 50 * time.Microsecond
	// fetchCost is the cost of fetching the KV cache of a token from another engine, in
	// addition to its time. Fewer than minFetchTokens are not worth a fetch.
	fetchCost      = 12 * time.Microsecond
	minFetchTokens = 1024
	// limitCost ranks an engine with a limit after those without one that are otherwise equal.
	limitCost = 200 * time.Millisecond
	// recentPrefillWindow is how long some engine is assumed to have a part cached after
	// the part was last read.
	recentPrefillWindow = 10 * time.Second
	// preferredEngineBonus favours the engine that rendezvous hashing selects. For parts
	// that no engine has read, independent dispatchers thus choose the same engine.
	preferredEngineBonus = 30 * time.Millisecond
	// coldCost ranks a cold engine after warm ones that are otherwise equal. Only
	// coldRateShare of a cold engine's declared rate is used.
	coldCost      = 200 * time.Millisecond
	coldRateShare = 0.85
	// suspectDuration is how long an engine is avoided after it failed a request, by
	// adding suspectCost to its cost.
	suspectDuration = 1500 * time.Millisecond
	suspectCost     = time.Second
	// cacheShare is the share of an engine's KV cache that is assumed to hold parts of
	// prompts.
	cacheShare = 0.7
	// maxPrefillTime bounds the expected time to read a prompt, of which clients state the length.
	maxPrefillTime = time.Hour
	// activeRequestCost is what each request with a pending first event adds to the time to
	// the first event of a new request at the same engine.
	activeRequestCost = time.Millisecond
)

// Part is a part of a prompt that requests may share. Its fields are encoded under
// their Go names.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request. The last part is specific to the request,
// and other requests may share the parts before it. Its fields are encoded under their
// Go names.
type Prompt struct {
	// Service is the name of the engines' service.
	Service string
	Parts   []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// Version is the only software version of engines that may serve; empty allows all.
	Version string `json:",omitempty"`
	// Excluded is a software version of engines that may not serve; empty allows all.
	Excluded string `json:",omitempty"`
	// Tried are the IDs of engines that have had the request and are not to get it again.
	Tried []string `json:",omitempty"`
}

// Engine is a model engine that may get requests.
type Engine struct {
	catalog.Endpoint
	// Cold reports whether the engine has started recently and may get only a limited
	// rate of requests.
	Cold bool
	// RequestInterval is the minimum time between two requests that the dispatcher books; 0 if the engine
	// states no rate limit.
	RequestInterval time.Duration
}

// engine is the state of one model engine.
type engine struct {
	Engine
	usable bool
	// dcIndex is the index of its data centre in the pool's dataCentres.
	dcIndex int
	// pendingPrefills are the requests whose first event is pending, by job.
	pendingPrefills map[string]pendingPrefill
	// prefillsUntil is when all prompts sent so far are expected to be read.
	prefillsUntil time.Time
	// cached are the parts that the engine is assumed to have cached.
	cached *cachedParts
	// speed is how fast the engine works.
	speed speed.Estimate
	// suspectUntil is until when the engine is avoided after a failure.
	suspectUntil time.Time
	// nextColdRequest is when the engine may get the next request while it is cold, nextTurn when it may
	// while it has a limit.
	nextColdRequest time.Time
	nextTurn        time.Time
}

// pendingPrefill is a prompt that an engine is reading.
type pendingPrefill struct {
	startedAt time.Time
	expected  time.Duration
	// alone is set if no other prompt was pending at the start. Only such prompts are
	// used to measure the engines' slowdown.
	alone bool
}

// enginePool holds the engines of one service.
type enginePool struct {
	engines map[string]*engine
	// sortedEngines are the engines in the order of ids; dataCentres are their data
	// centres.
	sortedEngines []*engine
	dataCentres   []string
	// holders are the engines that have cached a part, by part.
	holders map[partKey]map[*engine]bool
	// preferredEngines caches the engines that rendezvous hashing selected, by part.
	preferredEngines map[partKey]*engine
	// kvCacheTokens is the capacity of an engine's KV cache, coldRate the rate limit of a
	// cold engine in requests per second; 0 is no limit for both.
	kvCacheTokens int
	coldRate      float64
	// tokenFetchTime is the time to fetch the KV cache of one token from another engine;
	// 0 if the engines cannot.
	tokenFetchTime time.Duration
	// slowdown is the smoothed ratio of the actual to the expected time that an idle
	// engine takes to the first event.
	slowdown float64
	// recent are the parts that any engine has read recently.
	recent recentParts
}

// SetEngines replaces the engines of a service. An engine with another incarnation has
// restarted and starts without cached parts.
func (d *Dispatcher) SetEngines(service *catalog.Service, list []Engine) {
	p := d.enginePools[service.Name]
	if p == nil {
		p = newEnginePool()
		d.enginePools[service.Name] = p
	}
	p.kvCacheTokens, p.coldRate, p.tokenFetchTime = service.KVCacheTokens, service.ColdRate, service.TokenFetchTime
	for _, e := range p.engines {
		e.usable = false
	}
	for _, c := range list {
		e := p.engines[c.ID]
		if e == nil || e.Incarnation != c.Incarnation {
			p.remove(e)
			e = p.newEngine()
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
		engines: make(map[string]*engine), slowdown: 1, recent: newRecentParts(),
		holders: make(map[partKey]map[*engine]bool), preferredEngines: make(map[partKey]*engine),
	}
}

// newEngine returns an engine without cached parts.
func (p *enginePool) newEngine() *engine {
	e := &engine{pendingPrefills: make(map[string]pendingPrefill)}
	e.cached = newCachedParts(func(key partKey) {
		if delete(p.holders[key], e); len(p.holders[key]) == 0 {
			delete(p.holders, key)
		}
	})
	return e
}

// remove removes an engine that has left or restarted.
func (p *enginePool) remove(e *engine) {
	if e == nil {
		return
	}
	e.cached.clear()
	delete(p.engines, e.ID)
	clear(p.preferredEngines)
}

// rebuildIndex rebuilds the lists of engines and their data centres.
func (p *enginePool) rebuildIndex() {
	p.sortedEngines = p.sortedEngines[:0]
	partsPerEngine := min(max(maxPoolParts/max(len(p.engines), 1), minEngineParts), maxEngineParts)
	for _, e := range p.engines {
		p.sortedEngines = append(p.sortedEngines, e)
		e.cached.bound(partsPerEngine)
	}
	p.dataCentres = sortAndIndex(p.sortedEngines, func(e *engine) (*catalog.Endpoint, *int) { return &e.Endpoint, &e.dcIndex })
}

// sharedParts returns the parts that other requests may share.
func (p Prompt) sharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// expectedPrefillTime returns the expected time to the first event at an idle engine, given
// the numbers of the prompt's tokens that it has cached and that it has not.
func (p *enginePool) expectedPrefillTime(cached, uncached int) time.Duration {
	pairs := float64(uncached) * (float64(cached) + float64(uncached)/2)
	expected := float64(engineOverhead) + float64(uncached)*float64(tokenPrefillTime) + pairs*float64(tokenPairTime)
	return time.Duration(min(expected*p.slowdown, float64(maxPrefillTime)))
}

// scale returns a duration multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// bookRequest assigns a request to an engine and updates the engine's expected load and
// cache.
func (p *enginePool) bookRequest(now time.Time, c *choice, jobID string, prompt Prompt) {
	e := c.engine
	expected := c.prefillTime
	e.pendingPrefills[jobID] = pendingPrefill{startedAt: now, expected: expected, alone: len(e.pendingPrefills) == 0}
	e.speed.Sent(now)
	if e.prefillsUntil.Before(now) {
		e.prefillsUntil = now
	}
	e.prefillsUntil = e.prefillsUntil.Add(expected)
	if !c.reserved {
		e.takeTurn(now)
	}
	if e.Cold && p.coldRate > 0 {
		e.nextColdRequest = now.Add(time.Duration(float64(time.Second) / (p.coldRate * coldRateShare)))
	}
	// A cached part is of use only with all parts before it: the first ones are to be evicted last.
	for _, part := range slices.Backward(prompt.Parts) {
		p.cachePart(now, e, part)
	}
}

// takeTurn takes an engine's next turn and returns its time. Engines without a limit take a request at any
// time.
func (e *engine) takeTurn(now time.Time) time.Time {
	turn := now
	if e.nextTurn.After(now) {
		turn = e.nextTurn
	}
	e.nextTurn = turn.Add(e.RequestInterval)
	return turn
}

// cachePart records that an engine has cached a part.
func (p *enginePool) cachePart(now time.Time, e *engine, part Part) {
	key := part.key()
	p.recent.add(now, key)
	if p.holders[key] == nil {
		p.holders[key] = make(map[*engine]bool)
	}
	p.holders[key][e] = true
	e.cached.add(key, part.Tokens, int(cacheShare*float64(p.kvCacheTokens)))
}

// finishPrefill records the first event of a request, or its end without one, for which r is nil or says that the engine
// has failed.
func (p *enginePool) finishPrefill(now time.Time, e *engine, jobID string, r *EngineReport) {
	pending, found := e.pendingPrefills[jobID]
	if !found {
		return
	}
	delete(e.pendingPrefills, jobID)
	if r != nil && r.Load != nil {
		e.speed.State(now, *r.Load)
	}
	if r != nil && r.Failed {
		e.suspectUntil = now.Add(suspectDuration)
		// The engine may have lost its cache.
		e.cached.clear()
	} else if pending.alone && pending.expected > 0 {
		ratio := float64(now.Sub(pending.startedAt)) / float64(pending.expected) * p.slowdown
		p.slowdown += engineSlowdownWeight * (min(max(ratio, minEngineSlowdown), maxEngineSlowdown) - p.slowdown)
	}
	if len(e.pendingPrefills) == 0 {
		e.prefillsUntil = now
		return
	}
	// The pending prompts take at most the sum of their expected times from now.
	var remaining time.Duration
	for _, other := range e.pendingPrefills {
		remaining += other.expected
	}
	if latest := now.Add(remaining); e.prefillsUntil.After(latest) {
		e.prefillsUntil = latest
	}
}

// minEngineSlowdown and maxEngineSlowdown bound the effect of one measurement on the
// slowdown of the engines.
const (
	minEngineSlowdown = 0.3
	maxEngineSlowdown = 5
)
