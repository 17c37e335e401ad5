package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// metrics are the Prometheus metrics of an agent.
type metrics struct {
	attempts        *prometheus.CounterVec
	refused         *prometheus.CounterVec
	cold            *prometheus.CounterVec
	duplicates      prometheus.Counter
	orphans         prometheus.Counter
	attached        prometheus.Counter
	settled         *prometheus.CounterVec
	pauses          prometheus.Counter
	crashes         prometheus.Counter
	tokens          prometheus.Counter
	endpointSeconds prometheus.Histogram
}

func newMetrics(r prometheus.Registerer, load func() link.Load) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "azurelead_agent_" + name, Help: help})
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "azurelead_agent_" + name, Help: help}, []string{label})
	}
	m := &metrics{
		attempts:   vec("attempts_total", "Finished attempts, by run state.", "run"),
		refused:    vec("refused_total", "Attempts refused as not run, by code.", "code"),
		cold:       vec("cold_total", "Times the endpoint was marked as cold, by reason.", "reason"),
		duplicates: counter("duplicates_total", "Attempts whose id was received before."),
		orphans:    counter("orphans_total", "Attempts cancelled because no link waited for them."),
		attached:   counter("attached_total", "Attempts taken over on a new link."),
		settled:    vec("settled_total", "Queries of the state of an attempt, by state.", "state"),
		pauses:     counter("pauses_total", "Detected pauses of this process."),
		crashes:    counter("endpoint_crashes_total", "Crashes of the endpoint with calls in flight."),
		tokens:     counter("tokens_total", "Tokens received from the endpoint."),
		endpointSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "azurelead_agent_endpoint_seconds", Help: "Duration of a call at the endpoint.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
	gauge := func(name, help string, f func(link.Load) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "azurelead_agent_" + name, Help: help},
			func() float64 { return float64(f(load())) })
	}
	if r != nil {
		r.MustRegister(m.attempts, m.refused, m.cold, m.duplicates, m.orphans, m.attached, m.settled,
			m.pauses, m.crashes, m.tokens, m.endpointSeconds,
			gauge("limit", "Calls that the endpoint may run concurrently.", func(l link.Load) int { return l.Limit }),
			gauge("in_flight", "Calls that are running or queued.", func(l link.Load) int { return l.InFlight }))
	}
	return m
}

func (m *metrics) observe(r link.RunResult) {
	m.attempts.WithLabelValues(string(r.Run)).Inc()
	if r.Run == contract.NotRun {
		m.refused.WithLabelValues(string(r.Code)).Inc()
	}
	m.endpointSeconds.Observe(float64(r.Usage.EndpointUS) / 1e6)
	m.tokens.Add(float64(r.TokenCount))
}
