package gatewaydaemon

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
	"github.com/azurelead/azurelead/roster"
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

// The store is restored from a backup. What it had acknowledged since must not revert: a revoked
// key, an endpoint that leaves, an evacuated data centre. Entries that the backup lacks announce
// themselves again, and what is written after the restore is followed.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	d := newDeployment(t, 1)
	leaving, _, _, _, _ := d.startEndpoints(map[string][]string{"org": {"key-1", "key-2"}})
	evacuated := fleettest.NewServer("s-south")
	t.Cleanup(evacuated.Close)
	d.store.Put(fleet.KindEndpoints, evacuated.ID, evacuated.EndpointSpec("api", "south"))
	d.waitReady()
	backup := d.store.Backup()
	d.startEntry()
	d.waitReady()
	d.configure(2, map[string][]string{"org": {"key-2"}})
	spec := leaving.EndpointSpec("api", "north")
	spec["state"] = "draining"
	d.store.Put(fleet.KindEndpoints, leaving.ID, spec)
	d.store.Put(fleet.KindEvacuations, "south", map[string]any{})
	usable := func(e *entry) int { return len(e.daemon.roster.Endpoints(time.Now(), "api")) }
	look := func(e *entry, key string) int {
		return d.send(e, "GET", "/look/x", http.Header{"Azurelead-Key": {key}}).status
	}
	for _, e := range d.entries {
		d.eventually("the changes are in force", func() bool { return usable(e) == 1 && look(e, "key-1") == 401 })
	}
	d.eventually("both entries are announced", func() bool { return len(d.store.Names(fleet.KindEntries)) == 2 })

	d.store.SetFault(fleettest.Busy)
	d.store.Restore(backup)
	d.store.SetFault(fleettest.Healthy)
	before := leaving.Requests() + evacuated.Requests()
	d.eventually("both entries are announced again", func() bool { return len(d.store.Names(fleet.KindEntries)) == 2 })
	d.store.Put(fleet.KindEndpoints, "s-new", fleettest.NewServer("s-new").EndpointSpec("api", "north"))
	for _, e := range d.entries {
		d.eventually("an endpoint that registers after the restore is used", func() bool { return usable(e) == 2 })
		if status := look(e, "key-1"); status != 401 {
			t.Errorf("%s: revoked key after the restore: status %d, want 401", e.daemon.settings.Name, status)
		}
		if status := look(e, "key-2"); status != 200 {
			t.Errorf("%s: valid key after the restore: status %d, want 200", e.daemon.settings.Name, status)
		}
	}
	if n := leaving.Requests() + evacuated.Requests() - before; n != 0 {
		t.Errorf("endpoints that leave or are evacuated got %d requests after the restore", n)
	}
	d.configure(3, map[string][]string{"org": {"key-3"}})
	for _, e := range d.entries {
		d.eventually("the configuration written after the restore is in force", func() bool { return look(e, "key-2") == 401 })
	}
}

// An endpoint whose responses say that it leaves gets no more requests, although the list still
// calls it ready.
func TestLeavingEndpointGetsNoMoreRequests(t *testing.T) {
	d := newDeployment(t, 1)
	api1, _, _, _, portal := d.startEndpoints(nil)
	d.waitReady()
	e := d.entries[0]
	api1.SetLeaving()
	d.eventually("the leaving endpoint has answered", func() bool {
		d.send(e, "GET", "/look/x", nil)
		return api1.Requests() > 0
	})
	before := api1.Requests()
	for range 20 {
		if r := d.send(e, "GET", "/look/x", nil); r.status != 200 {
			t.Errorf("%+v", r)
		}
	}
	if n := api1.Requests() - before; n != 0 {
		t.Errorf("the leaving endpoint got %d more requests", n)
	}
	stage := func() result {
		return d.send(e, "POST", "/stream/staged/x", http.Header{"Azurelead-Chunks": {"1,0"}, "Azurelead-Chunk-Key": {"k"}})
	}
	if r := stage(); r.status != 200 {
		t.Errorf("%+v", r)
	}
	d.eventually("the results are freed", func() bool { return portal.HeldResults() == 0 })
	portal.SetLeaving()
	if r := stage(); r.status != 200 {
		t.Errorf("the stage call that brought the news: %+v", r)
	}
	before = portal.Requests()
	if r := stage(); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("without another endpoint of the stage: %+v", r)
	}
	d.eventually("the results are freed", func() bool { return portal.HeldResults() == 0 })
	if n := portal.Requests() - before; n > 1 {
		t.Errorf("the leaving stage endpoint got %d more calls, want at most the one that frees results", n)
	}
}

