package suspect

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts crashes and what follows from them.
type metrics struct {
	crashes prometheus.Counter
	cleared prometheus.Counter
	refused prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, t *Table) *metrics {
	m := &metrics{
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
		reg.MustRegister(m.crashes, m.cleared, m.refused, t.gauge("alone", Alone), t.gauge("refused", Refused))
	}
	return m
}

// gauge counts the marks of one verdict when it is read.
func (t *Table) gauge(label string, v Verdict) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "azurelead_suspect_marks", Help: "Marked requests by what may be done with them.",
		ConstLabels: prometheus.Labels{"verdict": label},
	}, func() float64 { return float64(t.count(v)) })
}

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
