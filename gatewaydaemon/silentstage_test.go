package gatewaydaemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// Sound endpoints of a stage are silent for 1.2 s again and again. Their calls were ended and the tasks ran again,
// until these had failed too often and the requests were refused.
func TestStagesOfSilentEndpointsAreAwaited(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for _, c := range []struct {
		endpoints int
		period    time.Duration
	}{{1, 1300 * time.Millisecond}, {1, 3 * time.Second}, {2, 1300 * time.Millisecond}, {2, 3 * time.Second}} {
		d := newDeployment(t, 1)
		_, _, _, _, portal := d.startEndpoints(nil)
		portals := []*fleettest.Server{portal}
		for len(portals) < c.endpoints {
			s := fleettest.NewServer("s-portal-2")
			t.Cleanup(s.Close)
			d.store.Put(fleet.KindEndpoints, s.ID, s.EndpointSpec("portal", "north"))
			portals = append(portals, s)
		}
		d.putSilentRoutes(2, map[string]any{"timeoutMs": 60000, "targetLatencyMs": 10000})
		d.waitReady()
		d.eventually("all endpoints are known", func() bool {
			table := d.entries[0].daemon.table.Load()
			return table != nil && table.Version == 2 && len(d.entries[0].daemon.roster.Endpoints(time.Now(), "portal")) == c.endpoints
		})
		silences := time.NewTicker(c.period)
		done := make(chan struct{})
		go func() {
			for {
				for _, s := range portals {
					s.FallSilent(silence)
				}
				select {
				case <-silences.C:
				case <-done:
					silences.Stop()
					return
				}
			}
		}()
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 250 * time.Millisecond)
				r := d.send(d.entries[0], "POST", "/stream/long/x", http.Header{
					"Azurelead-Chunks": {"2"}, "Azurelead-Chunk-Key": {fmt.Sprint("k", i)}, "Azurelead-Timeout-Ms": {"60000"},
				})
				if r.status != http.StatusOK || r.body != events(3) {
					t.Errorf("%d endpoints, silent every %v: request %d: %+v", c.endpoints, c.period, i, r)
				}
			})
		}
		wg.Wait()
		close(done)
		made := 0
		for _, s := range portals {
			made += s.MadeResults()
		}
		t.Logf("%d endpoints, silent every %v: %d results made for 24 tasks", c.endpoints, c.period, made)
	}
}
