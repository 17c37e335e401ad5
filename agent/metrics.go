package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// metrics counts what the agent does.
type metrics struct {
	attempts   *prometheus.CounterVec
	refused    *prometheus.CounterVec
	cold       *prometheus.CounterVec
	duplicates prometheus.Counter
	orphans    prometheus.Counter
	attached   prometheus.Counter
	settled    *prometheus.CounterVec
	pauses     prometheus.Counter
	crashes    prometheus.Counter
	tokens     prometheus.Counter
	seconds    prometheus.Histogram
}

func newMetrics(r prometheus.Registerer, load func() link.Load) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "azurelead_agent_" + name, Help: help})
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "azurelead_agent_" + name, Help: help}, []string{label})
	}
	m := &metrics{
		attempts:   vec("attempts_total", "Attempts ended, by run state.", "run"),
		refused:    vec("refused_total", "Attempts refused as not run, by code.", "code"),
		cold:       vec("cold_total", "Times the endpoint was taken for cold, by reason.", "reason"),
		duplicates: counter("duplicates_total", "Attempts that came a second time."),
		orphans:    counter("orphans_total", "Attempts ended since no link waited for them."),
		attached:   counter("attached_total", "Attempts taken over on a new link."),
		settled:    vec("settled_total", "Attempts asked about, by state.", "state"),
		pauses:     counter("pauses_total", "Pauses of this process."),
		crashes:    counter("endpoint_crashes_total", "Crashes of the endpoint with calls in flight."),
		tokens:     counter("tokens_total", "Tokens from the endpoint."),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "azurelead_agent_endpoint_seconds", Help: "Time of a call at the endpoint.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
	gauge := func(name, help string, f func(link.Load) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "azurelead_agent_" + name, Help: help},
			func() float64 { return float64(f(load())) })
	}
	if r != nil {
		r.MustRegister(m.attempts, m.refused, m.cold, m.duplicates, m.orphans, m.attached, m.settled,
			m.pauses, m.crashes, m.tokens, m.seconds,
			gauge("limit", "Calls that the endpoint may run at once.", func(l link.Load) int { return l.Limit }),
			gauge("in_flight", "Calls that run or wait.", func(l link.Load) int { return l.InFlight }))
	}
	return m
}

func (m *metrics) ended(r link.RunResult) {
	m.attempts.WithLabelValues(string(r.Run)).Inc()
	if r.Run == contract.NotRun {
		m.refused.WithLabelValues(string(r.Code)).Inc()
	}
	m.seconds.Observe(float64(r.Usage.EndpointUS) / 1e6)
	m.tokens.Add(float64(r.TokenCount))
}
