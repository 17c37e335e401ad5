package gateway

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/roster"
)

// A stream leaves a silent engine for one that has just been found to be reachable. It must be sent to that one also if
// another one has the lower load by then: that one may refuse it, and the stream is cut.
func TestStreamGoesToTheEngineThatWasSecured(t *testing.T) {
	r := roster.New(nil)
	r.SetServices(map[string]*catalog.Service{"llm": {Engine: true}})
	busy := catalog.Endpoint{ID: "busy", Service: "llm", State: catalog.Ready}
	r.SetEndpoints(time.Now(), []catalog.Endpoint{busy, {ID: "idle", Service: "llm", State: catalog.Ready}}, roster.Continuous)
	for range 10 {
		r.Begin(time.Now(), roster.Candidate{Endpoint: busy})
	}
	for secured, want := range map[string]string{"": "idle", "busy": "busy", "gone": "idle"} {
		q := &request{gw: New(Options{Roster: r}), started: time.Now(), service: "llm", route: &catalog.Route{}}
		s := &stream{request: q}
		q.secured.Store(&replacement{endpoint: secured})
		s.adoptSecured()
		if c, found := s.nextEngine(); !found || c.ID != want {
			t.Errorf("%q was secured, and the stream goes to %q, want %q", secured, c.ID, want)
		}
		if c, _ := s.nextEngine(); c.ID != "idle" {
			t.Errorf("%q was secured, and the next attempt after it goes to %q as well", secured, c.ID)
		}
	}
}
