// Package placement ranks the endpoints that may serve a request. It performs no I/O.
//
// For generate requests it balances prefix locality against load. Many sessions
// share few engines: an engine that has already read the shared parts of a prompt
// answers sooner, but an engine with more than its share of the requests answers
// all of them later.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/roster"
)

const (
	// loadBoundFactor is the multiple of the mean load from which an endpoint is
	// ranked after the less loaded ones. Loads below minLoadBound requests are
	// always accepted.
	loadBoundFactor = 1.6
	minLoadBound    = 6
	// failurePenalty is the cost of an endpoint that fails every request, as time;
	// it is scaled by the failure rate.
	failurePenalty = 800 * time.Millisecond
	// defaultLatency is assumed for endpoints without a measured latency.
	defaultLatency = 30 * time.Millisecond
	// remotePenalty is the cost of an endpoint in another data centre, as time.
	remotePenalty = 4 * time.Millisecond
	// failureRateThreshold is the failure rate from which an endpoint is ranked
	// after those that fail less often.
	failureRateThreshold = 0.5
	// unsoundFailureRate is the failure rate from which an endpoint is left out where others fail
	// less often. A single failure raises the rate to it for an instant.
	unsoundFailureRate = 0.3
)

// Sound returns the candidates that fail rarely, or all if there are none.
func Sound(candidates []roster.Candidate) []roster.Candidate {
	var sound []roster.Candidate
	for _, c := range candidates {
		if c.FailureRate < unsoundFailureRate {
			sound = append(sound, c)
		}
	}
	if len(sound) == 0 {
		return candidates
	}
	return sound
}

// ByPrefix returns the candidates in order of preference for a prompt whose
// shared prefix is identified by key. The order is that of rendezvous hashing,
// with overloaded and failing endpoints last.
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

// ByLoad returns the candidates in order of expected response time as seen from
// dataCentre. A hash of seed orders candidates of equal cost.
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

// cost returns the expected response time of a candidate, including the penalties
// for failures and for another data centre.
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
	// Rounding makes similar endpoints equal, so that the hash spreads requests
	// over them.
	return expected.Round(costResolution)
}

// costResolution is the resolution at which costs are compared. Smaller
// differences between endpoints do not matter.
const costResolution = 5 * time.Millisecond
