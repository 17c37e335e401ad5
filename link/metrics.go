package link

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the Prometheus metrics of a process's links.
type Metrics struct {
	openLinks    prometheus.Gauge
	dials        *prometheus.CounterVec
	dropped      *prometheus.CounterVec
	lateMessages prometheus.Counter
	tokens       prometheus.Counter
	bytesIn      prometheus.Counter
	bytesOut     prometheus.Counter
	flushes      prometheus.Counter
	probes       prometheus.Counter
}

// NewMetrics returns metrics that are registered with r. If r is nil, they are not registered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "azurelead_link_" + name, Help: help})
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "azurelead_link_" + name, Help: help}, []string{label})
	}
	m := &Metrics{
		openLinks:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "azurelead_link_open", Help: "Open links."}),
		dials:        vec("dials_total", "Handshakes started by this process, by result.", "result"),
		dropped:      vec("dropped_total", "Links dropped by this process, by reason.", "reason"),
		lateMessages: counter("late_messages_total", "Chunks and results for attempts without a waiting caller."),
		tokens:       counter("tokens_total", "Tokens received."),
		bytesIn:      counter("received_bytes_total", "Bytes received."),
		bytesOut:     counter("sent_bytes_total", "Bytes sent."),
		flushes:      counter("flushes_total", "Writes to connections."),
		probes:       counter("suspicions_total", "Probes of silent links with a second connection."),
	}
	if r != nil {
		r.MustRegister(m.openLinks, m.dials, m.dropped, m.lateMessages, m.tokens, m.bytesIn, m.bytesOut, m.flushes, m.probes)
	}
	return m
}
