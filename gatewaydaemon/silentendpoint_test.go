package gatewaydaemon

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
	"github.com/azurelead/azurelead/roster"
)

// silentDeployment starts one entry with endpoints of every service, and a resumable route with stages whose
// clients wait two seconds for an event.
func silentDeployment(t *testing.T) (d *deployment, engines []*fleettest.Server, portal *fleettest.Server) {
	d = newDeployment(t, 1)
	_, _, engine1, engine2, portal := d.startEndpoints(nil)
	d.putSilentRoutes(2, nil)
	d.waitReady()
	d.eventually("the route is in force", func() bool {
		table := d.entries[0].daemon.table.Load()
		return table != nil && table.Version == 2
	})
	return d, []*fleettest.Server{engine1, engine2}, portal
}

// putSilentRoutes stores a configuration with changed fields of the route.
func (d *deployment) putSilentRoutes(version int, changes map[string]any) {
	fields := map[string]any{
		"resumable": true, "timeoutMs": 9000, "targetLatencyMs": 400, "targetGapMs": 100,
		"stages": []map[string]any{{"service": "portal", "after": []int{}, "bytes": 8000}},
	}
	for k, v := range changes {
		fields[k] = v
	}
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(version,
		[]map[string]any{
			fleettest.Route("look", "/look/", "idempotent", "api", nil),
			fleettest.Route("long", "/stream/long/", "streaming", "llm", fields),
		},
		[]map[string]any{fleettest.Service("api"), fleettest.EngineService("llm"), fleettest.StageService("portal")}, nil))
}

// sendLong sends a request to the route of putSilentRoutes.
func (d *deployment) sendLong() result {
	return d.send(d.entries[0], "POST", "/stream/long/x", http.Header{"Azurelead-Chunks": {"1"}, "Azurelead-Chunk-Key": {"k"}, "Azurelead-Timeout-Ms": {"9000"}})
}

// A sound endpoint falls silent in the middle of a stream and goes on. The stream must reach its end, whether
// or not another endpoint could take it over.
func TestSilentStreamIsNotCut(t *testing.T) {
	const silence = 1800 * time.Millisecond
	cases := []struct {
		name string
		// before is how long the stream runs before the silence, in events of 100 ms.
		before int
		// prepare takes away what a replacement needs.
		prepare func(d *deployment, engines []*fleettest.Server, portal *fleettest.Server)
	}{
		{"later than clients wait for a first event", 22, func(*deployment, []*fleettest.Server, *fleettest.Server) {}},
		{"the stages are refused", 5, func(_ *deployment, _ []*fleettest.Server, portal *fleettest.Server) {
			portal.SetBehaviour(alwaysBehave(fleettest.Shed))
		}},
		{"the stages have no endpoint", 5, func(d *deployment, _ []*fleettest.Server, portal *fleettest.Server) {
			d.store.Delete(fleet.KindEndpoints, portal.ID)
			d.eventually("the endpoint is gone", func() bool { return len(d.entries[0].daemon.roster.Endpoints(time.Now(), "portal")) == 0 })
		}},
		{"the other engine has failed", 5, func(d *deployment, engines []*fleettest.Server, _ *fleettest.Server) {
			for _, e := range engines {
				if len(e.Runs()) == 0 {
					e.SetBehaviour(alwaysBehave(fleettest.Hang))
					now := time.Now()
					for i := range 6 {
						// Only failures after the backoff of the one before make it longer.
						d.entries[0].daemon.roster.Report(now.Add(time.Duration(i-5)*10*time.Second), d.entries[0].listed("llm", e), roster.Unreachable, 0)
					}
				}
			}
		}},
		{"the route moves to another service", 5, func(d *deployment, _ []*fleettest.Server, _ *fleettest.Server) {
			d.putSilentRoutes(3, map[string]any{"service": "api", "timeoutMs": 2000})
			d.eventually("the route has moved", func() bool { return d.entries[0].daemon.table.Load().Version == 3 })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d, engines, portal := silentDeployment(t)
			for _, e := range engines {
				e.SetStream(c.before+3, 100*time.Millisecond)
			}
			answered := make(chan result, 1)
			go func() {
				answered <- d.sendLong()
			}()
			d.eventually("the engine has the request", func() bool { return len(engines[0].Runs())+len(engines[1].Runs()) > 0 })
			time.Sleep(time.Duration(c.before) * 100 * time.Millisecond)
			c.prepare(d, engines, portal)
			for _, e := range engines {
				if len(e.Runs()) > 0 {
					e.FallSilent(silence)
				}
			}
			if r := <-answered; r.err != nil || r.body != events(c.before+3) {
				t.Errorf("status %d, error %v, events %q", r.status, r.err, r.body)
			}
		})
	}
}

// A stream that breaks off later than clients wait for a first event must go on: the wait counts from its last
// event.
func TestStreamThatBreaksLateIsResumed(t *testing.T) {
	const eventCount = 80
	d, engines, _ := silentDeployment(t)
	var broken atomic.Bool
	for _, e := range engines {
		e.SetStream(eventCount, 60*time.Millisecond)
		e.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
			if broken.CompareAndSwap(false, true) {
				return fleettest.ResetMidResponse
			}
			return fleettest.Serve
		})
	}
	if r := d.sendLong(); r.err != nil || r.body != events(eventCount) {
		t.Errorf("status %d, error %v, %d of %d events", r.status, r.err, strings.Count(r.body, "\n\n"), eventCount)
	}
}