// An endpoint that asks for a pause gets nothing before its end. If all have asked for one, clients
// are told at once when to come back.
func TestPauseOfEndpointIsKept(t *testing.T) {
	d := newDeployment(t, 1)
	api1, api2, _, _, _ := d.startEndpoints(nil)
	pauseOnce := func(n int, _ *http.Request) fleettest.Behaviour {
		if n == 0 {
			return fleettest.Pause
		}
		return fleettest.Serve
	}
	api1.SetBehaviour(pauseOnce)
	api2.SetBehaviour(pauseOnce)
	d.waitReady()
	e := d.entries[0]
	start := time.Now()
	r := d.send(e, "GET", "/look/x", nil) // reaches both
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if r.status != 503 || err != nil || after > fleettest.PauseTime.Seconds() || after < fleettest.PauseTime.Seconds()-time.Since(start).Seconds() {
		t.Errorf("after both endpoints asked for a pause of %v: %+v, retry after %v", fleettest.PauseTime, r, after)
	}
	d.eventually("requests are served after the pause", func() bool { return d.send(e, "GET", "/look/x", nil).status == 200 })
	if waited := time.Since(start); waited < fleettest.PauseTime {
		t.Errorf("served %v after the pause began, want at least %v", waited, fleettest.PauseTime)
	}
	if n := api1.Requests() + api2.Requests(); n != 3 {
		t.Errorf("the endpoints got %d requests, want one each before the pause and one after it", n)
	}
}

// events returns the first n events of a fleettest stream.
func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// A slow but sound stream, and a slow response, must be delivered whole when no retry could replace
// them: the retry budget is spent, or there is no other endpoint.
func TestSlowResponsesAreNotCut(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(d *deployment, api, engine *fleettest.Server)
	}{
		{"the retry budget is spent", func(d *deployment, _, _ *fleettest.Server) {
			for _, service := range []string{"api", "llm"} {
				for d.entries[0].daemon.retryBudgets.For(service).TryWithdraw() {
				}
			}
		}},
		{"no other endpoint", func(d *deployment, api, engine *fleettest.Server) {
			d.store.Delete(fleet.KindEndpoints, api.ID)
			d.store.Delete(fleet.KindEndpoints, engine.ID)
			d.eventually("the endpoints are gone", func() bool {
				r := d.entries[0].daemon.roster
				return len(r.Endpoints(time.Now(), "api")) == 1 && len(r.Endpoints(time.Now(), "llm")) == 1
			})
		}},
	} {
		d := newDeployment(t, 1)
		api1, api2, engine1, engine2, _ := d.startEndpoints(nil)
		for _, s := range []*fleettest.Server{engine1, engine2} {
			s.SetStream(3, 1800*time.Millisecond) // the longest first event and gap allowed are 1.2 and 1.6 s
		}
		slow := func(int, *http.Request) fleettest.Behaviour {
			time.Sleep(2200 * time.Millisecond) // the longest attempt allowed is 2 s
			return fleettest.Serve
		}
		api1.SetBehaviour(slow)
		api2.SetBehaviour(slow)
		d.waitReady()
		c.prepare(d, api1, engine1)
		header := http.Header{"Azurelead-Timeout-Ms": {"6000"}}
		if r := d.send(d.entries[0], "POST", "/stream/again/x", header); r.err != nil || r.body != events(3) {
			t.Errorf("%s: slow stream: %+v", c.name, r)
		}
		if r := d.send(d.entries[0], "GET", "/look/x", nil); r.status != 200 || !strings.HasSuffix(r.body, " to "+r.id) {
			t.Errorf("%s: slow response: %+v", c.name, r)
		}
	}
}

// A stream that has stalled must not be kept alive by bytes that are no events, whether they come
// now and then or without end. If it may be resumed, another endpoint continues it.
func TestStalledStreamsAreResumed(t *testing.T) {
	for name, b := range map[string]fleettest.Behaviour{"a comment now and then": fleettest.Trickle, "comments without end": fleettest.EndlessStream} {
		d := newDeployment(t, 1)
		_, _, engine1, engine2, _ := d.startEndpoints(nil)
		var stalled atomic.Bool
		for _, s := range []*fleettest.Server{engine1, engine2} {
			s.SetStream(6, 0)
			s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
				if stalled.CompareAndSwap(false, true) {
					return b
				}
				return fleettest.Serve
			})
		}
		d.waitReady()
		r := d.send(d.entries[0], "POST", "/stream/again/x", nil)
		var numbered strings.Builder
		for _, event := range strings.SplitAfter(r.body, "\n\n") {
			if !strings.HasPrefix(event, ":") {
				numbered.WriteString(event)
			}
		}
		if r.err != nil || numbered.String() != events(6) {
			t.Errorf("%s: error %v, status %d, events %q", name, r.err, r.status, numbered.String())
		}
		if len(r.body) > 2<<20 {
			t.Errorf("%s: %d bytes reached the client", name, len(r.body))
		}
	}
}

