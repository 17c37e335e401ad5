package gatewaydaemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// One part of a prompt crashes every engine that begins an answer on it, whatever else the request holds.
// Requests with it come at any entry, no two alike. Once five engines have crashed and contactMs has
// passed, at most three of them may reach an engine, and requests that share their other parts and their
// key must still be served at the first attempt.
func TestCrashingPromptPartIsRefusedAlone(t *testing.T) {
	const (
		engines        = 60
		crashesToLearn = 5
		contact        = 3 * time.Second
		maxAfterwards  = 3
	)
	d := newDeployment(t, 3)
	d.startEndpoints(nil)
	var crashes, reached atomic.Int64
	for i := range engines {
		s := fleettest.NewServer(fmt.Sprintf("engine-%d", i))
		t.Cleanup(s.Close)
		s.SetBehaviour(func(_ int, r *http.Request) fleettest.Behaviour {
			if !strings.Contains(r.Header.Get("Azurelead-Prompt-Prefix"), "dead:") {
				return fleettest.Serve
			}
			reached.Add(1)
			crashes.Add(1)
			go s.Close()
			return fleettest.Hang
		})
		d.store.Put(fleet.KindEndpoints, s.ID, s.EndpointSpec("victims", "north"))
	}
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(9,
		[]map[string]any{fleettest.Route("ask", "/stream/ask/", "streaming", "victims", map[string]any{"resumable": true, "sticky": true})},
		[]map[string]any{fleettest.EngineService("victims"), fleettest.StageService("portal")}, map[string][]string{"org": {"key-1"}}))
	d.waitReady()
	for _, e := range d.entries {
		d.eventually("the route and the engines are known", func() bool {
			table := e.daemon.table.Load()
			return table != nil && table.Version == 9 && len(e.daemon.roster.Endpoints(time.Now(), "victims")) == engines
		})
	}
	var serial atomic.Int64
	// ask sends a request with the parts and one of its own.
	ask := func(e *entry, parts string) result {
		n := serial.Add(1)
		return d.send(e, "POST", fmt.Sprintf("/stream/ask/%d", n), http.Header{
			"Azurelead-Prompt-Prefix": {fmt.Sprintf("%s,own%d:50", parts, n)}, "Azurelead-Token-Usage": {"500,20"}, "Azurelead-Model": {"m"},
			"Azurelead-Key": {"key-1"},
		})
	}
	sound := func(e *entry) result { return ask(e, fmt.Sprintf("shared:200,other%d:100", serial.Load()%7)) }
	for i := 0; crashes.Load() < crashesToLearn; i++ {
		e := d.entries[i%len(d.entries)]
		ask(e, "shared:200,dead:100")
		sound(e)
	}
	time.Sleep(contact)
	reached.Store(0)
	var wg sync.WaitGroup
	var unserved atomic.Int64
	for i := range 30 {
		e := d.entries[i%len(d.entries)]
		wg.Go(func() { ask(e, "shared:200,dead:100") })
		wg.Go(func() {
			if r := sound(e); r.status != http.StatusOK || r.err != nil {
				unserved.Add(1)
			}
		})
		if i%3 == 2 {
			wg.Wait()
		}
	}
	wg.Wait()
	if n := reached.Load(); n > maxAfterwards {
		t.Errorf("%d requests with the part reached engines after the fifth crash, want at most %d", n, maxAfterwards)
	}
	if n := unserved.Load(); n > 0 {
		t.Errorf("%d of 30 requests that share the other parts were not served", n)
	}
}