// The only endpoint that takes a request is silent for a while. Its answer must be awaited: ending the attempt
// leaves the client with an error.
func TestAnswerOfSilentEndpointIsAwaited(t *testing.T) {
	d := newDeployment(t, 1)
	api1, api2, _, _, _ := d.startEndpoints(nil)
	api2.SetBehaviour(alwaysBehave(fleettest.Shed))
	d.waitReady()
	api1.FallSilent(1800 * time.Millisecond) // an attempt is alone for 1.2 s
	if r := d.send(d.entries[0], "GET", "/look/x", nil); r.status != http.StatusOK || !strings.HasSuffix(r.body, " to "+r.id) {
		t.Errorf("%+v", r)
	}
}

// An endpoint that hangs must not hold a request that another one answers.
func TestHungEndpointIsReplaced(t *testing.T) {
	d := newDeployment(t, 1)
	api1, api2, _, _, _ := d.startEndpoints(nil)
	var hung atomic.Bool
	hangOnce := func(int, *http.Request) fleettest.Behaviour {
		if hung.CompareAndSwap(false, true) {
			return fleettest.Hang
		}
		return fleettest.Serve
	}
	api1.SetBehaviour(hangOnce)
	api2.SetBehaviour(hangOnce)
	d.waitReady()
	if r := d.send(d.entries[0], "GET", "/look/x", nil); r.status != http.StatusOK || !strings.HasSuffix(r.body, " to "+r.id) {
		t.Errorf("%+v", r)
	}
}

// A stream that the entry itself takes away from a silent endpoint is no evidence that its request crashes endpoints, even
// if the endpoint is lost just after.
func TestAbandonedStreamIsNotSuspected(t *testing.T) {
	d, engines, _ := silentDeployment(t)
	for _, e := range engines {
		e.SetStream(3, 10*time.Millisecond)
	}
	e := d.entries[0].daemon
	d.putSilentRoutes(3, map[string]any{"targetLatencyMs": 2000}) // clients wait until the deadline
	d.eventually("the route is in force", func() bool { return e.table.Load().Version == 3 })
	for range 3 {
		e.retryBudgets.For("llm").Deposit(1000)
		var taken atomic.Bool
		for _, engine := range engines {
			engine.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
				if taken.CompareAndSwap(false, true) {
					return fleettest.StallAfterEvent
				}
				return fleettest.Serve
			})
		}
		if r := d.sendLong(); r.err != nil || r.body != events(3) {
			t.Fatalf("status %d, error %v, events %q", r.status, r.err, r.body)
		}
		for _, engine := range engines {
			e.gateway.EndpointLost(engine.ID)
		}
	}
	if r := d.sendLong(); r.status != http.StatusOK {
		t.Errorf("%+v", r)
	}
	// A run that ends well clears the mark of a crash.
	if n, found := d.entries[0].metric(t, "azurelead_suspect_requests_cleared_total", map[string]string{}); !found || n > 0 {
		t.Errorf("%v marks of the request were cleared, want none", n)
	}
}

// A request is sent to another endpoint beside a silent one only within the attempts of its route and the retry budget.
func TestHedgesAreBounded(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts int
		spend    bool
	}{{"one attempt", 1, false}, {"retry budget spent", 2, true}} {
		d := newDeployment(t, 1)
		api1, api2, _, _, _ := d.startEndpoints(nil)
		d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(2,
			[]map[string]any{fleettest.Route("look", "/look/", "idempotent", "api", map[string]any{"attempts": c.attempts})},
			[]map[string]any{fleettest.Service("api"), fleettest.StageService("portal")}, nil))
		d.waitReady()
		d.eventually("the route is in force", func() bool { return d.entries[0].daemon.table.Load().Version == 2 })
		for budget := d.entries[0].daemon.retryBudgets.For("api"); c.spend && budget.TryWithdraw(); {
		}
		api1.FallSilent(1800 * time.Millisecond)
		api2.FallSilent(1800 * time.Millisecond)
		if r := d.send(d.entries[0], "GET", "/look/x", nil); r.status != http.StatusOK {
			t.Errorf("%s: %+v", c.name, r)
		}
		if n := len(api1.Runs()) + len(api2.Runs()); n != 1 {
			t.Errorf("%s: %d runs, want 1", c.name, n)
		}
	}
}

// A sound endpoint stands still right after a response without a length, and accepts no connection for a second. The
// response must be passed on as whole: the endpoint has not refused the connection that shows whether it is up.
func TestUnframedResponseOfSilentEndpointIsWhole(t *testing.T) {
	prepare := map[string]func(d *deployment) []*fleettest.Server{
		"/stream/plain/x": func(d *deployment) []*fleettest.Server { return d.startEngines(2, 2) },
		"/stream/again/x": func(d *deployment) []*fleettest.Server { return d.startEngines(2, 2) },
		"/book/x": func(d *deployment) []*fleettest.Server {
			api1, api2, _, _, _ := d.startEndpoints(nil)
			d.waitReady()
			return []*fleettest.Server{api1, api2}
		},
	}
	for path, start := range prepare {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			servers := start(d)
			for _, s := range servers {
				s.SetBehaviour(func(_ int, r *http.Request) fleettest.Behaviour {
					if r.RequestURI != path {
						return fleettest.Serve
					}
					if err := s.HoldConnections(time.Second); err != nil {
						t.Error(err)
					}
					return fleettest.CloseDelimited
				})
			}
			r := d.send(d.entries[0], "POST", path, nil)
			whole := r.body == events(12) || strings.HasSuffix(r.body, " to "+r.id)
			if r.err != nil || r.status != http.StatusOK || !whole || runsOf(servers, r.id) != 1 {
				t.Errorf("%d runs, %+v", runsOf(servers, r.id), r)
			}
		})
	}
}
