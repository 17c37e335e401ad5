// Package placement chooses the endpoint of a request. It has no I/O.
//
// For generations the load it answers is many sessions over few engines: an
// engine that has read the shared parts of a prompt answers sooner, but one that
// has more than its share of requests answers all of them later.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/roster"
)

const (
	// loadBoundFactor is how many times its share of the load an endpoint may have
	// before the next one by rendezvous hashing is chosen; boundMin is allowed always.
	loadBoundFactor = 1.6
	minLoadBound    = 6
	// failurePenalty is the time that a sure failure counts for.
	failurePenalty = 800 * time.Millisecond
	// defaultLatency is taken for endpoints of which nothing is known.
	defaultLatency = 30 * time.Millisecond
	// remotePenalty is what another data centre costs, as time.
	remotePenalty = 4 * time.Millisecond
	// failureRateThreshold of failures passes an endpoint over while others fail less.
	failureRateThreshold = 0.5
)

// ByPrefix returns the candidates in the order of preference for a prompt
// whose shared part is key: rendezvous order, those above their share of the
// load and those that fail last.
func ByPrefix(key string, candidates []roster.Candidate) []roster.Candidate {
	total := 0
	for _, c := range candidates {
		total += c.Load
	}
	bound := minLoadBound
	if len(candidates) > 0 {
		bound = max(minLoadBound, int(loadBoundFactor*float64(total+1)/float64(len(candidates))))
	}
	type scored struct {
		roster.Candidate
		demoted bool
		weight  uint64
	}
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		list[i] = scored{Candidate: c, demoted: c.Load >= bound || c.FailureRate >= failureRateThreshold, weight: xxhash.Sum64String(key + "/" + c.ID)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.demoted != b.demoted {
			if b.demoted {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	out := make([]roster.Candidate, len(list))
	for i, s := range list {
		out[i] = s.Candidate
	}
	return out
}

// ByLoad returns the candidates in the order of expected time to answer.
func ByLoad(dataCentre string, candidates []roster.Candidate, seed string) []roster.Candidate {
	type scored struct {
		roster.Candidate
		cost time.Duration
		tie  uint64
	}
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		list[i] = scored{Candidate: c, cost: cost(dataCentre, c), tie: xxhash.Sum64String(seed + "/" + c.ID)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.tie, a.tie))
	})
	out := make([]roster.Candidate, len(list))
	for i, s := range list {
		out[i] = s.Candidate
	}
	return out
}

func cost(dataCentre string, c roster.Candidate) time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	slots := max(c.Slots, 1)
	expected := time.Duration(float64(latency) * (1 + float64(c.Load)/float64(slots)))
	expected += time.Duration(c.FailureRate * float64(failurePenalty))
	if c.DataCentre != dataCentre {
		expected += remotePenalty
	}
	// Rounding lets the hash spread requests over endpoints that are alike.
	return expected.Round(costResolution)
}

// costResolution is a difference that does not matter.
const costResolution = 5 * time.Millisecond
