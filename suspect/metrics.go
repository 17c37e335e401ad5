package suspect

import "github.com/prometheus/client_golang/prometheus"

// metrics counts crashes and what follows from them.
type metrics struct {
	marks   prometheus.Gauge
	crashes prometheus.Counter
	cleared prometheus.Counter
	refused prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		marks: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "azurelead_suspect_marks", Help: "Requests marked for having been in flight at a crash.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_crashes_total", Help: "Requests in flight at crashes seen by this process.",
		}),
		cleared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_cleared_total", Help: "Marks removed by a good run.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_refused_total", Help: "Verdicts that refused a request.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.marks, m.crashes, m.cleared, m.refused)
	}
	return m
}
