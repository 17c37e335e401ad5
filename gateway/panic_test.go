package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/azurelead/azurelead/catalog"
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
