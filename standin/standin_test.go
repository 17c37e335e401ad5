package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/azurelead/azurelead/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, p *Platform) *platform.Client {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	c, err := platform.NewClient(platform.ClientOptions{URL: server.URL, WatchTimeout: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestPlatformOverHTTP checks that a client receives every error class of the
// store, and that a write takes effect although its response was lost.
func TestPlatformOverHTTP(t *testing.T) {
	ctx := t.Context()
	p := NewPlatform(PlatformOptions{})
	c := newClient(t, p)
	version, err := c.Put(ctx, "claims/a b", json.RawMessage(`{"n":1}`), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "claims/a b", json.RawMessage(`{}`), 0); !platform.Conflict.Has(err) {
		t.Fatalf("Put with an outdated version: error %v, want platform.Conflict", err)
	}
	if _, err := c.Get(ctx, "claims/none"); !platform.NotFound.Has(err) {
		t.Fatalf("Get of a missing key: error %v, want platform.NotFound", err)
	}
	if _, err := c.Watch(ctx, "claims/a b", version); !platform.Unavailable.Has(err) {
		t.Fatalf("Watch without a change: error %v, want platform.Unavailable", err)
	}
	p.Memory().SetFaults(platform.Faults{LoseNext: 1})
	if _, err := c.Put(ctx, "claims/a b", json.RawMessage(`{"n":2}`), version); !platform.Unavailable.Has(err) {
		t.Fatalf("Put with a lost response: error %v, want platform.Unavailable", err)
	}
	o, err := c.Watch(ctx, "claims/a b", version)
	if err != nil || string(o.Value) != `{"n":2}` {
		t.Fatalf("Watch after the lost response = %s, %v", o.Value, err)
	}
	found, err := c.List(ctx, "claims/")
	if diff := cmp.Diff([]platform.Object{o}, found); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
	if err := c.Delete(ctx, "claims/a b", o.Version); err != nil {
		t.Fatal(err)
	}
	p.Memory().SetFaults(platform.Faults{ReadsPerSecond: 0.001})
	_, _ = c.Get(ctx, "x")
	if _, err := c.Get(ctx, "x"); !platform.RateLimited.Has(err) {
		t.Fatalf("Get above the rate limit: error %v, want platform.RateLimited", err)
	}
	p.Memory().SetFaults(platform.Faults{Down: true})
	if _, err := c.Instances(ctx); !platform.Unavailable.Has(err) {
		t.Fatalf("Instances while the platform is down: error %v, want platform.Unavailable", err)
	}
}

// post sends one request and returns the response status, or 0 if the connection
// failed.
func post(ctx context.Context, url string, body any) int {
	encoded, _ := json.Marshal(body)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestColdEndpointCrashesAboveItsLimit sends a cold pool member one call more than its
// limit, and checks that it crashes, refuses connections and restarts cold with
// a new boot id at the same address.
func TestColdEndpointCrashesAboveItsLimit(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(PoolOptions{WorkerOptions{
		ServiceTime: 100 * time.Millisecond,
		ColdStart:   ColdStart{Limit: 2, Answers: 4},
		DownFor:     50 * time.Millisecond,
	}})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, ln) }()
	before := p.Boot()
	url := "http://" + ln.Addr().String() + "/encode"
	var calls sync.WaitGroup
	for range 3 {
		calls.Go(func() { post(ctx, url, poolCall{Text: "x"}) })
	}
	calls.Wait()
	for post(ctx, url, poolCall{Text: "x"}) != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	s := p.Stats()
	if s.Crashes != 1 || s.ColdPeak != 3 || p.Boot() == before {
		t.Fatalf("want one crash, a cold peak of 3 and a new boot id; stats are %+v", s)
	}
	if !p.warmUp.isCold() {
		t.Fatal("the restarted process is warm after one answer, want cold until 4 answers")
	}
	cancel()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}

func TestPrefixCacheIsLimited(t *testing.T) {
	c := newPrefixCache(2)
	prompt := string(make([]byte, 2*tokensPerBlock*bytesPerToken))
	if n := c.lookup(prompt); n != 0 {
		t.Fatalf("first lookup: %d cached tokens, want 0", n)
	}
	if n := c.lookup(prompt); n != 2*tokensPerBlock {
		t.Fatalf("second lookup: %d cached tokens, want those of two blocks", n)
	}
	c.lookup("another " + prompt)
	if n := c.lookup(prompt); n != 0 {
		t.Fatalf("lookup after eviction: %d cached tokens, want 0", n)
	}
}

func TestOrdersWithAndWithoutFence(t *testing.T) {
	for _, checkFence := range []bool{true, false} {
		o := newOrders(checkFence, 0, func() {})
		o.accept(Order{Kind: SetVersion, Value: "new", Fence: 7})
		if accepted := o.accept(Order{Kind: SetVersion, Value: "old", Fence: 6}); accepted == checkFence {
			t.Fatalf("checkFence %v: stale order accepted: %v", checkFence, accepted)
		}
	}
}

// TestCrashRequestIsAnswered checks that a request to crash a stand-in is answered before the crash
// closes its connection.
func TestCrashRequestIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewService(ServiceOptions{WorkerOptions: WorkerOptions{DownFor: time.Millisecond}})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	url := "http://" + ln.Addr().String() + "/control/faults"
	for i := range 500 {
		boot := s.Boot()
		if status := post(ctx, url, WorkerFaults{Crash: true}); status != http.StatusNoContent {
			t.Fatalf("status of request %d is %d, want 204", i, status)
		}
		for s.Boot() == boot || post(ctx, url, WorkerFaults{}) != http.StatusNoContent {
			time.Sleep(time.Millisecond)
		}
	}
	cancel()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}