// Endless bytes in place of a response to a buffered request must not be collected: the request is
// answered by another endpoint.
func TestEndlessResponsesAreReplaced(t *testing.T) {
	for _, b := range []fleettest.Behaviour{fleettest.EndlessHeader, fleettest.EndlessInterim, fleettest.EndlessBody} {
		d := newDeployment(t, 1)
		api1, _, _, _, _ := d.startEndpoints(nil)
		api1.SetBehaviour(alwaysBehave(b))
		d.waitReady()
		for range 4 {
			if r := d.send(d.entries[0], "GET", "/look/x", nil); r.status != 200 || !strings.HasSuffix(r.body, " to "+r.id) {
				t.Errorf("behaviour %d: status %d, %d bytes, %v", b, r.status, len(r.body), r.err)
			}
		}
		d.eventually("the endless response was closed", func() bool {
			for _, run := range api1.Runs() {
				select {
				case <-run.Closed:
				default:
					return false
				}
			}
			return true
		})
		if n := api1.EndlessBytes(); n > 64<<20 {
			t.Errorf("behaviour %d: %d bytes were read", b, n)
		}
	}
}

// In a roll-out, the entry that dispatches is stopped while stages of other entries' requests are in
// progress. The requests must go on at the next dispatcher without repeating a call that has ended.
func TestStoppingDispatcherHandsOver(t *testing.T) {
	d := newDeployment(t, 3)
	_, _, _, _, portal := d.startEndpoints(nil)
	var runCalls atomic.Int64
	firstStage, secondStage := make(chan struct{}, 1), make(chan struct{})
	portal.SetBehaviour(func(_ int, r *http.Request) fleettest.Behaviour {
		if r.URL.Path == "/stage-run" && runCalls.Add(1) == 1 {
			firstStage <- struct{}{}
			<-secondStage // holds the first stage until the dispatcher stops
		}
		return fleettest.Serve
	})
	d.waitReady()
	var dispatcher, client *entry
	d.eventually("all elect one dispatcher", func() bool {
		dispatchers := 0
		for _, e := range d.entries {
			if len(e.daemon.mesh.LivePeers()) < 2 {
				return false
			}
			if e.daemon.mesh.Dispatches() {
				dispatchers++
				dispatcher = e
			} else {
				client = e
			}
		}
		return dispatchers == 1
	})
	answered := make(chan result, 1)
	go func() {
		answered <- d.send(client, "POST", "/stream/staged/x", http.Header{"Azurelead-Chunks": {"1,2"}, "Azurelead-Chunk-Key": {"k"}})
	}()
	<-firstStage
	dispatcher.stop()
	d.eventually("another entry is elected", func() bool {
		link := client.daemon.mesh.Dispatcher(t.Context(), nil)
		return link == nil || link.Peer.Name != dispatcher.daemon.settings.Name
	})
	close(secondStage)
	if r := <-answered; r.status != 200 || r.body != events(3) {
		t.Errorf("%+v", r)
	}
	if n := runCalls.Load(); n != 2 {
		t.Errorf("%d stage calls, want 2: one for each stage", n)
	}
	if n, _ := dispatcher.metric(t, "azurelead_stages_jobs_total", map[string]string{"outcome": "moved"}); n != 1 {
		t.Errorf("the stopped dispatcher handed over %v jobs, want 1", n)
	}
}

// The results of the stages are freed while the engine reads the prompt: their memory bounds a burst.
func TestResultsAreFreedBeforeFirstEvent(t *testing.T) {
	d := newDeployment(t, 2)
	_, _, engine1, engine2, portal := d.startEndpoints(nil)
	firstEvent := make(chan struct{})
	for _, s := range []*fleettest.Server{engine1, engine2} {
		s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
			<-firstEvent
			return fleettest.Serve
		})
	}
	d.waitReady()
	answered := make(chan result, 1)
	go func() {
		answered <- d.send(d.entries[0], "POST", "/stream/staged/x", http.Header{"Azurelead-Chunks": {"1,2"}, "Azurelead-Chunk-Key": {"k"}})
	}()
	d.eventually("the engine has the request", func() bool { return engine1.Requests()+engine2.Requests() > 0 })
	d.eventually("the results are freed", func() bool { return portal.HeldResults() == 0 })
	close(firstEvent)
	if r := <-answered; r.status != 200 || r.body != events(3) {
		t.Errorf("%+v", r)
	}
}

