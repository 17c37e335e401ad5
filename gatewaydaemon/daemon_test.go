package gatewaydaemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// deployment is some entries in one process before stand-ins of the platform
// and the endpoints.
type deployment struct {
	t       *testing.T
	store   *fleettest.Store
	entries []*entry
	serial  atomic.Int64
}

type entry struct {
	front, health string
	stop          context.CancelFunc
	done          chan struct{}
	daemon        *daemon
	reg           *prometheus.Registry
}

func newDeployment(t *testing.T, entries int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: fleettest.NewStore()}
	t.Cleanup(d.store.Close)
	for range entries {
		d.start()
	}
	return d
}

func (d *deployment) start() *entry {
	s := fleet.Settings{
		Name: fmt.Sprintf("entry-%d", len(d.entries)), DataCentre: "north", Region: "r", Regions: map[string]string{"north": "r"},
		ClientAddress: fleettest.FreeAddress(), HealthAddress: fleettest.FreeAddress(), PeerAddress: fleettest.FreeAddress(),
		StoreAddress: d.store.Address(), CPUShare: 0.3, GracePeriod: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 54,
	}
	for _, e := range d.entries {
		s.Seeds = append(s.Seeds, e.daemon.settings.PeerAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	reg := prometheus.NewRegistry()
	e := &entry{front: s.ClientAddress, health: s.HealthAddress, stop: cancel, done: make(chan struct{}), reg: reg}
	e.daemon = newDaemon(s, slog.New(slog.DiscardHandler), reg)
	e.daemon.listEvery = 500 * time.Millisecond
	go func() {
		defer close(e.done)
		if err := e.daemon.run(ctx, Config{}, reg); err != nil {
			d.t.Error(err)
		}
	}()
	d.entries = append(d.entries, e)
	d.t.Cleanup(func() { cancel() })
	return e
}

// standard puts a configuration with one route of each kind.
func (d *deployment) standard(keys map[string][]string) (api1, api2, engine1, engine2, stage1 *fleettest.Server) {
	servers := make([]*fleettest.Server, 5)
	for i := range servers {
		servers[i] = fleettest.NewServer(fmt.Sprintf("s-%d", i))
		d.t.Cleanup(servers[i].Close)
	}
	for i, service := range []string{"api", "api", "llm", "llm", "portal"} {
		d.store.Put(fleet.KindEndpoints, servers[i].ID, servers[i].EndpointSpec(service, "north"))
	}
	d.configure(1, keys)
	return servers[0], servers[1], servers[2], servers[3], servers[4]
}

func (d *deployment) configure(version int, keys map[string][]string) {
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(version,
		[]map[string]any{
			fleettest.Route("look", "/look/", "idempotent", "api", nil),
			fleettest.Route("book", "/book/", "non_idempotent", "api", nil),
			fleettest.Route("plain", "/stream/plain/", "streaming", "llm", nil),
			fleettest.Route("again", "/stream/again/", "streaming", "llm", map[string]any{"resumable": true, "timeoutMs": 6000}),
			fleettest.Route("staged", "/stream/staged/", "streaming", "llm", map[string]any{
				"stages": []map[string]any{
					{"service": "portal", "after": []int{}, "bytes": 8000},
					{"service": "portal", "after": []int{0}, "bytes": 6000},
				},
			}),
		},
		[]map[string]any{fleettest.Service("api"), fleettest.EngineService("llm"), fleettest.StageService("portal")},
		keys))
}

func (d *deployment) waitReady() {
	d.t.Helper()
	for _, e := range d.entries {
		d.eventually("entry is ready", func() bool {
			resp, err := http.Get("http://" + e.health + "/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK && len(e.daemon.roster.Endpoints(time.Now(), "portal")) > 0
		})
	}
}

// eventually waits for a state that is bound to come; the test's own time limit
// ends it otherwise.
func (d *deployment) eventually(what string, is func() bool) {
	d.t.Helper()
	for !is() {
		select {
		case <-d.t.Context().Done():
			d.t.Fatalf("never: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

type result struct {
	status int
	body   string
	err    error
	header http.Header
	id     string
	// closes is set when the answer closes its connection.
	closes bool
}

func (d *deployment) ask(e *entry, method, path string, header http.Header) result {
	d.t.Helper()
	return d.askWith(http.DefaultClient, e, method, path, "a body", header)
}

func (d *deployment) askWith(c *http.Client, e *entry, method, path, body string, header http.Header) result {
	id := fmt.Sprintf("id-%d", d.serial.Add(1))
	req, err := http.NewRequest(method, "http://"+e.front+path, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Host = "shop.example"
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Azurelead-Attempt-Id", id)
	if req.Header.Get("Azurelead-Timeout-Ms") == "" {
		req.Header.Set("Azurelead-Timeout-Ms", "3000")
	}
	resp, err := c.Do(req)
	if err != nil {
		return result{err: err, id: id}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, body: string(answer), err: err, header: resp.Header, id: id, closes: resp.Close}
}

func always(b fleettest.Behaviour) func(int, *http.Request) fleettest.Behaviour {
	return func(int, *http.Request) fleettest.Behaviour { return b }
}

func TestAnswersComeWhole(t *testing.T) {
	d := newDeployment(t, 1)
	api1, api2, engine1, engine2, portal := d.standard(nil)
	d.waitReady()
	e := d.entries[0]
	if r := d.ask(e, "GET", "/look/x?y=%20z", nil); r.status != 200 || !strings.HasSuffix(r.body, " to "+r.id) || r.header.Get("Azurelead-Server-Signature") == "" {
		t.Errorf("look: %+v", r)
	}
	if r := d.ask(e, "POST", "/stream/plain/x", nil); r.status != 200 || strings.Count(r.body, "data:") != 3 {
		t.Errorf("stream: %+v", r)
	}
	r := d.ask(e, "POST", "/stream/staged/x", http.Header{"Azurelead-Chunks": {"2,3"}, "Azurelead-Chunk-Key": {"k"}, "Azurelead-Hold": {"mine"}, "Azurelead-Tenant": {"me"}})
	if r.status != 200 || strings.Count(r.body, "data:") != 3 {
		t.Errorf("staged: %+v", r)
	}
	for _, run := range append(engine1.Runs(), engine2.Runs()...) {
		if run.AttemptID == r.id && (strings.Count(run.Inputs, ",") != 2 || run.Header.Get("Azurelead-Hold") != "" || run.Organisation != "" || run.Body != "a body") {
			t.Errorf("engine ran %+v", run)
		}
	}
	d.eventually("results are freed", func() bool { return portal.HeldResults() == 0 })
	for _, run := range append(api1.Runs(), api2.Runs()...) {
		if run.URI != "/look/x?y=%20z" || run.Timeout > 3*time.Second || run.Timeout < time.Second {
			t.Errorf("api ran %+v", run)
		}
	}
	if r := d.ask(e, "GET", "/nowhere/", nil); r.status != 404 {
		t.Errorf("no route: %+v", r)
	}
}

// A request that may run once is sent once, whatever happens to its answer, and
// no status then promises that it has not run.
func TestOnceRunsOnce(t *testing.T) {
	for _, b := range []fleettest.Behaviour{fleettest.ResetAfterRun, fleettest.ResetMidResponse, fleettest.FailAfterRun, fleettest.Unsigned, fleettest.DuplicateResponse, fleettest.CloseDelimited} {
		d := newDeployment(t, 1)
		api1, api2, _, _, _ := d.standard(nil)
		api1.SetBehaviour(always(b))
		api2.SetBehaviour(always(b))
		d.waitReady()
		for range 10 {
			r := d.ask(d.entries[0], "POST", "/book/x", nil)
			ran := 0
			for _, run := range append(api1.Runs(), api2.Runs()...) {
				if run.AttemptID == r.id {
					ran++
				}
			}
			if ran > 1 || ran == 1 && (r.status == 503 || r.status == 429) {
				t.Errorf("behaviour %d: ran %d times, answer %+v", b, ran, r)
			}
			if r.status/100 == 2 && (!strings.HasSuffix(r.body, " to "+r.id) || strings.HasPrefix(r.body, "again")) {
				t.Errorf("behaviour %d: foreign answer %+v", b, r)
			}
		}
	}
}

// What an endpoint did not run is sent to another one, or refused as not run.
func TestShedRequestsGoElsewhere(t *testing.T) {
	d := newDeployment(t, 1)
	api1, api2, _, _, _ := d.standard(nil)
	api1.SetBehaviour(always(fleettest.Shed))
	d.waitReady()
	for range 6 {
		if r := d.ask(d.entries[0], "POST", "/book/x", nil); r.status != 200 {
			t.Errorf("%+v", r)
		}
	}
	api2.SetBehaviour(always(fleettest.Shed))
	if r := d.ask(d.entries[0], "POST", "/book/x", nil); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("%+v", r)
	}
}

// Reads are repeated at another endpoint when an answer is lost or failed.
func TestRepeatableRequestsAreRepeated(t *testing.T) {
	for _, b := range []fleettest.Behaviour{fleettest.ResetAfterRun, fleettest.FailAfterRun, fleettest.ResetMidResponse, fleettest.Unsigned} {
		d := newDeployment(t, 1)
		api1, _, _, _, _ := d.standard(nil)
		api1.SetBehaviour(always(b))
		d.waitReady()
		if r := d.ask(d.entries[0], "GET", "/look/x", nil); r.status != 200 {
			t.Errorf("behaviour %d: %+v", b, r)
		}
	}
}

// A stream that may be resumed goes on at another engine without a gap, a
// doubled event or a part of one; one that may not is broken off visibly.
func TestStreamsAreResumedOrBrokenOff(t *testing.T) {
	for _, b := range []fleettest.Behaviour{fleettest.ResetMidResponse, fleettest.ResetMidEvent} {
		d := newDeployment(t, 1)
		_, _, engine1, engine2, _ := d.standard(nil)
		first := func(n int, _ *http.Request) fleettest.Behaviour {
			if n == 0 {
				return b
			}
			return fleettest.Serve
		}
		var one sync.Once
		behave := func(n int, r *http.Request) fleettest.Behaviour {
			got := fleettest.Serve
			one.Do(func() { got = first(0, r) })
			return got
		}
		for _, s := range []*fleettest.Server{engine1, engine2} {
			s.SetStream(6, 0)
			s.SetBehaviour(behave)
		}
		d.waitReady()
		r := d.ask(d.entries[0], "POST", "/stream/again/x", nil)
		want := ""
		for i := 1; i <= 6; i++ {
			want += fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		}
		if r.err != nil || r.body != want {
			t.Errorf("behaviour %d: resumed stream %+v", b, r)
		}
		engine1.SetBehaviour(always(b))
		engine2.SetBehaviour(always(b))
		if r := d.ask(d.entries[0], "POST", "/stream/plain/x", nil); r.err == nil || !strings.HasPrefix(want, r.body) {
			t.Errorf("behaviour %d: cut stream %+v", b, r)
		}
	}
}

// The endpoint is told at once when the client leaves.
func TestClientsThatLeaveAreFollowed(t *testing.T) {
	d := newDeployment(t, 1)
	api1, api2, _, _, _ := d.standard(nil)
	api1.SetBehaviour(always(fleettest.Hang))
	api2.SetBehaviour(always(fleettest.Hang))
	d.waitReady()
	c, err := net.Dial("tcp", d.entries[0].front)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(c, "GET /look/x HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: left\r\nAzurelead-Timeout-Ms: 60000\r\n\r\n")
	runs := func() []fleettest.Run { return append(api1.Runs(), api2.Runs()...) }
	d.eventually("the request runs", func() bool { return len(runs()) > 0 })
	_ = c.Close()
	<-runs()[0].Closed
}

// Keys decide, and one that is taken away is refused everywhere, also at an
// entry that the store does not answer.
func TestKeysAreFollowedWithoutTheStore(t *testing.T) {
	d := newDeployment(t, 2)
	api1, api2, _, _, _ := d.standard(map[string][]string{"org": {"key-1", "key-2"}})
	d.waitReady()
	key := func(k string) http.Header { return http.Header{"Azurelead-Key": {k}, "Azurelead-Tenant": {"forged"}} }
	for _, e := range d.entries {
		if r := d.ask(e, "GET", "/look/x", key("key-1")); r.status != 200 {
			t.Errorf("known key: %+v", r)
		}
		if r := d.ask(e, "GET", "/look/x", key("other")); r.status != 401 {
			t.Errorf("unknown key: %+v", r)
		}
	}
	for _, run := range append(api1.Runs(), api2.Runs()...) {
		if run.Organisation != "org" || run.APIKey != "" {
			t.Errorf("run %+v", run)
		}
	}
	d.configure(2, map[string][]string{"org": {"key-2"}})
	for _, e := range d.entries {
		d.eventually("the key is refused", func() bool { return d.ask(e, "GET", "/look/x", key("key-1")).status == 401 })
	}
}

// An entry that knows no configuration refuses as not run, and never denies.
func TestUnconfiguredEntryDeniesNothing(t *testing.T) {
	d := newDeployment(t, 1)
	d.store.SetFault(fleettest.Busy)
	d.eventually("it answers", func() bool { return d.ask(d.entries[0], "GET", "/look/x", nil).err == nil })
	if r := d.ask(d.entries[0], "GET", "/look/x", nil); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("%+v", r)
	}
}

// An entry that cannot reach the store learns from another one, and serves.
func TestStatesAreLearntFromPeers(t *testing.T) {
	d := newDeployment(t, 1)
	d.standard(nil)
	d.waitReady()
	d.store.SetFault(fleettest.Silent)
	late := d.start()
	d.eventually("the late entry serves", func() bool { return d.ask(late, "GET", "/look/x", nil).status == 200 })
}

// Changes that no watch heard before the history was dropped are read again.
func TestDroppedHistoryIsListedAgain(t *testing.T) {
	d := newDeployment(t, 1)
	api1, api2, _, _, _ := d.standard(nil)
	d.waitReady()
	entry := api1.EndpointSpec("api", "north")
	entry["state"] = "draining"
	d.store.Put(fleet.KindEndpoints, api1.ID, entry)
	d.store.Compact()
	d.eventually("the draining endpoint is left", func() bool {
		return len(d.entries[0].daemon.roster.Endpoints(time.Now(), "api")) == 1
	})
	before := api1.Requests()
	for range 5 {
		d.ask(d.entries[0], "GET", "/look/x", nil)
	}
	if api1.Requests() != before || api2.Requests() < 5 {
		t.Errorf("the draining endpoint got %d requests", api1.Requests()-before)
	}
}

// A data centre that is taken out gets nothing more, and gets work again later.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	d := newDeployment(t, 1)
	d.standard(nil)
	d.waitReady()
	d.store.Put(fleet.KindEvacuations, "north", map[string]any{})
	d.eventually("requests are refused", func() bool { return d.ask(d.entries[0], "GET", "/look/x", nil).status == 503 })
	d.store.Delete(fleet.KindEvacuations, "north")
	d.eventually("requests are served", func() bool { return d.ask(d.entries[0], "GET", "/look/x", nil).status == 200 })
}

// An entry's object of another writer is no endpoint, and harms no other.
func TestForeignEntriesAreSkipped(t *testing.T) {
	d := newDeployment(t, 1)
	d.standard(nil)
	d.store.Put(fleet.KindEndpoints, "forged-1", map[string]any{"service": 7, "address": []int{1}})
	d.store.Put(fleet.KindEndpoints, "forged-2", "no object")
	d.store.Put(fleet.KindEndpoints, "forged-3", map[string]any{"service": "api", "address": "nowhere", "zone": "north", "state": "ready"})
	d.store.Put(fleet.KindEndpoints, "forged-4", map[string]any{"service": "api", "address": "127.0.0.1:1", "zone": "north", "state": "perhaps"})
	d.waitReady()
	if n := len(d.entries[0].daemon.roster.Endpoints(time.Now(), "api")); n != 2 {
		t.Errorf("%d endpoints", n)
	}
}

// A stop tells the balancer at once, serves what comes on kept connections
// meanwhile, and cuts no stream in progress.
func TestStopCutsNothing(t *testing.T) {
	d := newDeployment(t, 2)
	_, _, engine1, engine2, _ := d.standard(nil)
	for _, s := range []*fleettest.Server{engine1, engine2} {
		s.SetStream(45, 100*time.Millisecond)
	}
	d.waitReady()
	e := d.entries[0]
	kept := &http.Client{Transport: &http.Transport{}}
	if r := d.askWith(kept, e, "GET", "/look/x", "", nil); r.status != 200 {
		t.Fatalf("%+v", r)
	}
	c, err := net.Dial("tcp", e.front)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(c, "POST /stream/again/x HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: long\r\nAzurelead-Timeout-Ms: 60000\r\nContent-Length: 0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	e.stop()
	d.eventually("it is not ready", func() bool {
		resp, err := http.Get("http://" + e.health + "/ready")
		if err != nil {
			return true
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	if r := d.askWith(kept, e, "GET", "/look/x", "", nil); r.status != 200 || !r.closes {
		t.Errorf("on a kept connection: %+v", r)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || strings.Count(string(body), "data:") != 45 {
		t.Errorf("the stream ended with %v after %d events", err, strings.Count(string(body), "data:"))
	}
	<-e.done
	if r := d.ask(d.entries[1], "GET", "/look/x", nil); r.status != 200 {
		t.Errorf("the other entry: %+v", r)
	}
}
