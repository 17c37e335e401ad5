package standin

import (
	"sync"
	"time"
)

// lagged is a value that readers see with a delay of lag.
type lagged[T any] struct {
	lag time.Duration

	mu      sync.Mutex
	samples []sample[T]
}

type sample[T any] struct {
	recordedAt time.Time
	value      T
}

// record sets the current value.
func (l *lagged[T]) record(v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.samples = append(l.samples, sample[T]{recordedAt: now, value: v})
	l.prune(now)
}

// read returns the value that was current one lag ago, or the oldest value if
// there was none yet.
func (l *lagged[T]) read() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(time.Now())
	if len(l.samples) == 0 {
		var zero T
		return zero
	}
	return l.samples[0].value
}

// prune removes the samples that were superseded more than a lag ago.
func (l *lagged[T]) prune(now time.Time) {
	cutoff := now.Add(-l.lag)
	for len(l.samples) > 1 && !l.samples[1].recordedAt.After(cutoff) {
		l.samples = l.samples[1:]
	}
}
