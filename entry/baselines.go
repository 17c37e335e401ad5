package entry

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin is a baseline chooser that takes the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Choose implements Chooser.
func (r *RoundRobin) Choose(_ Query, candidates []Candidate) int {
	return int(r.next.Add(1) % uint64(len(candidates)))
}

// LeastInFlight is a baseline chooser that takes the candidate with the fewest calls
// of this entry in flight.
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

// PowerOfTwoChoices is a baseline chooser that compares two random candidates and
// takes the one with fewer calls of this entry in flight.
type PowerOfTwoChoices struct{}

// Choose implements Chooser.
func (PowerOfTwoChoices) Choose(_ Query, candidates []Candidate) int {
	return twoChoices(rand.IntN, candidates, func(a, b Candidate) bool { return a.OwnInFlight < b.OwnInFlight })
}

// Random is a baseline chooser that takes a random candidate.
type Random struct{}

// Choose implements Chooser.
func (Random) Choose(_ Query, candidates []Candidate) int { return rand.IntN(len(candidates)) }

// ChooserNames lists the names that ChooserByName knows, the default first.
var ChooserNames = []string{"occupancy", "finish-time", "round-robin", "least-in-flight", "two-choices", "random"}

// ChooserByName returns the chooser with the given name, or nil if there is none.
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
