package entry

import (
	"math/rand/v2"
	"time"
)

const (
	// sharedSlowdown is by how much a full endpoint slows each of its calls
	// down, as a share of their mean time.
	sharedSlowdown = 0.5
	// sharedSaving is the share of a call's time for which a call with affinity
	// goes to a fuller home.
	sharedSaving = 0.1
)

// PredictShared is Predict for endpoints whose calls slow each other down, as
// those of a continuous batch do: among endpoints with free slots the emptier
// one finishes first.
func PredictShared(c Candidate) time.Duration {
	limit := max(c.Load.Limit, 1)
	beside := min(c.Load.InFlight+c.Since, limit)
	service := time.Duration(c.Load.ServiceUS) * time.Microsecond
	return Predict(c) + time.Duration(sharedSlowdown*float64(service)*float64(beside)/float64(limit))
}

// SharedFinishTime chooses the better of two random candidates by
// PredictShared. A call with affinity goes to its home endpoint while that is
// only a little fuller.
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
	saving := time.Duration(sharedSaving * float64(candidates[home].Load.ServiceUS) * float64(time.Microsecond))
	if predictSharedBusy(candidates[home])-saving <= predictSharedBusy(candidates[best]) {
		return home
	}
	return best
}

// predictSharedBusy is PredictShared for an endpoint whose last call has just
// ended, as predictBusy is Predict.
func predictSharedBusy(c Candidate) time.Duration {
	c.Idle = 0
	return PredictShared(c)
}
