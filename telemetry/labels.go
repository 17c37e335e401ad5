package telemetry

import "sync"

const (
	// maxLabelValues bounds the values of one label: routes and organisations come
	// and go with configurations, and each value keeps its counters for good.
	maxLabelValues = 100
	// OtherLabel stands for the values beyond the bound.
	OtherLabel = "other"
)

// LabelLimiter bounds the values of one label. The zero value is ready to use, and is
// safe for concurrent use.
type LabelLimiter struct {
	mu   sync.Mutex
	seen map[string]bool
}

// Limit returns the value, or OtherLabel when there are too many others.
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
