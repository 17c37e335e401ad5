package gatewaydaemon

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
	"github.com/azurelead/azurelead/roster"
)

// A sound head made up for a body that broke off, so that no number of bad bodies marked an endpoint as failed.
func TestBadBodiesMarkEndpointAsFailed(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		behaviour          fleettest.Behaviour
	}{
		{"cut body", "POST", "/book/x", fleettest.ResetMidResponse},
		{"endless body", "POST", "/book/x", fleettest.EndlessBody},
		{"stream cut after its beginning", "POST", "/stream/plain/x", fleettest.ResetMidResponse},
		{"stream with an error inside", "POST", "/stream/plain/x", fleettest.ErrorBetweenEvents},
		{"page in place of a stream", "POST", "/stream/plain/x", fleettest.ErrorPage},
	} {
		d := newDeployment(t, 1)
		api1, api2, engine1, engine2, _ := d.startEndpoints(nil)
		faulty, spare, service := api1, api2, "api"
		if c.path != "/book/x" {
			faulty, spare, service = engine1, engine2, "llm"
		}
		d.store.Delete(fleet.KindEndpoints, spare.ID)
		faulty.SetBehaviour(alwaysBehave(c.behaviour))
		faulty.SetStream(20, 0)
		d.waitReady()
		healthy := func(at time.Time) int {
			return len(d.entries[0].daemon.roster.Candidates(at, roster.Filter{Service: service, Healthy: true}))
		}
		d.eventually("only one endpoint is left", func() bool { return healthy(time.Now()) == 1 })
		d.send(d.entries[0], c.method, c.path, nil)
		beforeSecond := time.Now()
		if n := healthy(beforeSecond); n != 1 {
			t.Errorf("%s: one failure marks the endpoint as failed", c.name)
		}
		d.send(d.entries[0], c.method, c.path, nil)
		if n := healthy(beforeSecond); n != 0 || len(faulty.Runs()) != 2 {
			t.Errorf("%s: the endpoint is in use after %d failures", c.name, len(faulty.Runs()))
		}
	}
}

// Nearly every stream was booked at an engine whose streams all broke off.
func TestEngineWithBrokenStreamsIsAvoided(t *testing.T) {
	const requests, senders, minPause = 60, 4, 500 * time.Millisecond
	for _, events := range []int{beginningOfStream, 4 * beginningOfStream} {
		for _, path := range []string{"/stream/again/x", "/stream/plain/x"} {
			d := newDeployment(t, 1)
			_, _, engine1, engine2, _ := d.startEndpoints(nil)
			engine1.SetStream(events, 0)
			engine2.SetStream(events, 0)
			engine1.SetBehaviour(alwaysBehave(fleettest.ResetMidResponse))
			d.waitReady()
			start := time.Now()
			send := func(n int) {
				for range n {
					d.send(d.entries[0], http.MethodPost, path, nil)
				}
			}
			// Each pause lets one stream of a sender through, or more if it begins soundly.
			check := func(sent, sending int) {
				allowed := 2 + 2*sending*int(1+time.Since(start)/minPause)
				if n := len(engine1.Runs()); n > allowed {
					t.Errorf("%s, %d events: %d of %d streams reached the faulty engine, want %d or fewer", path, events, n, sent, allowed)
				}
			}
			send(requests)
			check(requests, 1)
			var group sync.WaitGroup
			for range senders {
				group.Go(func() { send(requests / senders) })
			}
			group.Wait()
			check(2*requests, senders)
		}
	}
}

// beginningOfStream is the number of events that count as the beginning of a stream.
const beginningOfStream = 5

// An engine that refuses, or fails with an error of its own, got every stream that the dispatcher booked there.
func TestEngineThatRefusesOrFailsIsAvoided(t *testing.T) {
	const requests = 40
	for name, b := range map[string]fleettest.Behaviour{"refuses": fleettest.Shed, "fails": fleettest.FailAfterRun} {
		d := newDeployment(t, 1)
		_, _, engine1, _, _ := d.startEndpoints(nil)
		engine1.SetBehaviour(alwaysBehave(b))
		d.waitReady()
		start := time.Now()
		for range requests {
			d.send(d.entries[0], http.MethodPost, "/stream/again/x", nil)
		}
		// The failure rate decays, so that the engine is tried again now and then.
		allowed := 4 + int(time.Since(start)/(50*time.Millisecond))
		if n := engine1.Requests(); n > allowed || n == 0 {
			t.Errorf("an engine that %s: %d of %d streams reached it, want 1 to %d", name, n, requests, allowed)
		}
	}
}

// Streams that were cut at their own deadlines, a moment after an event, marked a sound engine as failed.
func TestStreamsCutAtDeadlineKeepEngine(t *testing.T) {
	const gap = 400 * time.Millisecond
	d := newDeployment(t, 1)
	_, _, engine1, engine2, _ := d.startEndpoints(nil)
	d.store.Delete(fleet.KindEndpoints, engine2.ID)
	engine1.SetStream(1000, gap)
	d.waitReady()
	healthy := func() int {
		return len(d.entries[0].daemon.roster.Candidates(time.Now(), roster.Filter{Service: "llm", Healthy: true}))
	}
	d.eventually("only one endpoint is left", func() bool { return healthy() == 1 })
	for i := range 3 {
		r := d.send(d.entries[0], http.MethodPost, "/stream/plain/x", http.Header{"Azurelead-Timeout-Ms": {"1500"}})
		if r.body == "" || r.err == nil || healthy() != 1 {
			t.Errorf("stream %d: %q, error %v, %d endpoints are healthy", i, r.body, r.err, healthy())
		}
	}
}
