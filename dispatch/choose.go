package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choice is a possible engine for a prompt with its expected cost.
type choice struct {
	engine *engine
	// factor is that of the engine's speed.
	factor float64
	// firstEventDelay is the expected time to the first event. cost adds the cost for
	// other requests and penalties.
	firstEventDelay time.Duration
	cost            time.Duration
	// prefillTime is the time that the engine takes to read the prompt, without
	// queueing.
	prefillTime time.Duration
	// fetchSource is the engine to fetch parts of the prompt from; nil for none.
	fetchSource *engine
	// reserved is set if the engine's turn was taken when the job was admitted.
	reserved bool
}

// engineScorer computes the cost of a pool's engines for one prompt at one time.
// Thousands of requests per second are scored against hundreds of engines, so that
// everything that does not depend on the engine is computed once.
type engineScorer struct {
	pool        *enginePool
	now         time.Time
	prompt      Prompt
	sharedParts []Part
	// sharedKeys are the keys of the shared parts.
	sharedKeys []partKey
	// Both slices are indexed by the number of leading parts that an engine has cached.
	// prefixTokens are the tokens of these parts, duplicateTokens those of the other
	// parts that some engine has read recently.
	prefixTokens, duplicateTokens []int
	// holders are the engines that have cached the first part.
	holders map[*engine]bool
	// preferred is the engine that rendezvous hashing selects for the shared parts.
	preferred *engine
	// fetchSources are the engines to fetch shared parts from, by software version.
	fetchSources map[string]fetchSource
}

// fetchSource is the engine of a version that has cached most tokens of the shared parts. parts is the
// number of these parts.
type fetchSource struct {
	engine *engine
	parts  int
}

// newScorer returns a scorer of the pool's engines for a prompt, or nil if the pool is nil.
func (p *enginePool) newScorer(now time.Time, prompt Prompt) *engineScorer {
	if p == nil {
		return nil
	}
	shared := prompt.sharedParts()
	s := &engineScorer{
		pool: p, now: now, prompt: prompt, sharedParts: shared, sharedKeys: make([]partKey, len(shared)),
		prefixTokens: make([]int, len(shared)+1), duplicateTokens: make([]int, len(shared)+1),
	}
	if len(shared) == 0 {
		return s
	}
	for i, part := range shared {
		s.sharedKeys[i] = part.key()
		s.prefixTokens[i+1] = s.prefixTokens[i] + part.Tokens
	}
	for i := len(shared) - 1; i >= 0; i-- {
		s.duplicateTokens[i] = s.duplicateTokens[i+1]
		if p.recent.has(now, s.sharedKeys[i]) {
			s.duplicateTokens[i] += shared[i].Tokens
		}
	}
	s.holders = p.holders[s.sharedKeys[0]]
	s.preferred = p.preferredEngine(shared[len(shared)-1])
	s.findFetchSources()
	return s
}

// cachedParts returns the number of leading parts of the prompt that an engine has
// cached.
func (s *engineScorer) cachedParts(e *engine) int {
	if !s.holders[e] {
		return 0
	}
	n := 1
	for n < len(s.sharedKeys) && e.cached.has(s.sharedKeys[n]) {
		n++
	}
	return n
}

// findFetchSources sets fetchSources. The KV caches of two versions do not fit together. Engines that
// failed recently are left out.
func (s *engineScorer) findFetchSources() {
	if s.pool.tokenFetchTime == 0 {
		return
	}
	s.fetchSources = make(map[string]fetchSource)
	for e := range s.holders {
		if s.now.Before(e.suspectUntil) {
			continue
		}
		n := s.cachedParts(e)
		most, found := s.fetchSources[e.Version]
		tokens, mostTokens := s.prefixTokens[n], s.prefixTokens[most.parts]
		if tokens > mostTokens || tokens == mostTokens && found && e.ID < most.engine.ID {
			s.fetchSources[e.Version] = fetchSource{engine: e, parts: n}
		}
	}
}

