package suspect

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts crashes, cleared marks and refusals.
type metrics struct {
	crashes prometheus.Counter
	cleared prometheus.Counter
	refused prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, t *Table) *metrics {
	m := &metrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_crashes_total", Help: "Requests that were in flight at endpoint crashes seen by this process.",
		}),
		cleared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_cleared_total", Help: "Marks cleared by a successful run.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_refused_total", Help: "Verdicts that refused a request.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.crashes, m.cleared, m.refused, t.gauge("alone", Alone), t.gauge("refused", Refused))
	}
	return m
}

// gauge returns a metric that counts the marks with a verdict when it is collected.
func (t *Table) gauge(label string, v Verdict) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "azurelead_suspect_marks", Help: "Marked requests by verdict.",
		ConstLabels: prometheus.Labels{"verdict": label},
	}, func() float64 { return float64(t.count(v)) })
}

// count returns the number of marks with a verdict.
func (t *Table) count(v Verdict) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, now := 0, time.Now()
	for _, m := range t.marks.Values() {
		if m.verdict(now) == v {
			n++
		}
	}
	return n
}
