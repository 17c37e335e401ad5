package link

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// BenchmarkRun measures a small call over loopback.
func BenchmarkRun(b *testing.B) {
	f := &fakeAgent{run: func(_ context.Context, p RunParams, _ func(string)) RunResult {
		return RunResult{Run: contract.Ran, Output: pipeline.Output{Text: p.Input.Text}}
	}}
	_, addr := startServer(b, f, ServerOptions{})
	c := dial(b, addr, ClientOptions{})
	p := RunParams{Request: contract.NewRequestID(), Organisation: "org", Pipeline: "answers", Stage: "encode"}
	p.Input.Text = "How do I reset the thermal cut-out?"
	b.ReportAllocs()
	for b.Loop() {
		p.Attempt = contract.NewAttemptID()
		if _, err := c.Run(context.Background(), p, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTokens measures the token throughput of many streams on one link, from emit at the agent
// to the callback of Run, both in this process.
func BenchmarkTokens(b *testing.B) {
	const streams = 64
	f := &fakeAgent{run: func(_ context.Context, p RunParams, emit func(string)) RunResult {
		n := p.Input.MaxTokens
		for i := range n {
			emit(" token")
			if i%8 == 7 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		return RunResult{Run: contract.Ran, TokenCount: n}
	}}
	_, addr := startServer(b, f, ServerOptions{})
	c := dial(b, addr, ClientOptions{})
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			p := RunParams{Attempt: contract.NewAttemptID()}
			p.Input.MaxTokens = b.N / streams
			if _, err := c.Run(context.Background(), p, func(Chunk) {}); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkPing measures the cost of a ping for both sides together, and the bytes that it sends
// and receives.
func BenchmarkPing(b *testing.B) {
	reg := prometheus.NewRegistry()
	metrics := NewMetrics(reg)
	_, addr := startServer(b, &fakeAgent{}, ServerOptions{})
	c := dial(b, addr, ClientOptions{Metrics: metrics})
	before := wireBytes(b, reg)
	b.ReportAllocs()
	for b.Loop() {
		c.ping()
	}
	b.ReportMetric((wireBytes(b, reg)-before)/float64(b.N), "wire-B/op")
}

// wireBytes returns the number of bytes that the client's links have sent and received.
func wireBytes(b *testing.B, reg *prometheus.Registry) float64 {
	b.Helper()
	families, err := reg.Gather()
	if err != nil {
		b.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if strings.HasSuffix(f.GetName(), "_bytes_total") {
			sum += f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return sum
}

// BenchmarkIdleLinks measures the memory of an idle link, for both sides together.
func BenchmarkIdleLinks(b *testing.B) {
	const links = 500
	_, addr := startServer(b, &fakeAgent{}, ServerOptions{})
	memoryInUse := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	for b.Loop() {
		before := memoryInUse()
		open := make([]*Client, links)
		for i := range open {
			open[i] = dial(b, addr, ClientOptions{})
		}
		b.ReportMetric((memoryInUse()-before)/links, "B/link")
		for _, c := range open {
			_ = c.Close()
		}
	}
}
