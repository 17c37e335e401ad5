package telemetry

import "sync"

const (
	// maxLabelValues is the maximum number of distinct values of one label. Routes and
	// organisations change with the configuration, and the registry never frees the counters of
	// a value.
	maxLabelValues = 100
	// OtherLabel replaces the values beyond the maximum.
	OtherLabel = "other"
)

// LabelLimiter limits the number of distinct values of one metric label. The zero value is ready
// to use. It is safe for concurrent use.
type LabelLimiter struct {
	mu   sync.Mutex
	seen map[string]bool
}

// Limit returns value, or OtherLabel if it is new and the maximum has been reached.
func (l *LabelLimiter) Limit(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.seen[value]:
		return value
	case len(l.seen) >= maxLabelValues:
		return OtherLabel
	case l.seen == nil:
		l.seen = make(map[string]bool)
	}
	l.seen[value] = true
	return value
}
