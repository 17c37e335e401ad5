package gatewaydaemon

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// versionedEngines starts two engines of each version and a configuration with one resumable route to them,
// and waits until every entry knows them.
func (d *deployment) versionedEngines(versions ...string) map[string][]*fleettest.Server {
	d.t.Helper()
	d.startEndpoints(nil)
	engines := make(map[string][]*fleettest.Server)
	for _, version := range versions {
		for i := range 2 {
			s := fleettest.NewServer(fmt.Sprintf("engine-%s-%d", version, i))
			d.t.Cleanup(s.Close)
			s.SetStream(10, 5*time.Millisecond)
			spec := s.EndpointSpec("models", "north")
			spec["version"] = version
			d.store.Put(fleet.KindEndpoints, s.ID, spec)
			engines[version] = append(engines[version], s)
		}
	}
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(9,
		[]map[string]any{fleettest.Route("ask", "/stream/ask/", "streaming", "models", map[string]any{"resumable": true, "attempts": 4})},
		[]map[string]any{fleettest.EngineService("models"), fleettest.StageService("portal")}, nil))
	d.waitReady()
	for _, e := range d.entries {
		d.eventually("the entry is linked and knows the route and the engines", func() bool {
			table := e.daemon.table.Load()
			return table != nil && table.Version == 9 && len(e.daemon.roster.Endpoints(time.Now(), "models")) == 2*len(versions) &&
				len(e.daemon.mesh.LivePeers()) == len(d.entries)-1
		})
	}
	return engines
}

// versionsOf returns the versions whose engines ran an attempt.
func versionsOf(engines map[string][]*fleettest.Server, attempt string) []string {
	var versions []string
	for version, servers := range engines {
		for _, s := range servers {
			for _, run := range s.Runs() {
				if run.AttemptID == attempt {
					versions = append(versions, version)
				}
			}
		}
	}
	return versions
}

// sameVersion reports whether all versions of a list are equal and there is one.
func sameVersion(versions []string) bool {
	for _, v := range versions {
		if v != versions[0] {
			return false
		}
	}
	return len(versions) > 0
}

// startStream begins a stream and leaves it after some events. It returns the id of the attempt.
func (d *deployment) startStream(e *entry, events int) string {
	d.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	id := fmt.Sprintf("id-%d", d.lastID.Add(1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.front+"/stream/ask/x", strings.NewReader("a body"))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("Azurelead-Attempt-Id", id)
	req.Header.Set("Azurelead-Timeout-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewScanner(resp.Body)
	for events > 0 && r.Scan() {
		if strings.HasPrefix(r.Text(), "id: ") {
			events--
		}
	}
	if events > 0 {
		d.t.Fatalf("the stream ended %d events too soon with status %d", events, resp.StatusCode)
	}
	return id
}

// takeUp sends a further attempt of a stream that began as another one.
func (d *deployment) resume(e *entry, first string, lastEvent int) result {
	return d.send(e, http.MethodPost, "/stream/ask/x", http.Header{"Resumes": {first}, "Last-Event-Id": {strconv.Itoa(lastEvent)}})
}

// Engines of two versions serve side by side, and break off some of their streams. A stream goes on only at
// the version that began it, or ends early.
func TestStreamResumesAtItsVersion(t *testing.T) {
	d := newDeployment(t, 1)
	engines := d.versionedEngines("v1", "v1.1")
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			for range 6 { // these pay for the resumptions below
				d.send(d.entries[0], http.MethodPost, "/stream/ask/x", nil)
			}
		})
	}
	wg.Wait()
	for _, servers := range engines {
		for _, s := range servers {
			s.SetBehaviour(func(n int, r *http.Request) fleettest.Behaviour {
				if r.Header.Get("Last-Event-Id") == "" {
					return fleettest.ResetMidResponse
				}
				return fleettest.Serve
			})
		}
	}
	for range 4 {
		wg.Go(func() {
			for range 2 {
				r := d.send(d.entries[0], http.MethodPost, "/stream/ask/x", nil)
				if r.status != http.StatusOK || r.err != nil {
					t.Errorf("%s: status %d, error %v, want a whole stream", r.id, r.status, r.err)
				}
				if versions := versionsOf(engines, r.id); len(versions) < 2 || !sameVersion(versions) {
					t.Errorf("%s ran at the versions %v, want two runs at one version", r.id, versions)
				}
			}
		})
	}
	wg.Wait()
}

// A client leaves a stream and takes it up at another entry, several times. All of its attempts run at the
// version of the first one.
func TestClientResumesAtVersionOfFirstAttempt(t *testing.T) {
	d := newDeployment(t, 4)
	engines := d.versionedEngines("v1", "v1.1")
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 3 {
				first := d.startStream(d.entries[i%4], 3)
				want := versionsOf(engines, first)
				for step := 1; step <= 3; step++ {
					r := d.resume(d.entries[(i+k+step)%4], first, 3)
					if r.status != http.StatusOK {
						t.Errorf("%s is not resumed: status %d", first, r.status)
						continue
					}
					if got := versionsOf(engines, r.id); !sameVersion(append(got, want...)) {
						t.Errorf("%s began at %v, %s goes on at %v", first, want, r.id, got)
					}
				}
			}
		})
	}
	wg.Wait()
}

