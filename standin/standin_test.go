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

// TestPlatformOverHTTP checks that a client sees every class of error of the
// store, and that a write whose answer was lost is in force.
func TestPlatformOverHTTP(t *testing.T) {
	ctx := t.Context()
	p := NewPlatform(PlatformOptions{})
	c := newClient(t, p)
	version, err := c.Put(ctx, "claims/a b", json.RawMessage(`{"n":1}`), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "claims/a b", json.RawMessage(`{}`), 0); !platform.Conflict.Has(err) {
		t.Fatalf("conflict: %v", err)
	}
	if _, err := c.Get(ctx, "claims/none"); !platform.NotFound.Has(err) {
		t.Fatalf("not found: %v", err)
	}
	if _, err := c.Watch(ctx, "claims/a b", version); !platform.Unavailable.Has(err) {
		t.Fatalf("watch without change: %v", err)
	}
	p.Memory().SetFaults(platform.Faults{LoseNext: 1})
	if _, err := c.Put(ctx, "claims/a b", json.RawMessage(`{"n":2}`), version); !platform.Unavailable.Has(err) {
		t.Fatalf("lost answer: %v", err)
	}
	o, err := c.Watch(ctx, "claims/a b", version)
	if err != nil || string(o.Value) != `{"n":2}` {
		t.Fatalf("after the lost answer: %s, %v", o.Value, err)
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
		t.Fatalf("above the rate: %v", err)
	}
	p.Memory().SetFaults(platform.Faults{Down: true})
	if _, err := c.Instances(ctx); !platform.Unavailable.Has(err) {
		t.Fatalf("down: %v", err)
	}
}

// post sends one call and returns its status, or 0 when the connection broke.
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

// TestColdEndpointFallsOver gives a cold process one call too many, and sees
// it refuse connections and come back cold, as another process, at the same
// address.
func TestColdEndpointFallsOver(t *testing.T) {
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
		t.Fatalf("after a call too many: %+v", s)
	}
	if !p.warmth.isCold() {
		t.Fatal("one answer made a new process warm")
	}
	cancel()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}

func TestPrefixCacheIsLimited(t *testing.T) {
	c := newPrefixCache(2)
	prompt := string(make([]byte, 2*blockTokens*bytesPerToken))
	if n := c.use(prompt); n != 0 {
		t.Fatalf("cached %d tokens before the first use", n)
	}
	if n := c.use(prompt); n != 2*blockTokens {
		t.Fatalf("cached %d tokens of two blocks", n)
	}
	c.use("another " + prompt)
	if n := c.use(prompt); n != 0 {
		t.Fatalf("cached %d tokens after eviction", n)
	}
}

func TestOrdersWithAndWithoutFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		o := newOrders(checks, 0, func() {})
		o.take(Order{Kind: SetVersion, Value: "new", Fence: 7})
		if taken := o.take(Order{Kind: SetVersion, Value: "old", Fence: 6}); taken == checks {
			t.Fatalf("checks %v: an old order was taken: %v", checks, taken)
		}
	}
}
