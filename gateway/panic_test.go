package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/platform/fleettest"
	"github.com/azurelead/azurelead/retrybudget"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/upstream"
)

// A request whose handler panics must be answered: net/http closes its connection without an answer.
func TestPanicIsAnswered(t *testing.T) {
	g := New(Options{Logger: slog.New(slog.DiscardHandler), Table: func() *catalog.Table { panic("a fault") }})
	server := httptest.NewServer(g)
	defer server.Close()
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d, want 502", resp.StatusCode)
	}
}

// A panic in an attempt, which runs in a goroutine of its own, must not end the process.
func TestPanicOfAnAttemptIsAnswered(t *testing.T) {
	s := fleettest.NewServer("s-1")
	defer s.Close()
	s.SetLeaving()
	r := roster.New(nil)
	r.SetEndpoints(time.Now(), []catalog.Endpoint{{ID: s.ID, Service: "api", Address: s.Address(), DataCentre: "north", Slots: 1}}, roster.Continuous)
	table := catalog.Compile(&catalog.Configuration{Routes: []catalog.Route{{
		Host: "shop.example", PathPrefix: "/", Timeout: time.Minute, MaxAttempts: 1, Services: []catalog.WeightedService{{Service: "api", Weight: 1}},
	}}})
	g := New(Options{
		Logger: slog.New(slog.DiscardHandler), Table: func() *catalog.Table { return table }, Roster: r, Upstream: upstream.New(upstream.Options{}),
		RetryBudgets: &retrybudget.Set{}, RetryPercent: func() int { return 0 }, OnNotice: func() { panic("a fault") },
	})
	server := httptest.NewServer(g)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "shop.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d, want 502", resp.StatusCode)
	}
}
