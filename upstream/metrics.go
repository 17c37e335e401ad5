package upstream

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts events on connections to endpoints.
type Metrics struct {
	Dials                 prometheus.Counter
	DialFailures          prometheus.Counter
	MismatchedResponses   prometheus.Counter
	UncorrelatedResponses prometheus.Counter
	// BudgetRefusals counts the responses that were ended because the budget allowed them no more memory.
	BudgetRefusals prometheus.Counter
}

// NewMetrics returns the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "azurelead", Subsystem: "upstream", Name: name, Help: help})
	}
	m := &Metrics{
		Dials:                 counter("dials_total", "Connections opened to endpoints."),
		DialFailures:          counter("dial_failures_total", "Failed attempts to open a connection to an endpoint."),
		MismatchedResponses:   counter("foreign_answers_total", "Responses that belonged to another request."),
		UncorrelatedResponses: counter("unnamed_answers_total", "Responses that named no request."),
		BudgetRefusals:        counter("budget_refusals_total", "Responses that were ended because their endpoint held its share of the memory for responses."),
	}
	if r != nil {
		r.MustRegister(m.Dials, m.DialFailures, m.MismatchedResponses, m.UncorrelatedResponses, m.BudgetRefusals)
	}
	return m
}
