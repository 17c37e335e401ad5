package dispatch

import "time"

// reservation is the turn of an engine with a limit that a job takes at its admission.
type reservation struct {
	engine string
	turn   time.Time
}

// nextTurn returns the engine with a limit that has the earliest turn, or nil if an engine without one may
// serve the prompt, or none may.
//
// The load that it answers is a service whose engines all state rate limits below the load. Their turns are
// reserved at admission, so that no stages run for requests that no engine would take.
func (s *engineScorer) nextTurn() *engine {
	if s == nil {
		return nil
	}
	var next *engine
	for _, e := range s.pool.sortedEngines {
		switch {
		case !s.mayServe(e):
		case e.RequestInterval == 0:
			return nil
		case next == nil || e.nextTurn.Before(next.nextTurn):
			next = e
		}
	}
	return next
}

const (
	// topTurnDelay is how long the most urgent requests may wait for a turn after their stages. Each rank
	// waits turnDelayStep less, which leaves turns for more urgent requests.
	topTurnDelay  = time.Second
	turnDelayStep = 200 * time.Millisecond
	minTurnDelay  = 200 * time.Millisecond
	// retryTurnDelay is what a client that returns after a refusal may wait longer.
	retryTurnDelay = 300 * time.Millisecond
)

// maxTurnDelay returns how long a job may wait for a turn after its stages. It does not depend on the
// deadline, because jobs with a late deadline would reserve all turns before those with an early one arrive.
func maxTurnDelay(j Job) time.Duration {
	delay := max(topTurnDelay-time.Duration(j.Rank)*turnDelayStep, minTurnDelay)
	if j.Retry {
		delay += retryTurnDelay
	}
	return delay
}

// delayUntilTurn returns how long a job has to wait for a turn after its stages, which take the time
// forecast. It returns 0 for a nil engine.
func (e *engine) delayUntilTurn(now time.Time, forecast time.Duration) time.Duration {
	if e == nil {
		return 0
	}
	return max(e.nextTurn.Sub(now.Add(forecast)), 0)
}

// reserve takes the engine's next turn for a job whose stages take the time forecast. It reserves nothing
// at a nil engine.
func (e *engine) reserve(now time.Time, forecast time.Duration) reservation {
	if e == nil {
		return reservation{}
	}
	return reservation{engine: e.ID, turn: e.takeTurn(now.Add(forecast))}
}
