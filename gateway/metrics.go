package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/telemetry"
)

// Metrics holds the gateway's request counters and latency histograms.
type Metrics struct {
	// Requests is labelled by route and OrganisationRequests by organisation, because both labels
	// on one metric would create too many time series.
	Requests             *prometheus.CounterVec
	OrganisationRequests *prometheus.CounterVec
	Duration             *prometheus.HistogramVec
	TimeToFirstEvent     *prometheus.HistogramVec
	StageDuration        *prometheus.HistogramVec
	Retries              *prometheus.CounterVec
	RetryBudget          *prometheus.CounterVec
	// ClientResumptions is labelled by what is known of where the stream began.
	ClientResumptions *prometheus.CounterVec
	InFlight          prometheus.Gauge
	Panics            prometheus.Counter
	// SilentAttempts counts the verdicts on silent endpoints.
	SilentAttempts *prometheus.CounterVec
	// UnframedEnds counts the verdicts on endpoints at the end of responses without a length.
	UnframedEnds *prometheus.CounterVec
	// LimitedPrompts counts the prompts that exceed a limit.
	LimitedPrompts *prometheus.CounterVec

	routeLabels, organisationLabels telemetry.LabelLimiter
}

// timeBuckets range from a service's response time to the longest deadline, in seconds.
var timeBuckets = []float64{.01, .03, .1, .3, 1, 3, 10}

// NewMetrics creates the metrics and registers them with r unless r is nil.
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
		Requests:             counter("requests_total", "Client requests by route, service and outcome.", "route", "service", "outcome"),
		OrganisationRequests: counter("organisation_requests_total", "Client requests by organisation and outcome.", "organisation", "outcome"),
		Duration:             histogram("duration_seconds", "Time from the arrival of a request to the end of its response."),
		TimeToFirstEvent:     histogram("first_event_seconds", "Time from the arrival of a request to the first event of its stream."),
		StageDuration:        histogram("stages_seconds", "Duration of a request's stages, including queueing."),
		Retries:              counter("retries_total", "Times that requests were sent to a further endpoint.", "service"),
		RetryBudget:          counter("retry_budget_total", "Retries granted by the retry budget, and requests that were denied a retry.", "service", "verdict"),
		ClientResumptions:    counter("client_resumptions_total", "Streams that clients resume, by whether their origin is known, unknown, ambiguous or gone.", "service", "origin"),
		Panics: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "azurelead", Subsystem: "gateway", Name: "panics_total", Help: "Requests whose handler panicked.",
		}),
		SilentAttempts: counter("silent_attempts_total", "Attempts whose endpoint was silent, by whether another one took over, or why not.", "service", "verdict"),
		UnframedEnds:   counter("unframed_ends_total", "Ends of responses without a length, by whether the process that sent the response serves, was replaced or is gone.", "service", "verdict"),
		LimitedPrompts: counter("limited_prompts_total", "Prompts that exceed a limit, by limit: parts beyond those that are tracked, or a length that no engine can hold.", "limit"),
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "azurelead", Subsystem: "gateway", Name: "in_flight", Help: "Requests in progress.",
		}),
	}
	if r != nil {
		r.MustRegister(m.Requests, m.OrganisationRequests, m.Duration, m.TimeToFirstEvent, m.StageDuration, m.Retries, m.RetryBudget, m.ClientResumptions, m.InFlight, m.Panics, m.SilentAttempts, m.UnframedEnds, m.LimitedPrompts)
	}
	return m
}

// completedRequest is what the metrics record of a completed request.
type completedRequest struct {
	route, organisation, service, outcome string
	record                                *accessRecord
	duration                              time.Duration
}

func (m *Metrics) observe(req completedRequest) {
	m.Requests.WithLabelValues(m.routeLabels.Limit(req.route), req.service, req.outcome).Inc()
	m.OrganisationRequests.WithLabelValues(m.organisationLabels.Limit(req.organisation), req.outcome).Inc()
	m.Duration.WithLabelValues(req.service).Observe(req.duration.Seconds())
	if req.record.timeToFirstEvent > 0 {
		m.TimeToFirstEvent.WithLabelValues(req.service).Observe(req.record.timeToFirstEvent.Seconds())
	}
	if req.record.stageDuration > 0 {
		m.StageDuration.WithLabelValues(req.service).Observe(req.record.stageDuration.Seconds())
	}
	if n := len(req.record.sends); n > 1 {
		m.Retries.WithLabelValues(req.service).Add(float64(n - 1))
	}
	if req.record.retriesGranted > 0 {
		m.RetryBudget.WithLabelValues(req.service, "paid").Add(float64(req.record.retriesGranted))
	}
	if req.record.retryDenied {
		m.RetryBudget.WithLabelValues(req.service, "denied").Inc()
	}
}
