package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// discardWriter is a response writer that discards the response.
type discardWriter struct{ h http.Header }

func (d discardWriter) Header() http.Header         { return d.h }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) Flush()                      {}

// BenchmarkStream measures the entry's own work per streamed token, without sockets:
// buffer, digest and event, in chunks of eight tokens.
func BenchmarkStream(b *testing.B) {
	const chunk, chunks = 8, 32
	tokens := strings.SplitAfter("open the valve and wait for the tank ", " ")[:chunk]
	e := &Entry{m: newMetrics(prometheus.NewRegistry())}
	for b.Loop() {
		f := newFlight(context.Background(), "", "", time.Now().Add(time.Hour))
		c := &caller{e: e, w: discardWriter{http.Header{}}, req: &Request{}, f: f}
		for i := range chunks {
			_ = f.answer.add(link.Chunk{First: i * chunk, Tokens: tokens})
		}
		f.finish(nil)
		c.stream(context.Background())
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(chunk*chunks), "ns/token")
}

// BenchmarkRequest measures the entry's own work for a request of two stages, over links
// without sockets.
func BenchmarkRequest(b *testing.B) {
	h := newHarness(b, nil)
	i := 0
	for b.Loop() {
		i++
		if rec := h.post(b.Context(), testRequest{pipeline: "ask", body: fmt.Sprintf(`{"question":"%d"}`, i)}); rec.Code != http.StatusOK {
			b.Fatal(rec.Body)
		}
	}
}

// BenchmarkChoose measures the choice among the agents of one pool.
func BenchmarkChoose(b *testing.B) {
	candidates := make([]Candidate, 72)
	for i := range candidates {
		candidates[i] = Candidate{Name: fmt.Sprintf("engine-%d", i), Load: link.Load{Limit: 8, ServiceUS: 1000}}
	}
	f, q := NewFinishTime(), Query{Affinity: string(contract.NewAttemptID())}
	for b.Loop() {
		f.Choose(q, candidates)
	}
}
