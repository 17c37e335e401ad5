package entry

import "math/rand/v2"

// Occupancy chooses the better of two random candidates by the share of its
// limit in use, as carried on replies. It leaves the time of calls out, which
// follows the mix of short and long calls as much as the endpoint.
type Occupancy struct{ intN func(int) int }

// NewOccupancy returns an Occupancy.
func NewOccupancy() *Occupancy { return &Occupancy{intN: rand.IntN} }

// Choose implements Chooser.
func (o *Occupancy) Choose(_ Query, candidates []Candidate) int {
	return twoChoices(o.intN, candidates, func(a, b Candidate) bool { return inUse(a) < inUse(b) })
}

// inUse is the share of the limit that would be in use with one more call.
func inUse(c Candidate) float64 {
	return float64(c.Load.InFlight+c.SentSinceLoad+1) / float64(max(c.Load.Limit, 1))
}
