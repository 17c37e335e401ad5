package entry

import (
	"sync"
	"time"

	"github.com/azurelead/azurelead/pipeline"
)

// spending is what an attempt is known to have consumed before its result. A
// call that is cut brings no result, so that this is all that is known of it.
type spending struct {
	mu     sync.Mutex
	tokens int
	first  time.Time // when the first token came
}

// came records that the attempt's tokens have come up to a number of them.
func (s *spending) came(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first.IsZero() {
		s.first = time.Now()
	}
	s.tokens = max(s.tokens, tokens)
}

// usage returns the least that was consumed: the tokens that came, and the
// endpoint's time since the first of them.
func (s *spending) usage() pipeline.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first.IsZero() {
		return pipeline.Usage{}
	}
	return pipeline.Usage{GeneratedTokens: s.tokens, EndpointUS: time.Since(s.first).Microseconds()}
}
