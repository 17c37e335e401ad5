package gateway

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/roster"
)

// A request has found no endpoint, as all were waiting for their turn, and asks how long to wait for one. An endpoint whose
// turn has come in between must be tried: clients got 503 instead.
func TestEndpointWhoseTurnHasComeIsTried(t *testing.T) {
	const coldTime = time.Hour
	cases := []struct {
		name      string
		endpoints []catalog.Endpoint
		want      bool
	}{
		{"none serves", []catalog.Endpoint{{ID: "leaving", Service: "llm", State: catalog.Draining}}, false},
		{"one takes the request now", []catalog.Endpoint{{ID: "ready", Service: "llm", State: catalog.Ready}}, true},
		{"one takes it after its turn", []catalog.Endpoint{{ID: "cold", Service: "llm", State: catalog.Ready, ColdRemaining: coldTime}}, true},
	}
	for _, c := range cases {
		r := roster.New(nil)
		r.SetServices(map[string]*catalog.Service{"llm": {Engine: true, ColdRate: 100, ColdPeriod: coldTime}})
		r.SetEndpoints(time.Now(), c.endpoints, roster.Continuous)
		if c.endpoints[0].ColdRemaining > 0 && !r.Begin(time.Now(), roster.Candidate{Endpoint: c.endpoints[0]}) {
			t.Fatal("the cold endpoint takes no request")
		}
		q := &request{gw: New(Options{Roster: r}), started: time.Now(), service: "llm", route: &catalog.Route{}}
		s := &stream{request: q}
		if got := s.awaitEndpoint(t.Context()); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
