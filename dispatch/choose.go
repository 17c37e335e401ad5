package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choice is an engine for a prompt with what it costs.
type choice struct {
	engine *engine
	// firstEventDelay is the expected time to the firstEventDelay event, cost weighs in what others pay.
	firstEventDelay time.Duration
	cost            time.Duration
	// prefillTime is how long the engine itself takes.
	prefillTime time.Duration
	// fetchSource is the engine to fetch parts of the prompt from; nil for none.
	fetchSource *engine
}

// engineScorer is what the engines of a pool are to one prompt at one time. Thousands of
// requests a second look at hundreds of engines: what is the same for all of
// them is worked out once.
type engineScorer struct {
	pool        *enginePool
	now         time.Time
	prompt      Prompt
	sharedParts []Part
	// prefixTokens and duplicateTokens are, by the number of leading parts that an engine has
	// read, the prefixTokens of these, and of the others those that some engine has
	// read lately.
	prefixTokens, duplicateTokens []int
	// holders are the engines that have read the first part.
	holders   map[*engine]bool
	preferred *engine
	// fetchSource is the engine that has read most of the shared parts, sourceParts
	// the number of these.
	fetchSource *engine
	fetchParts  int
}

// scorer looks at a pool for a prompt; it is nil without a pool.
func (p *enginePool) scorer(now time.Time, prompt Prompt) *engineScorer {
	if p == nil {
		return nil
	}
	shared := prompt.sharedParts()
	v := &engineScorer{
		pool: p, now: now, prompt: prompt, sharedParts: shared,
		prefixTokens: make([]int, len(shared)+1), duplicateTokens: make([]int, len(shared)+1),
	}
	if len(shared) == 0 {
		return v
	}
	for i, part := range shared {
		v.prefixTokens[i+1] = v.prefixTokens[i] + part.Tokens
	}
	for i := len(shared) - 1; i >= 0; i-- {
		v.duplicateTokens[i] = v.duplicateTokens[i+1]
		if now.Sub(p.lastPrefill[shared[i].ID]) < recentPrefillWindow {
			v.duplicateTokens[i] += shared[i].Tokens
		}
	}
	v.holders = p.holders[shared[0].ID]
	v.preferred = p.preferredEngine(shared[len(shared)-1].ID)
	v.findFetchSource()
	return v
}

// cachedParts is the number of leading cachedParts of the prompt that an engine has read.
func (v *engineScorer) cachedParts(e *engine) int {
	if !v.holders[e] {
		return 0
	}
	n := 1
	for n < len(v.sharedParts) {
		if _, found := e.parts[v.sharedParts[n].ID]; !found {
			break
		}
		n++
	}
	return n
}

func (v *engineScorer) findFetchSource() {
	if v.pool.tokenFetchTime == 0 {
		return
	}
	most := 0
	for e := range v.holders {
		if v.now.Before(e.suspectUntil) {
			continue
		}
		n := v.cachedParts(e)
		if known := v.prefixTokens[n]; known > most || known == most && v.fetchSource != nil && e.ID < v.fetchSource.ID {
			v.fetchSource, v.fetchParts, most = e, n, known
		}
	}
}

