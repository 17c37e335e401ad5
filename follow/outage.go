package follow

import "time"

const (
	// outageThreshold is how long the store has to be silent before objects may have expired in it
	// although their endpoints still run.
	outageThreshold = 3 * time.Second
	// recoveryTime is how long after an outage such objects may be missing: the endpoints that are
	// alive register again within about two seconds.
	recoveryTime = 2 * time.Second
)

// outageDetector notices that the store answers again after an outage. It counts answers to any entry: the
// store is silent towards an entry that leaves reading it to others, and yet nothing expires.
type outageDetector struct {
	lastAnswer    time.Time
	recoversUntil time.Time
}

// recordAnswer notes that the store answered some entry at a time. It is called at the time now.
func (o *outageDetector) recordAnswer(at, now time.Time) {
	if !at.After(o.lastAnswer) {
		return
	}
	if !o.lastAnswer.IsZero() && at.Sub(o.lastAnswer) > outageThreshold {
		o.recoversUntil = now.Add(recoveryTime)
	}
	o.lastAnswer = at
}

// recovers reports whether the store has answered again after an outage only a short time ago.
func (o *outageDetector) recovers(now time.Time) bool { return now.Before(o.recoversUntil) }
