package entry

import (
	"math/rand/v2"
	"time"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/membership"
)

// Candidate is an eligible endpoint as a chooser sees it.
type Candidate struct {
	Name string
	// Load is the load reported on the agent's latest reply.
	Load link.Load
	// SentSinceLoad counts the calls that this entry has sent since that reply.
	SentSinceLoad int
	// OwnInFlight counts the calls of this entry that are in flight there.
	OwnInFlight int
	// IdleTime is the time since the last call of this entry ended there, 0 while one is
	// in flight.
	IdleTime time.Duration
	// Local reports whether the endpoint is in the entry's data centre.
	Local bool
}

// Query describes the call that an endpoint is chosen for.
type Query struct {
	// Affinity is the digest whose home endpoint is preferred; empty for none.
	Affinity string
}

// Chooser picks an endpoint.
type Chooser interface {
	// Choose returns the index of one of the candidates. There is at least one.
	Choose(q Query, candidates []Candidate) int
}

const (
	// remotePenalty is the round-trip time to another data centre.
	remotePenalty = time.Millisecond
	// prefixCacheSaving is the fraction of a call's service time that a cached prefix saves.
	prefixCacheSaving = 0.3
	// serviceTimeDecay is the idle time after which an endpoint's service time no longer
	// counts. An endpoint that was slow, or never used, is thus tried again.
	serviceTimeDecay = 5 * time.Second
)

// PredictFinishTime estimates how long a call sent now to c takes to finish.
func PredictFinishTime(c Candidate) time.Duration {
	service := time.Duration(c.Load.ServiceUS) * time.Microsecond
	weight := 1 - min(c.IdleTime.Seconds()/serviceTimeDecay.Seconds(), 1)
	finish := time.Duration(float64(service) * weight)
	if !c.Local {
		finish += remotePenalty
	}
	limit := max(c.Load.Limit, 1)
	excess := c.Load.InFlight + c.SentSinceLoad + 1 - limit
	if excess <= 0 {
		return finish
	}
	queue := time.Duration(c.Load.QueueUS) * time.Microsecond
	return finish + max(queue, service*time.Duration(excess)/time.Duration(limit))
}

// FinishTime chooses the one of two random candidates with the lower predicted finish
// time. A call with affinity goes to its home endpoint as long as the cached prefix
// there saves more than a longer queue costs.
type FinishTime struct{ intN func(int) int }

// NewFinishTime returns a FinishTime.
func NewFinishTime() *FinishTime { return &FinishTime{intN: rand.IntN} }

// Choose implements Chooser.
func (f *FinishTime) Choose(q Query, candidates []Candidate) int {
	best := twoChoices(f.intN, candidates, func(a, b Candidate) bool { return PredictFinishTime(a) < PredictFinishTime(b) })
	if q.Affinity == "" {
		return best
	}
	home := homeCandidate(q.Affinity, candidates)
	saving := time.Duration(prefixCacheSaving * float64(candidates[home].Load.ServiceUS) * float64(time.Microsecond))
	if predictWithoutDecay(candidates[home])-saving <= predictWithoutDecay(candidates[best]) {
		return home
	}
	return best
}

// predictWithoutDecay is PredictFinishTime for an endpoint whose last call has just
// ended. With the decay, idle endpoints would attract calls away from the endpoints
// that hold their cached prefixes.
func predictWithoutDecay(c Candidate) time.Duration {
	c.IdleTime = 0
	return PredictFinishTime(c)
}

// homeCandidate returns the index of the candidate with the highest rendezvous weight.
// All entries with the same candidates compute the same one.
func homeCandidate(digest string, candidates []Candidate) int {
	home, high := 0, uint64(0)
	for i, c := range candidates {
		if w := membership.Weight(digest, c.Name); w >= high {
			home, high = i, w
		}
	}
	return home
}

// twoChoices compares two distinct random candidates and returns the index of the better one.
func twoChoices(intN func(int) int, candidates []Candidate, less func(a, b Candidate) bool) int {
	n := len(candidates)
	if n == 1 {
		return 0
	}
	i := intN(n)
	j := intN(n - 1)
	if j >= i {
		j++
	}
	if less(candidates[j], candidates[i]) {
		return j
	}
	return i
}
