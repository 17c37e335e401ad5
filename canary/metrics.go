package canary

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of roll-outs.
type Metrics struct {
	// Share is the share of a service's requests that the target of its roll-out gets.
	Share *prometheus.GaugeVec
	// Verdicts counts the versions that this entry has rejected.
	Verdicts *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "azurelead_rollout_share", Help: "Share of a service's requests that the target of its roll-out gets.",
		}, []string{"service"}),
		Verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_rollout_verdicts_total", Help: "Versions that this entry has rejected.",
		}, []string{"service", "state"}),
	}
	if reg != nil {
		reg.MustRegister(m.Share, m.Verdicts)
	}
	return m
}
