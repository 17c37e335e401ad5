package upstream

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what happens on connections to endpoints.
type Metrics struct {
	Dials               prometheus.Counter
	DialFailures        prometheus.Counter
	MismatchedResponses prometheus.Counter
}

// NewMetrics returns metrics that are registered unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "azurelead", Subsystem: "upstream", Name: name, Help: help})
	}
	m := &Metrics{
		Dials:               counter("dials_total", "Connections opened to endpoints."),
		DialFailures:        counter("dial_failures_total", "Connections to endpoints that could not be opened."),
		MismatchedResponses: counter("foreign_answers_total", "Answers that belonged to another request."),
	}
	if r != nil {
		r.MustRegister(m.Dials, m.DialFailures, m.MismatchedResponses)
	}
	return m
}
