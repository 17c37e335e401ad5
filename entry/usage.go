package entry

import (
	"sync"
	"time"

	"github.com/azurelead/azurelead/pipeline"
)

// usageTracker tracks what an attempt is known to have consumed before its result
// arrives. A call that is cut has no result, so nothing else is known about its usage.
type usageTracker struct {
	mu           sync.Mutex
	tokens       int
	firstTokenAt time.Time
}

// recordTokens records that the first tokens of the attempt, up to the given number,
// have arrived.
func (s *usageTracker) recordTokens(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = time.Now()
	}
	s.tokens = max(s.tokens, tokens)
}

// usage returns a lower bound of the usage: the tokens that have arrived, and the
// endpoint's time since the first of them.
func (s *usageTracker) usage() pipeline.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstTokenAt.IsZero() {
		return pipeline.Usage{}
	}
	return pipeline.Usage{GeneratedTokens: s.tokens, EndpointUS: time.Since(s.firstTokenAt).Microseconds()}
}