// best returns the engine with the least cost, or nil. The move is what reading
// the stages' results costs in a data centre; nil for requests without results.
func (v *engineScorer) best(late time.Time, move func(dataCentre string) time.Duration) *choice {
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
	for _, e := range v.pool.sortedEngines {
		if e.Cold && v.now.Before(e.nextColdRequest) {
			continue
		}
		c := v.cost(e)
		c.cost += moves[e.dcIndex]
		if e == v.preferred {
			c.cost -= preferredEngineBonus
		}
		if v.now.Add(c.firstEventDelay).After(late) {
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

func (v *engineScorer) cost(e *engine) choice {
	n := v.cachedParts(e)
	known := v.prefixTokens[n]
	c := choice{engine: e}
	c.prefillTime = v.pool.prefillTime(known, v.prompt.Tokens-known)
	c.cost = time.Duration(v.duplicateTokens[n]) * duplicatePrefillCost
	if v.fetchSource != nil && v.fetchSource != e {
		v.considerFetch(&c, known)
	}
	c.firstEventDelay = c.prefillTime + max(e.prefillsUntil.Sub(v.now), 0) + time.Duration(len(e.pendingPrefills))*activeRequestCost
	c.cost += c.firstEventDelay
	if e.Cold {
		c.cost += coldCost
	}
	if v.now.Before(e.suspectUntil) {
		c.cost += suspectCost
	}
	return c
}

// considerFetch weighs fetching what the source has read of the prompt beyond what the
// engine itself has.
func (v *engineScorer) considerFetch(c *choice, known int) {
	there, reread := v.prefixTokens[v.fetchParts], v.duplicateTokens[v.fetchParts]
	tokens := there - known
	if tokens < minFetchTokens {
		return
	}
	moving := time.Duration(tokens) * v.pool.tokenFetchTime
	if v.fetchSource.DataCentre != c.engine.DataCentre {
		moving *= 2
	}
	read := moving + v.pool.prefillTime(there, v.prompt.Tokens-there)
	cost := time.Duration(tokens)*fetchCost + time.Duration(reread)*duplicatePrefillCost
	if read+cost < c.prefillTime+c.cost {
		c.prefillTime, c.cost, c.fetchSource = read, cost, v.fetchSource
	}
}

// maxPreferredEngines bounds the parts whose home is remembered.
const maxPreferredEngines = 4096

// preferredEngine is the engine that rendezvous hashing names for a part.
func (p *enginePool) preferredEngine(part string) *engine {
	if e, found := p.preferredEngines[part]; found {
		return e
	}
	var best *engine
	weight := uint64(0)
	for _, e := range p.sortedEngines {
		if w := xxhash.Sum64String(part + "/" + e.ID); w >= weight {
			best, weight = e, w
		}
	}
	if best == nil {
		return nil
	}
	if len(p.preferredEngines) >= maxPreferredEngines {
		clear(p.preferredEngines)
	}
	p.preferredEngines[part] = best
	return best
}

// firstEventDelay is the expected time from the stages' results to the first event.
func (v *engineScorer) firstEventDelay(target time.Time) time.Duration {
	c := v.best(target, nil)
	if c == nil {
		return 0
	}
	return c.firstEventDelay
}

// chooseEngine picks and books the engine of a job whose results are there.
func (d *Dispatcher) chooseEngine(now time.Time, j *job) (engine, fetchFrom string) {
	p := d.enginePools[j.Prompt.Service]
	c := p.scorer(now, j.Prompt).best(j.Target, func(dataCentre string) time.Duration { return d.resultTransferCost(j, dataCentre) })
	if c == nil {
		return "", ""
	}
	j.engine = c.engine.ID
	j.dataCentre = c.engine.DataCentre
	p.bookRequest(now, c, j.ID, j.Prompt)
	if c.fetchSource != nil {
		fetchFrom = c.fetchSource.Address
	}
	return j.engine, fetchFrom
}

// resultTransferCost is what reading a job's results in a data centre costs for the bytes
// that cross, as time.
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

// bestDataCentre is the data centre with the least cost of an engine there and of
// the stages whose large results are read there.
func (d *Dispatcher) bestDataCentre(now time.Time, j *job, v *engineScorer) string {
	if v == nil || !j.hasLargeOutput() {
		return ""
	}
	costs := make([]time.Duration, len(v.pool.dataCentres))
	for i := range costs {
		costs[i] = math.MaxInt64
	}
	for _, e := range v.pool.sortedEngines {
		cost := v.cost(e).cost
		if e == v.preferred {
			cost -= preferredEngineBonus
		}
		costs[e.dcIndex] = min(costs[e.dcIndex], cost)
	}
	best, bestCost := "", time.Duration(math.MaxInt64)
	for i, dataCentre := range v.pool.dataCentres {
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
