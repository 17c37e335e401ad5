package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/pipeline"
)

// metrics holds the metrics of an entry.
type metrics struct {
	requests       *prometheus.CounterVec
	inFlight       prometheus.Gauge
	joined         *prometheus.CounterVec
	refusalSeconds prometheus.Histogram
	stageSeconds   *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	tokens         *prometheus.CounterVec
	endpointTime   *prometheus.CounterVec
	wastedTime     *prometheus.CounterVec
	recoveries     *prometheus.CounterVec
	dials          *prometheus.CounterVec
	links          prometheus.Gauge
	pauses         prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "azurelead_entry_" + name, Help: help}, labels)
	}
	m := &metrics{
		requests:       vec("requests_total", "Requests by organisation, pipeline, problem code and run state.", "organisation", "pipeline", "code", "run"),
		inFlight:       prometheus.NewGauge(prometheus.GaugeOpts{Name: "azurelead_entry_requests_in_flight", Help: "Requests in progress."}),
		joined:         vec("joined_total", "Requests that joined the run of an identical request.", "organisation", "pipeline"),
		refusalSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "azurelead_entry_refusal_seconds", Help: "Time until a request was refused.", Buckets: prometheus.ExponentialBuckets(0.0001, 4, 9)}),
		stageSeconds:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "azurelead_entry_stage_seconds", Help: "Duration of stages.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16)}, []string{"pipeline", "stage"}),
		attempts:       vec("attempts_total", "Attempts by kind: first, retry, redirect or hedge.", "pool", "kind"),
		tokens:         vec("tokens_total", "Engine tokens by kind: prompt, cached or generated.", "organisation", "pipeline", "stage", "kind"),
		endpointTime:   vec("endpoint_seconds_total", "Time spent at endpoints.", "organisation", "pipeline", "stage"),
		wastedTime:     vec("wasted_seconds_total", "Time spent at endpoints on attempts that contributed to no answer.", "organisation", "pipeline", "stage"),
		recoveries:     vec("recoveries_total", "Attempts settled over a new link, by the state that was found.", "found"),
		dials:          vec("dials_total", "Dials of agents.", "result"),
		links:          prometheus.NewGauge(prometheus.GaugeOpts{Name: "azurelead_entry_links", Help: "Links to agents that are up."}),
		pauses:         prometheus.NewCounter(prometheus.CounterOpts{Name: "azurelead_entry_pauses_total", Help: "Detected pauses of the process."}),
	}
	reg.MustRegister(m.requests, m.inFlight, m.joined, m.refusalSeconds, m.stageSeconds, m.attempts, m.tokens,
		m.endpointTime, m.wastedTime, m.recoveries, m.dials, m.links, m.pauses)
	return m
}

// recordUsage adds the usage of one attempt.
func (m *metrics) recordUsage(organisation, pipelineName, stage string, u pipeline.Usage, succeeded bool) {
	for _, t := range []struct {
		kind string
		n    int
	}{{"prompt", u.PromptTokens}, {"cached", u.CachedTokens}, {"generated", u.GeneratedTokens}} {
		if t.n > 0 {
			m.tokens.WithLabelValues(organisation, pipelineName, stage, t.kind).Add(float64(t.n))
		}
	}
	m.endpointTime.WithLabelValues(organisation, pipelineName, stage).Add(endpointSeconds(u))
	if !succeeded {
		m.recordWaste(organisation, pipelineName, stage, u)
	}
}

// recordWaste adds endpoint time that contributed to no answer.
func (m *metrics) recordWaste(organisation, pipelineName, stage string, u pipeline.Usage) {
	m.wastedTime.WithLabelValues(organisation, pipelineName, stage).Add(endpointSeconds(u))
}

func endpointSeconds(u pipeline.Usage) float64 {
	return (time.Duration(u.EndpointUS) * time.Microsecond).Seconds()
}
