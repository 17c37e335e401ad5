package gateway

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// trace is what is logged of a request.
type trace struct {
	status     int
	own        bool
	reason     string
	outcome    string
	retryAfter time.Duration
	sends      []string
	seen       bool
	stageWait  time.Duration
	forecast   time.Duration
	tail       time.Duration
	dispatcher string
	firstEvent time.Duration
	events     int
	resumed    int
}

// add notes a send to an endpoint.
func (t *trace) add(a *attempt) {
	t.sends = append(t.sends, a.endpoint.ID+"@"+a.endpoint.DataCentre+" "+a.describe())
	if a.fate != notSent {
		t.seen = true
	}
}

// arrived reports whether an endpoint has seen the request.
func (t *trace) arrived() bool { return t.seen }

var fateNames = map[fate]string{answered: "answered", notSent: "not sent", rejected: "rejected", lost: "lost"}

func (a *attempt) describe() string {
	text := fateNames[a.fate]
	if a.err != nil {
		text += ": " + a.err.Error()
	}
	return text
}

// log writes the one line of a request that ended.
func (q *request) log() {
	t := &q.trace
	took := time.Since(q.began)
	outcome := t.outcome
	if outcome == "" {
		outcome = "answered"
		if t.own {
			outcome = "refused"
		}
	}
	routeName := ""
	if q.route != nil {
		routeName = q.route.Name
	}
	var version int64
	if q.table != nil {
		version = q.table.Version
	}
	q.g.o.Metrics.observe(q.service, outcome, t, took)
	q.g.o.Logger.Info("request", "request", q.head.Attempt, "route", routeName, "organisation", q.organisation(),
		"service", q.service, "shared", q.sharedName(), "configuration", version, "outcome", outcome, "status", t.status, "own", t.own,
		"reason", t.reason, "took_ms", took.Milliseconds(), "left_ms", q.left().Milliseconds(),
		"sends", strings.Join(t.sends, "; "), "dispatcher", t.dispatcher, "stages_ms", t.stageWait.Milliseconds(),
		"forecast_ms", t.forecast.Milliseconds(), "tail_ms", t.tail.Milliseconds(), "prompt", q.head.PromptTokens, "first_event_ms", t.firstEvent.Milliseconds(), "events", t.events,
		"resumed", t.resumed, "retry_after_ms", t.retryAfter.Milliseconds())
}

// Metrics counts requests and measures their times.
type Metrics struct {
	Requests   *prometheus.CounterVec
	Duration   *prometheus.HistogramVec
	FirstEvent *prometheus.HistogramVec
	Stages     *prometheus.HistogramVec
	Retries    *prometheus.CounterVec
	InFlight   prometheus.Gauge
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
		Requests:   counter("requests_total", "Requests of clients, by service and outcome.", "service", "outcome"),
		Duration:   histogram("duration_seconds", "Time to the end of the answer."),
		FirstEvent: histogram("first_event_seconds", "Time to the first event of a stream."),
		Stages:     histogram("stages_seconds", "Time that the stages took."),
		Retries:    counter("retries_total", "Requests that were sent to another endpoint.", "service"),
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "azurelead", Subsystem: "gateway", Name: "in_flight", Help: "Requests that are not answered yet.",
		}),
	}
	if r != nil {
		r.MustRegister(m.Requests, m.Duration, m.FirstEvent, m.Stages, m.Retries, m.InFlight)
	}
	return m
}

func (m *Metrics) observe(service, outcome string, t *trace, took time.Duration) {
	m.Requests.WithLabelValues(service, outcome).Inc()
	m.Duration.WithLabelValues(service).Observe(took.Seconds())
	if t.firstEvent > 0 {
		m.FirstEvent.WithLabelValues(service).Observe(t.firstEvent.Seconds())
	}
	if t.stageWait > 0 {
		m.Stages.WithLabelValues(service).Observe(t.stageWait.Seconds())
	}
	if n := len(t.sends); n > 1 {
		m.Retries.WithLabelValues(service).Add(float64(n - 1))
	}
}
