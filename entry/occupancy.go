package entry

import "math/rand/v2"

// Occupancy chooses the one of two random candidates with the lower utilisation of its
// concurrency limit, as reported on replies. It ignores service times, because they
// depend on the mix of short and long calls as much as on the endpoint.
type Occupancy struct{ intN func(int) int }

// NewOccupancy returns an Occupancy.
func NewOccupancy() *Occupancy { return &Occupancy{intN: rand.IntN} }

// Choose implements Chooser.
func (o *Occupancy) Choose(_ Query, candidates []Candidate) int {
	return twoChoices(o.intN, candidates, func(a, b Candidate) bool { return utilisation(a) < utilisation(b) })
}

// utilisation returns the fraction of the limit that would be in use with one more call.
func utilisation(c Candidate) float64 {
	return float64(c.Load.InFlight+c.SentSinceLoad+1) / float64(max(c.Load.Limit, 1))
}
