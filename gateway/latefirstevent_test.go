package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/roster"
)

// lateStream returns a stream for one engine, whose client leaves after two seconds.
func lateStream() (*stream, *roster.Roster) {
	r := roster.New(nil)
	r.SetServices(map[string]*catalog.Service{"llm": {Engine: true}})
	r.SetEndpoints(time.Now(), []catalog.Endpoint{{ID: "a", Service: "llm", State: catalog.Ready}}, roster.Continuous)
	return &stream{request: &request{
		gw: New(Options{Roster: r}), r: httptest.NewRequest(http.MethodPost, "/x", nil), progress: new(progress), started: time.Now(),
		service: "llm", route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(time.Minute),
	}}, r
}

// Streams that reached a sound engine only shortly before their clients leave must not mark it as down.
func TestLateStreamsDoNotMarkEngineAsDown(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent time.Duration
		down   bool
	}{
		{"sent shortly before", minFirstEventTimeout / 2, false},
		{"hung", 2 * minFirstEventTimeout, true},
	} {
		s, r := lateStream()
		ctx, cancel := context.WithCancelCause(t.Context())
		timeout := s.firstEventTimeout()
		cancel(errFirstEventLate)
		for range 2 {
			candidate := r.Candidates(time.Now(), s.filter())[0]
			now := time.Now()
			s.reportOutcome(ctx, now, &attempt{endpoint: candidate, sentAt: now.Add(-c.silent), patience: timeout}, roster.ConnectionLost)
		}
		if usable := len(r.Candidates(time.Now(), roster.Filter{Service: "llm", Healthy: true})) > 0; usable == c.down {
			t.Errorf("%s: usable is %v", c.name, usable)
		}
	}
}