// best returns the engine with the lowest cost, or nil if there is none. transferCost
// returns the cost of reading the stages' results in a data centre; it is nil for
// requests without results.
func (s *engineScorer) best(target time.Time, transferCost func(dataCentre string) time.Duration) *choice {
	if s == nil {
		return nil
	}
	transferCosts := make([]time.Duration, len(s.pool.dataCentres))
	if transferCost != nil {
		for i, dataCentre := range s.pool.dataCentres {
			transferCosts[i] = transferCost(dataCentre)
		}
	}
	var best choice
	for _, e := range s.pool.sortedEngines {
		if e.Cold && s.now.Before(e.nextColdRequest) || !s.mayServe(e) || e.RequestInterval > 0 && s.now.Before(e.nextTurn) {
			continue
		}
		c := s.cost(e)
		c.cost += transferCosts[e.dcIndex]
		if e == s.preferred {
			c.cost -= preferredEngineBonus
		}
		if s.now.Add(c.firstEventDelay).After(target) {
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

// mayServe reports whether an engine has a software version that the prompt allows, and has not had the request.
func (s *engineScorer) mayServe(e *engine) bool {
	if s.prompt.Excluded != "" && s.prompt.Excluded == e.Version {
		return false
	}
	return (s.prompt.Version == "" || s.prompt.Version == e.Version) && !slices.Contains(s.prompt.Tried, e.ID)
}

// cost returns the expected delay and cost of an engine, without those that depend on
// the stages' results.
func (s *engineScorer) cost(e *engine) choice {
	n := s.cachedParts(e)
	cached := s.prefixTokens[n]
	c := choice{engine: e, factor: e.speed.Factor(s.now)}
	c.prefillTime = scale(s.pool.expectedPrefillTime(cached, s.prompt.Tokens-cached), c.factor)
	c.cost = time.Duration(s.duplicateTokens[n]) * duplicatePrefillCost
	if source, found := s.fetchSources[e.Version]; found && source.engine != e {
		s.considerFetch(&c, source, cached)
	}
	c.firstEventDelay = c.prefillTime + max(e.prefillsUntil.Sub(s.now), 0) + time.Duration(len(e.pendingPrefills))*activeRequestCost
	c.cost += c.firstEventDelay
	if e.Cold {
		c.cost += coldCost
	}
	if e.RequestInterval > 0 {
		c.cost += limitCost
	}
	if s.now.Before(e.suspectUntil) {
		c.cost += suspectCost
	}
	return c
}

// considerFetch plans to fetch the parts that the source has cached and the engine has
// not, if that is cheaper than reading them. cached is the number of tokens that the
// engine has cached itself.
func (s *engineScorer) considerFetch(c *choice, source fetchSource, cached int) {
	sourceTokens, duplicate := s.prefixTokens[source.parts], s.duplicateTokens[source.parts]
	tokens := sourceTokens - cached
	if tokens < minFetchTokens {
		return
	}
	transfer := time.Duration(tokens) * s.pool.tokenFetchTime
	if source.engine.DataCentre != c.engine.DataCentre {
		transfer *= 2
	}
	total := transfer + scale(s.pool.expectedPrefillTime(sourceTokens, s.prompt.Tokens-sourceTokens), c.factor)
	cost := time.Duration(tokens)*fetchCost + time.Duration(duplicate)*duplicatePrefillCost
	if total+cost < c.prefillTime+c.cost {
		c.prefillTime, c.cost, c.fetchSource = total, cost, source.engine
	}
}

// maxPreferredEngines bounds the number of parts whose preferred engine is cached.
const maxPreferredEngines = 4096

// preferredEngine returns the engine that rendezvous hashing selects for a part, or nil
// without engines.
func (p *enginePool) preferredEngine(part Part) *engine {
	key := part.key()
	if e, found := p.preferredEngines[key]; found {
		return e
	}
	var best *engine
	weight := uint64(0)
	for _, e := range p.sortedEngines {
		if w := xxhash.Sum64String(part.ID + "/" + e.ID); w >= weight {
			best, weight = e, w
		}
	}
	if best == nil {
		return nil
	}
	if len(p.preferredEngines) >= maxPreferredEngines {
		clear(p.preferredEngines)
	}
	p.preferredEngines[key] = best
	return best
}

// forecastFirstEvent returns the expected time from the stages' results to the first
// event, or 0 if no engine is available.
func (s *engineScorer) forecastFirstEvent(target time.Time) time.Duration {
	c := s.best(target, nil)
	if c == nil {
		return 0
	}
	return c.firstEventDelay
}

// chooseEngine selects the engine of a job whose results are available, assigns the
// request to it, and adds it to the job's result. There may be none.
func (d *Dispatcher) chooseEngine(now time.Time, j *job, result *JobResult) {
	p := d.enginePools[j.Prompt.Service]
	scorer := p.newScorer(now, j.Prompt)
	c := scorer.reservedChoice(j.reservation)
	if c == nil {
		c = scorer.best(j.Target, func(dataCentre string) time.Duration { return d.resultTransferCost(j, dataCentre) })
	}
	if c == nil {
		return
	}
	j.engine = c.engine.ID
	j.dataCentre = c.engine.DataCentre
	p.bookRequest(now, c, j.JobID(), j.Prompt)
	result.Engine, result.TurnBooked = j.engine, c.engine.RequestInterval > 0
	if c.reserved {
		result.StartAfter = max(j.reservation.turn.Sub(now), 0)
	}
	if c.fetchSource != nil {
		result.FetchFrom = c.fetchSource.Address
	}
}

// reservedChoice returns the choice of a reservation, or nil if there is none or its engine has left.
func (s *engineScorer) reservedChoice(r reservation) *choice {
	if s == nil || r.engine == "" {
		return nil
	}
	e := s.pool.engines[r.engine]
	if e == nil || !s.mayServe(e) {
		return nil
	}
	c := s.cost(e)
	c.reserved = true
	return &c
}

// resultTransferCost returns the cost of transferring a job's results to a data centre,
// as time.
func (d *Dispatcher) resultTransferCost(j *job, dataCentre string) time.Duration {
	var bytes int64
	for _, i := range j.outputs {
		g := j.groups[i]
		for k := range g.tasks {
			if e := d.pools[g.service].endpoints[g.tasks[k].endpoint]; e != nil && e.DataCentre != dataCentre {
				bytes += g.resultBytes
			}
		}
	}
	return time.Duration(float64(bytes) / 1e6 * float64(d.options.TransferCostPerMB))
}

// noEngineCost is the cost of a data centre without an engine that may serve, as time.
const noEngineCost = time.Hour

// bestDataCentre returns the data centre with the lowest total cost of an engine and of
// the stages whose large results the engine reads. It is empty for jobs without large
// results.
func (d *Dispatcher) bestDataCentre(now time.Time, j *job, scorer *engineScorer) string {
	if scorer == nil || !j.hasLargeOutput() {
		return ""
	}
	costs := make([]time.Duration, len(scorer.pool.dataCentres))
	for i := range costs {
		costs[i] = noEngineCost
	}
	for _, e := range scorer.pool.sortedEngines {
		if !scorer.mayServe(e) {
			continue
		}
		cost := scorer.cost(e).cost
		if e == scorer.preferred {
			cost -= preferredEngineBonus
		}
		costs[e.dcIndex] = min(costs[e.dcIndex], cost)
	}
	best, bestCost := "", time.Duration(math.MaxInt64)
	for i, dataCentre := range scorer.pool.dataCentres {
		cost := costs[i]
		for _, g := range j.groups {
			if g != nil && g.output && g.totalBytes() > largeResultBytes {
				cost += d.pools[g.service].dataCentreCost(now, dataCentre, g)
			}
		}
		if cost < bestCost {
			best, bestCost = dataCentre, cost
		}
	}
	return best
}
