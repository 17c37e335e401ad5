package entry

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin is a baseline that takes the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Choose implements Chooser.
func (r *RoundRobin) Choose(_ Query, candidates []Candidate) int {
	return int(r.next.Add(1) % uint64(len(candidates)))
}

// LeastInFlight is a baseline that takes the candidate with the fewest of this
// entry's own calls in flight.
type LeastInFlight struct{}

// Choose implements Chooser.
func (LeastInFlight) Choose(_ Query, candidates []Candidate) int {
	best := rand.IntN(len(candidates))
	for i, c := range candidates {
		if c.OwnInFlight < candidates[best].OwnInFlight {
			best = i
		}
	}
	return best
}

// PowerOfTwoChoices is a baseline that takes the better of two random candidates
// by this entry's own calls in flight.
type PowerOfTwoChoices struct{}

// Choose implements Chooser.
func (PowerOfTwoChoices) Choose(_ Query, candidates []Candidate) int {
	return twoChoices(rand.IntN, candidates, func(a, b Candidate) bool { return a.OwnInFlight < b.OwnInFlight })
}

// Random is a baseline that takes any candidate.
type Random struct{}

// Choose implements Chooser.
func (Random) Choose(_ Query, candidates []Candidate) int { return rand.IntN(len(candidates)) }

// ChooserNames lists the names of choosers, the default first.
var ChooserNames = []string{"occupancy", "finish-time", "round-robin", "least-in-flight", "two-choices", "random"}

// ChooserByName returns the chooser of a name, or nil.
func ChooserByName(name string) Chooser {
	switch name {
	case "finish-time":
		return NewFinishTime()
	case "round-robin":
		return &RoundRobin{}
	case "least-in-flight":
		return LeastInFlight{}
	case "two-choices":
		return PowerOfTwoChoices{}
	case "random":
		return Random{}
	case "occupancy":
		return NewOccupancy()
	}
	return nil
}
