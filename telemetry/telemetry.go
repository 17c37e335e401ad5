// Package telemetry sets up the observability of a process: structured logs, metrics and health
// checks on the operators' port, and traces exported with OTLP over HTTP.
package telemetry

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"os"
	"sync/atomic"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Error is the class of this package's errors.
var Error = errs.Class("telemetry")

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(level slog.Level) *slog.Logger {
	return slog.New(newHandler(os.Stderr, level))
}

// NewRegistry returns a metrics registry with the Go and process collectors.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), DroppedLines)
	return r
}

// Readiness holds whether this process accepts new work, as reported to the load balancer.
type Readiness struct{ ready atomic.Bool }

// Set sets whether the process accepts new work.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// Ready reports whether the process accepts new work.
func (r *Readiness) Ready() bool { return r.ready.Load() }

func (r *Readiness) serve(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// OperatorsHandler returns a handler that serves /metrics, /healthz and /readyz, and the pprof
// endpoints if profiling is set.
func OperatorsHandler(reg *prometheus.Registry, ready *Readiness, profiling bool) http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	router.HandleFunc("/readyz", ready.serve)
	if profiling {
		router.HandleFunc("/debug/pprof/profile", pprof.Profile)
		router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	}
	return router
}

// SetupTracing installs the W3C trace context propagator and a global tracer provider that exports
// to otlpURL. If otlpURL is empty, no provider is installed and trace contexts are only propagated.
// The returned function flushes and stops the exporter.
func SetupTracing(ctx context.Context, service, otlpURL string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if otlpURL == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(otlpURL))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", service))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
