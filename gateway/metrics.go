package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/telemetry"
)

// Metrics counts requests and measures their times.
type Metrics struct {
	// Requests are by route, Organisations by organisation: by both there would be
	// too many counters.
	Requests             *prometheus.CounterVec
	OrganisationRequests *prometheus.CounterVec
	Duration             *prometheus.HistogramVec
	TimeToFirstEvent     *prometheus.HistogramVec
	StageDuration        *prometheus.HistogramVec
	Retries              *prometheus.CounterVec
	RetryBudget          *prometheus.CounterVec
	InFlight             prometheus.Gauge

	routes, organisations telemetry.Labels
}

// timeBuckets span from an answer of a service to the longest deadline, in seconds.
var timeBuckets = []float64{.01, .03, .1, .3, 1, 3, 10}

// NewMetrics returns metrics that are registered unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "azurelead", Subsystem: "gateway", Name: name, Help: help, Buckets: timeBuckets,
		}, []string{"service"})
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "azurelead", Subsystem: "gateway", Name: name, Help: help}, labels)
	}
	m := &Metrics{
		Requests:             counter("requests_total", "Requests of clients, by route, service and outcome.", "route", "service", "outcome"),
		OrganisationRequests: counter("organisation_requests_total", "Requests of clients, by organisation and outcome.", "organisation", "outcome"),
		Duration:             histogram("duration_seconds", "Time to the end of the answer."),
		TimeToFirstEvent:     histogram("first_event_seconds", "Time to the first event of a stream."),
		StageDuration:        histogram("stages_seconds", "Time that the stages took, waiting included."),
		Retries:              counter("retries_total", "Requests that were sent to another endpoint.", "service"),
		RetryBudget:          counter("retry_budget_total", "Retries that the budget paid for, and requests that it denied one.", "service", "verdict"),
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "azurelead", Subsystem: "gateway", Name: "in_flight", Help: "Requests that are not answered yet.",
		}),
	}
	if r != nil {
		r.MustRegister(m.Requests, m.OrganisationRequests, m.Duration, m.TimeToFirstEvent, m.StageDuration, m.Retries, m.RetryBudget, m.InFlight)
	}
	return m
}

// ended is a request that ended, as far as it is counted.
type ended struct {
	route, organisation, service, outcome string
	trace                                 *trace
	took                                  time.Duration
}

func (m *Metrics) observe(e ended) {
	m.Requests.WithLabelValues(m.routes.Of(e.route), e.service, e.outcome).Inc()
	m.OrganisationRequests.WithLabelValues(m.organisations.Of(e.organisation), e.outcome).Inc()
	m.Duration.WithLabelValues(e.service).Observe(e.took.Seconds())
	if e.trace.firstEvent > 0 {
		m.TimeToFirstEvent.WithLabelValues(e.service).Observe(e.trace.firstEvent.Seconds())
	}
	if e.trace.stageWait > 0 {
		m.StageDuration.WithLabelValues(e.service).Observe(e.trace.stageWait.Seconds())
	}
	if n := len(e.trace.sends); n > 1 {
		m.Retries.WithLabelValues(e.service).Add(float64(n - 1))
	}
	if e.trace.paid > 0 {
		m.RetryBudget.WithLabelValues(e.service, "paid").Add(float64(e.trace.paid))
	}
	if e.trace.denied {
		m.RetryBudget.WithLabelValues(e.service, "denied").Inc()
	}
}
