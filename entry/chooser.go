package entry

import (
	"math/rand/v2"
	"time"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/membership"
)

// Candidate is one eligible endpoint as the chooser sees it.
type Candidate struct {
	Name string
	// Load is the load on the agent's latest reply.
	Load link.Load
	// SentSinceLoad is how many calls this entry has sent since that reply.
	SentSinceLoad int
	// OwnInFlight is how many calls of this entry are in flight there.
	OwnInFlight int
	// IdleTime is how long ago a call of this entry ended there.
	IdleTime time.Duration
	// Local is set when the endpoint is in the entry's data centre.
	Local bool
}

// Query is what the choice is made for.
type Query struct {
	// Affinity is the digest whose home endpoint is preferred; empty for none.
	Affinity string
}

// Chooser picks one of the candidates, of which there is at least one.
type Chooser interface {
	Choose(q Query, candidates []Candidate) int
}

const (
	// remotePenalty is the round trip to another data centre.
	remotePenalty = time.Millisecond
	// affinitySaving is the share of a call's time that a cached prefix saves.
	affinitySaving = 0.3
	// forgetAfter is how long without a call it takes until the time of a call
	// there counts for nothing, so that an endpoint that was slow, or never
	// used, is tried again.
	forgetAfter = 5 * time.Second
)

// PredictFinishTime returns when a call that is sent now would finish at c.
func PredictFinishTime(c Candidate) time.Duration {
	service := time.Duration(c.Load.ServiceUS) * time.Microsecond
	fresh := 1 - min(c.IdleTime.Seconds()/forgetAfter.Seconds(), 1)
	finish := time.Duration(float64(service) * fresh)
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

// FinishTime chooses the better of two random candidates by predicted finish
// time. A call with affinity goes to its home endpoint while the prefix saved
// there outweighs the home's longer queue.
type FinishTime struct{ intN func(int) int }

// NewFinishTime returns a FinishTime.
func NewFinishTime() *FinishTime { return &FinishTime{intN: rand.IntN} }

// Choose implements Chooser.
func (f *FinishTime) Choose(q Query, candidates []Candidate) int {
	best := twoChoices(f.intN, candidates, func(a, b Candidate) bool { return PredictFinishTime(a) < PredictFinishTime(b) })
	if q.Affinity == "" {
		return best
	}
	home := homeOf(q.Affinity, candidates)
	saving := time.Duration(affinitySaving * float64(candidates[home].Load.ServiceUS) * float64(time.Microsecond))
	if predictBusy(candidates[home])-saving <= predictBusy(candidates[best]) {
		return home
	}
	return best
}

// predictBusy is Predict for an endpoint whose last call has just ended:
// forgetting would draw calls away from the prefixes that idle endpoints hold.
func predictBusy(c Candidate) time.Duration {
	c.IdleTime = 0
	return PredictFinishTime(c)
}

// homeOf returns the candidate with the highest rendezvous weight, which is
// the same for every entry that sees the same candidates.
func homeOf(digest string, candidates []Candidate) int {
	home, high := 0, uint64(0)
	for i, c := range candidates {
		if w := membership.Weight(digest, c.Name); w >= high {
			home, high = i, w
		}
	}
	return home
}

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
