package standin

import (
	"sync"
	"time"
)

// lagged is a value whose readers see it as it was a while ago.
type lagged[T any] struct {
	lag time.Duration

	mu      sync.Mutex
	samples []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

// record appends the value that holds from now on.
func (l *lagged[T]) record(v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.samples = append(l.samples, sample[T]{at: now, value: v})
	l.prune(now)
}

// read returns the value that held a lag ago.
func (l *lagged[T]) read() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(time.Now())
	if len(l.samples) == 0 {
		var none T
		return none
	}
	return l.samples[0].value
}

// prune drops the samples that a newer one outside the lag has replaced.
func (l *lagged[T]) prune(now time.Time) {
	seen := now.Add(-l.lag)
	for len(l.samples) > 1 && !l.samples[1].at.After(seen) {
		l.samples = l.samples[1:]
	}
}
