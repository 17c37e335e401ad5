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

// traceCollector is an in-memory OTLP trace collector.
type traceCollector struct {
	mu    sync.Mutex
	spans []*trace.Span
}

// ServeHTTP implements http.Handler. It stores the exported spans.
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

// spanPath returns the names of the spans of the trace from the one whose name starts with leaf up to
// the caller's span, whose ID is root.
func (c *traceCollector) spanPath(traceID, leaf, root string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	byID := map[string]*trace.Span{}
	var span *trace.Span
	for _, candidate := range c.spans {
		if hex.EncodeToString(candidate.TraceId) != traceID {
			continue
		}
		byID[hex.EncodeToString(candidate.SpanId)] = candidate
		if strings.HasPrefix(candidate.Name, leaf) {
			span = candidate
		}
	}
	var names []string
	for span != nil {
		names = append(names, span.Name)
		parent := hex.EncodeToString(span.ParentSpanId)
		if parent == root {
			return append(names, "caller")
		}
		span = byID[parent]
	}
	return names
}

// TestEachHopHasItsSpan checks the trace of one request from the caller's span through the entry to
// the agent, which are two processes that export spans with OTLP.
func TestEachHopHasItsSpan(t *testing.T) {
	traces := &traceCollector{}
	server := httptest.NewServer(traces)
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
	for _, p := range []*process{e, agent} { // a planned stop exports the remaining spans
		if err := p.signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.wait(); err != nil {
			t.Error(err)
		}
	}
	got := strings.Join(traces.spanPath(traceID, "agent", spanID), " < ")
	if want := "agent answer < attempt < stage answer < request < caller"; got != want {
		t.Errorf("spans: %s, want %s", got, want)
	}
}
