package entry

import (
	"math/rand/v2"
	"time"
)

// sharedSlowdown is by how much a full endpoint slows each of its calls down,
// as a share of their mean time.
const sharedSlowdown = 0.5

// PredictShared is Predict for endpoints whose calls slow each other down, as
// those of a continuous batch do: among endpoints with free slots the emptier
// one finishes first.
func PredictShared(c Candidate) time.Duration {
	finish := Predict(c)
	limit := max(c.Load.Limit, 1)
	beside := min(c.Load.InFlight+c.Since, limit)
	service := time.Duration(c.Load.ServiceUS) * time.Microsecond
	return finish + time.Duration(sharedSlowdown*float64(service)*float64(beside)/float64(limit))
}

// SharedFinishTime chooses as FinishTime does, but by PredictShared.
type SharedFinishTime struct{ intN func(int) int }

// NewSharedFinishTime returns a SharedFinishTime.
func NewSharedFinishTime() *SharedFinishTime { return &SharedFinishTime{intN: rand.IntN} }

// Choose implements Chooser.
func (f *SharedFinishTime) Choose(q Query, candidates []Candidate) int {
	best := twoChoices(f.intN, candidates, func(a, b Candidate) bool { return PredictShared(a) < PredictShared(b) })
	if q.Affinity == "" {
		return best
	}
	home := homeOf(q.Affinity, candidates)
	service := time.Duration(candidates[home].Load.ServiceUS) * time.Microsecond
	saving := time.Duration(affinitySaving * float64(service))
	if PredictShared(candidates[home])-saving <= PredictShared(candidates[best]) {
		return home
	}
	return best
}
