package link

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what happens on a process's links.
type Metrics struct {
	open       prometheus.Gauge
	dials      *prometheus.CounterVec
	dropped    *prometheus.CounterVec
	late       prometheus.Counter
	tokens     prometheus.Counter
	bytesIn    prometheus.Counter
	bytesOut   prometheus.Counter
	flushes    prometheus.Counter
	suspicions prometheus.Counter
}

// NewMetrics registers the counters with r; a nil r leaves them unregistered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "azurelead_link_" + name, Help: help})
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "azurelead_link_" + name, Help: help}, []string{label})
	}
	m := &Metrics{
		open:       prometheus.NewGauge(prometheus.GaugeOpts{Name: "azurelead_link_open", Help: "Open links."}),
		dials:      vec("dials_total", "Handshakes begun by this process.", "result"),
		dropped:    vec("dropped_total", "Links dropped by this process.", "reason"),
		late:       counter("late_messages_total", "Chunks and results for attempts that nobody waits for."),
		tokens:     counter("tokens_total", "Tokens carried."),
		bytesIn:    counter("received_bytes_total", "Bytes read."),
		bytesOut:   counter("sent_bytes_total", "Bytes written."),
		flushes:    counter("flushes_total", "Writes to connections."),
		suspicions: counter("suspicions_total", "Times a silent link was tried against a new one."),
	}
	if r != nil {
		r.MustRegister(m.open, m.dials, m.dropped, m.late, m.tokens, m.bytesIn, m.bytesOut, m.flushes, m.suspicions)
	}
	return m
}
