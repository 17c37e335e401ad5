package clientlimit

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the connections that were refused or closed.
type Metrics struct {
	Refusals *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "azurelead_client_refusals_total", Help: "Client connections that were refused or closed for a limit.",
	}, []string{"limit"})}
	if reg != nil {
		reg.MustRegister(m.Refusals)
	}
	return m
}
