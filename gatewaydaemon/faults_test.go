package gatewaydaemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// Requests are served although every third stage call runs and then loses its connection.
func TestStagesSurviveLostCalls(t *testing.T) {
	d := newDeployment(t, 3)
	_, _, _, _, portal := d.startEndpoints(nil)
	d.waitReady()
	d.eventually("the entries are linked", func() bool {
		for _, e := range d.entries {
			if len(e.daemon.mesh.LivePeers()) < 2 {
				return false
			}
		}
		return true
	})
	portal.SetBehaviour(func(n int, _ *http.Request) fleettest.Behaviour {
		if n%3 == 0 {
			return fleettest.ResetAfterRun
		}
		return fleettest.Serve
	})
	for i := range 12 {
		r := d.send(d.entries[i%3], "POST", "/stream/staged/x", http.Header{"Azurelead-Chunks": {"1,2"}, "Azurelead-Chunk-Key": {"k"}})
		if r.status != 200 {
			t.Errorf("%+v", r)
		}
	}
}

// A request that crashes every endpoint that runs it is refused after a few crashes, also when it
// is sent through another entry, while other requests are still served.
func TestCrashingRequestIsRefused(t *testing.T) {
	d := newDeployment(t, 2)
	d.startEndpoints(nil)
	var crashed atomic.Int64
	for i := range 8 {
		s := fleettest.NewServer(fmt.Sprintf("victim-%d", i))
		t.Cleanup(s.Close)
		s.SetBehaviour(func(_ int, r *http.Request) fleettest.Behaviour {
			if strings.HasPrefix(r.URL.Path, "/look/poison") {
				crashed.Add(1)
				go s.Close()
				return fleettest.Hang
			}
			return fleettest.Serve
		})
		d.store.Put(fleet.KindEndpoints, s.ID, s.EndpointSpec("victims", "north"))
	}
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(9,
		[]map[string]any{fleettest.Route("look", "/look/", "idempotent", "victims", nil)},
		[]map[string]any{fleettest.Service("victims"), fleettest.StageService("portal")}, nil))
	d.waitReady()
	for _, e := range d.entries {
		// The configuration and the endpoints arrive on separate watches, so an entry that knows
		// the route may not know all endpoints yet.
		d.eventually("the route and the endpoints are known", func() bool {
			return d.send(e, "GET", "/look/x", nil).status == 200 && len(e.daemon.roster.Endpoints(time.Now(), "victims")) == 8
		})
	}
	for _, e := range d.entries {
		d.eventually("the request is refused", func() bool {
			d.send(e, "GET", "/look/harmless", nil)
			return d.send(e, "GET", "/look/poison", nil).status == 503
		})
	}
	if n := crashed.Load(); n > 5 {
		t.Errorf("the request crashed %d endpoints, want at most 5", n)
	}
	for _, e := range d.entries {
		if r := d.send(e, "GET", "/look/x", nil); r.status != 200 {
			t.Errorf("another request: %+v", r)
		}
	}
}
