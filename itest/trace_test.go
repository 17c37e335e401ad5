package itest

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/pipeline"
)

// traceCollector is a stand-in for a collector of traces.
type traceCollector struct {
	mu    sync.Mutex
	spans []*trace.Span
}

func (c *traceCollector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var request collector.ExportTraceServiceRequest
	if err != nil || proto.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resource := range request.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			c.spans = append(c.spans, scope.Spans...)
		}
	}
}

// spanPath returns the names of the spans from the one that starts with leaf up to
// the caller's own span.
func (c *traceCollector) spanPath(traceID, leaf, root string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	byID := map[string]*trace.Span{}
	var at *trace.Span
	for _, s := range c.spans {
		if hex.EncodeToString(s.TraceId) != traceID {
			continue
		}
		byID[hex.EncodeToString(s.SpanId)] = s
		if strings.HasPrefix(s.Name, leaf) {
			at = s
		}
	}
	var names []string
	for at != nil {
		names = append(names, at.Name)
		parent := hex.EncodeToString(at.ParentSpanId)
		if parent == root {
			return append(names, "caller")
		}
		at = byID[parent]
	}
	return names
}

// TestEachHopHasItsSpan follows one request's trace from the caller's own span
// through the entry to the agent, in two processes that export by OTLP.
func TestEachHopHasItsSpan(t *testing.T) {
	c := &traceCollector{}
	server := httptest.NewServer(c)
	defer server.Close()
	f := newFleet(t, chatSettings)
	engine := f.start("engine", "azurelead-standin", "engine").addr
	agent := f.startAgent("e1", "engines", pipeline.Generate, engine, "--otlp", server.URL+"/v1/traces")
	e := f.startEntry("entry1", "--otlp", server.URL+"/v1/traces")
	f.awaitAnswer(e, "chat", entry.Body{Question: "warm", MaxTokens: 1})

	const traceID, spanID = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	entryClient := client.Client{URL: "http://" + e.addr}
	if _, err := entryClient.Do(t.Context(), client.Request{
		Token: fleetToken, Pipeline: "chat", Deadline: 20 * time.Second, TraceParent: "00-" + traceID + "-" + spanID + "-01",
		Body: entry.Body{Question: "Where does the time go?", MaxTokens: 4},
	}, nil); err != nil {
		t.Fatal(err)
	}
	for _, p := range []*process{e, agent} { // a planned stop exports what is left
		if err := p.signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.wait(); err != nil {
			t.Error(err)
		}
	}
	got := strings.Join(c.spanPath(traceID, "agent", spanID), " < ")
	if want := "agent answer < attempt < stage answer < request < caller"; got != want {
		t.Errorf("spans: %s, want %s", got, want)
	}
}
