package dispatch

import (
	"sync"
	"time"
)

const (
	// maxReadDelay is the delay at which waiting for a sign that the inputs were read costs no more
	// than freeing them early.
	maxReadDelay = time.Second
	// readDelayDecay is the time without a miss after which the delay is halved.
	readDelayDecay = 20 * time.Second
)

// ReadDelay is the time after which a reader of stage results is taken to have fetched them, so that
// they can be freed while it still works on them. It grows when results turn out to be freed too
// early, and returns to its initial value while they do not. It is safe for concurrent use.
//
// The load that it answers is a burst on stages with large results: their memory, not their calls,
// bounds the burst, and results that stay stored while they are worked on take most of it.
type ReadDelay struct {
	initial time.Duration

	mu        sync.Mutex
	current   time.Duration
	changedAt time.Time
}

// NewReadDelay returns a ReadDelay that begins with initial, which is to be well above the time in
// which an idle reader fetches its inputs.
func NewReadDelay(initial time.Duration) *ReadDelay {
	return &ReadDelay{initial: initial, current: initial}
}

// Get returns the delay.
func (r *ReadDelay) Get(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.current > r.initial && now.Sub(r.changedAt) >= readDelayDecay {
		r.current, r.changedAt = max(r.current/2, r.initial), r.changedAt.Add(readDelayDecay)
	}
	return r.current
}

// Missed records that a reader found results freed that it had not fetched yet.
func (r *ReadDelay) Missed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current, r.changedAt = min(2*r.current, maxReadDelay), now
}