// A stream may have neither a length nor chunks and end with its connection. It is complete if it ends after
// an event; one that ends inside an event, or before the first, was broken off and must be resumed or must
// look incomplete.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	cases := []struct {
		name      string
		behaviour fleettest.Behaviour
		complete  bool
	}{
		{"after the last event", fleettest.CloseDelimited, true},
		{"inside an event", fleettest.CloseMidEvent, false},
		{"before the first event", fleettest.CloseBeforeEvents, false},
	}
	for _, c := range cases {
		d := newDeployment(t, 1)
		_, _, engine1, engine2, _ := d.startEndpoints(nil)
		var first atomic.Bool
		for _, s := range []*fleettest.Server{engine1, engine2} {
			s.SetStream(6, 0)
			s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
				if first.CompareAndSwap(false, true) {
					return c.behaviour
				}
				return fleettest.Serve
			})
		}
		d.waitReady()
		if r := d.send(d.entries[0], "POST", "/stream/again/x", nil); r.err != nil || r.body != events(6) {
			t.Errorf("%s, on a route that may be resumed: %+v", c.name, r)
		}
		first.Store(false)
		r := d.send(d.entries[0], "POST", "/stream/plain/x", nil)
		looksComplete := r.err == nil && r.status == http.StatusOK
		if looksComplete != c.complete || c.complete && r.body != events(6) {
			t.Errorf("%s, on a route that may not be resumed: %+v", c.name, r)
		}
	}
}

// Both engines of a service are cold, and more streams come at once than the engines' cold rate allows at a
// time. The streams wait for the short time until an engine takes them.
func TestStreamsWaitForColdEngines(t *testing.T) {
	d := newDeployment(t, 1)
	_, _, engine1, engine2, _ := d.startEndpoints(nil)
	d.waitReady()
	e := d.entries[0]
	for _, engine := range []*fleettest.Server{engine1, engine2} {
		engine.SetCold(time.Hour)
		e.daemon.roster.RecordStatus(time.Now(), e.listed("llm", engine), roster.Status{Load: -1, ColdRemaining: time.Hour, LimitUnknown: true})
	}
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			if r := d.send(e, "POST", "/stream/plain/x", nil); r.status != http.StatusOK {
				t.Errorf("status %d, want a stream", r.status)
			}
		})
	}
	wg.Wait()
}

// A faulty endpoint wrote an earlier refusal once more on a kept connection: requests that may run at most once
// were answered as not run although they ran, or ran at a second endpoint.
func TestSecondCopyOfARefusalIsNoAnswer(t *testing.T) {
	for name, kind := range map[string]fleettest.Copy{"exact": fleettest.ExactCopy, "unnamed": fleettest.UnnamedCopy} {
		d := newDeployment(t, 1)
		api1, api2, engine1, engine2, _ := d.startEndpoints(nil)
		servers := []*fleettest.Server{api1, api2, engine1, engine2}
		for _, s := range servers {
			s.SetBehaviour(func(n int, _ *http.Request) fleettest.Behaviour {
				if n%5 == 1 {
					return fleettest.Shed
				}
				return fleettest.Serve
			})
			s.SetCopies(func(_ *http.Request, status int) fleettest.Copy {
				if status == http.StatusServiceUnavailable {
					return kind
				}
				return fleettest.NoCopy
			})
		}
		d.waitReady()
		for i := range 60 {
			r := d.send(d.entries[0], "POST", []string{"/book/x", "/stream/plain/x"}[i%2], nil)
			ran := 0
			for _, s := range servers {
				for _, run := range s.Runs() {
					if run.AttemptID == r.id {
						ran++
					}
				}
			}
			if ran > 1 || ran == 1 && (r.status == 503 || r.status == 429) {
				t.Errorf("%s copies: ran %d times, response %+v", name, ran, r)
			}
		}
		for _, s := range servers {
			if s.SentCopies() == 0 {
				t.Errorf("%s copies: %s sent none", name, s.ID)
			}
		}
	}
}

// Streams that wait for the same cold engine wake at the same time. Those that do not get its turn wait for the next one.
func TestStreamsWaitForOneColdEngine(t *testing.T) {
	d := newDeployment(t, 1)
	_, _, engine1, engine2, _ := d.startEndpoints(nil)
	d.store.Delete(fleet.KindEndpoints, engine2.ID)
	d.waitReady()
	e := d.entries[0]
	d.eventually("one engine is known", func() bool { return len(e.daemon.roster.Endpoints(time.Now(), "llm")) == 1 })
	engine1.SetCold(time.Hour)
	e.daemon.roster.RecordStatus(time.Now(), e.listed("llm", engine1), roster.Status{Load: -1, ColdRemaining: time.Hour, LimitUnknown: true})
	for range 12 {
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if r := d.send(e, "POST", "/stream/plain/x", nil); r.status != http.StatusOK {
					t.Errorf("%+v, want a stream", r)
				}
			})
		}
		wg.Wait()
	}
}