// The attempt that a client names has itself resumed a stream.
func TestResumedAttemptIsTakenUpInItsTurn(t *testing.T) {
	d := newDeployment(t, 3)
	engines := d.versionedEngines("v1", "v1.1")
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() {
			for range 2 {
				first := d.startStream(d.entries[i%3], 2)
				want := versionsOf(engines, first)
				second := d.resume(d.entries[(i+1)%3], first, 2)
				third := d.resume(d.entries[(i+2)%3], second.id, 5)
				got := append(versionsOf(engines, second.id), versionsOf(engines, third.id)...)
				if len(got) != 2 || !sameVersion(append(got, want...)) {
					t.Errorf("%s began at %v and goes on at %v", first, want, got)
				}
			}
		})
	}
	wg.Wait()
}

// The version that began a stream serves no more. A client that takes it up is refused at once, and a new
// stream is served.
func TestStreamOfVanishedVersionIsRefusedAtOnce(t *testing.T) {
	d := newDeployment(t, 2)
	engines := d.versionedEngines("v1", "v1.1")
	var first string
	for first == "" {
		if id := d.startStream(d.entries[0], 3); sameVersion(append(versionsOf(engines, id), "v1")) {
			first = id
		}
	}
	for _, s := range engines["v1"] {
		d.store.Delete(fleet.KindEndpoints, s.ID)
	}
	for _, e := range d.entries {
		d.eventually("the engines of v1 are gone", func() bool { return len(e.daemon.roster.Endpoints(time.Now(), "models")) == 2 })
		r := d.resume(e, first, 3)
		if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || len(versionsOf(engines, r.id)) > 0 {
			t.Errorf("status %d, runs at %v; want a refusal", r.status, versionsOf(engines, r.id))
		}
		if r := d.send(e, http.MethodPost, "/stream/ask/x", nil); r.status != http.StatusOK {
			t.Errorf("new stream: status %d", r.status)
		}
	}
}

// forget makes an entry know nothing of a stream, as after a restart.
func (e *entry) forget(attempt string) { e.daemon.origins.End(attempt) }

// The entry at which a stream began starts again and knows nothing of it. The stream goes on at its version.
func TestStreamIsTakenUpAfterItsEntryDied(t *testing.T) {
	d := newDeployment(t, 4)
	engines := d.versionedEngines("v1", "v1.1")
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			first := d.startStream(d.entries[i%4], 3)
			want := versionsOf(engines, first)
			d.entries[i%4].forget(first)
			r := d.resume(d.entries[(i+i/4)%4], first, 3)
			if got := versionsOf(engines, r.id); r.status != http.StatusOK || !sameVersion(append(got, want...)) {
				t.Errorf("%s began at %v, and is resumed with status %d at %v", first, want, r.status, got)
			}
		})
	}
	wg.Wait()
}

// A stream begins while there is one version. Then a second one starts to serve, and the entry at which the
// stream began dies.
func TestStreamsOfTheFirstVersionAreKnownLater(t *testing.T) {
	d := newDeployment(t, 3)
	engines := d.versionedEngines("v1")
	ids := make([]string, 6)
	for i := range ids {
		ids[i] = d.startStream(d.entries[i%3], 3)
	}
	for i := range 4 { // more than of the first version, so that a stream that is not bound goes there
		s := fleettest.NewServer(fmt.Sprintf("engine-next-%d", i))
		t.Cleanup(s.Close)
		spec := s.EndpointSpec("models", "north")
		spec["version"] = "v2"
		d.store.Put(fleet.KindEndpoints, s.ID, spec)
		engines["v2"] = append(engines["v2"], s)
	}
	for i, id := range ids {
		// Origins are announced as soon as their entry knows the second version.
		d.eventually("the origin is known to other entries", func() bool {
			known := 0
			for _, e := range d.entries {
				if _, found := e.daemon.origins.table.Find(time.Now(), origin.Key(id)); found {
					known++
				}
			}
			return known == 3
		})
		d.entries[i%3].forget(id)
		r := d.resume(d.entries[(i+1)%3], id, 3)
		if got := versionsOf(engines, r.id); r.status != http.StatusOK || !sameVersion(append(got, "v1")) {
			t.Errorf("%s is resumed with status %d at %v, want v1", id, r.status, got)
		}
	}
}

// An engine has started again under its ID at another software version, and its object does not say so yet. A stream that its
// own version began must not go on there.
func TestStreamDoesNotGoOnAtRestartedEngine(t *testing.T) {
	const eventCount = 12
	d := newDeployment(t, 1)
	engines := d.startEngines(3, 3)
	for _, e := range engines {
		e.SetVersion("v1")
		e.SetStream(eventCount, 30*time.Millisecond)
		spec := e.EndpointSpec("llm", "north")
		spec["version"] = "v1"
		d.store.Put(fleet.KindEndpoints, e.ID, spec)
	}
	d.eventually("the version is known", func() bool {
		return !slices.ContainsFunc(d.entries[0].daemon.roster.Endpoints(time.Now(), "llm"), func(e catalog.Endpoint) bool { return e.Version != "v1" })
	})
	answered := make(chan result, 1)
	go func() { answered <- d.send(d.entries[0], "POST", "/stream/again/x", nil) }()
	var running *fleettest.Server
	d.eventually("an engine has the request", func() bool {
		for _, e := range engines {
			if len(e.Runs()) > 0 {
				running = e
			}
		}
		return running != nil
	})
	time.Sleep(4 * 30 * time.Millisecond)
	for _, e := range engines {
		if e != running {
			if err := e.Restart("v2"); err != nil {
				t.Fatal(err)
			}
		}
	}
	running.Exit()
	if r := <-answered; r.err == nil || strings.Contains(r.body, "v2") {
		t.Errorf("status %d, error %v, stream %q", r.status, r.err, r.body)
	}
}
