package coordinate

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/dispatch"
)

// Metrics counts what the dispatcher did.
type Metrics struct {
	Jobs         *prometheus.CounterVec
	Calls        prometheus.Counter
	CallFailures prometheus.Counter
	Tasks        prometheus.Counter
}

// NewMetrics returns metrics that are registered unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "azurelead", Subsystem: "stages", Name: name, Help: help}
	}
	m := &Metrics{
		Jobs:         prometheus.NewCounterVec(opts("jobs_total", "Requests whose stages were dispatched, by outcome."), []string{"outcome"}),
		Calls:        prometheus.NewCounter(opts("calls_total", "Calls of endpoints of stage services.")),
		CallFailures: prometheus.NewCounter(opts("call_failures_total", "Calls of endpoints of stage services that brought no results.")),
		Tasks:        prometheus.NewCounter(opts("tasks_total", "Tasks in calls of endpoints of stage services.")),
	}
	if r != nil {
		r.MustRegister(m.Jobs, m.Calls, m.CallFailures, m.Tasks)
	}
	return m
}

// gauges are read from the dispatcher's books when they are asked for.
var gauges = []struct {
	desc *prometheus.Desc
	of   func(dispatch.ServiceStats) float64
}{
	{gauge("waiting_tasks", "Tasks that no call has yet."), func(o dispatch.ServiceStats) float64 { return float64(o.QueuedTasks) }},
	{gauge("running_calls", "Calls in progress."), func(o dispatch.ServiceStats) float64 { return float64(o.RunningCalls) }},
	{gauge("endpoints", "Endpoints that may get calls."), func(o dispatch.ServiceStats) float64 { return float64(o.Endpoints) }},
	{gauge("resting_endpoints", "Endpoints among them that failed lately."), func(o dispatch.ServiceStats) float64 { return float64(o.BackedOff) }},
	{gauge("room_bytes", "Memory that is left for results."), func(o dispatch.ServiceStats) float64 { return float64(o.FreeMemory) }},
	{gauge("room_total_bytes", "Memory for results."), func(o dispatch.ServiceStats) float64 { return float64(o.TotalMemory) }},
}

func gauge(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("azurelead_stages_"+name, help+" Of the entry that dispatches.", []string{"service"}, nil)
}

// Describe implements prometheus.Collector.
func (c *Coordinator) Describe(ch chan<- *prometheus.Desc) {
	for _, g := range gauges {
		ch <- g.desc
	}
}

// Collect implements prometheus.Collector.
func (c *Coordinator) Collect(ch chan<- prometheus.Metric) {
	c.mu.Lock()
	list := c.d.Stats(time.Now())
	c.mu.Unlock()
	for _, o := range list {
		for _, g := range gauges {
			ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.of(o), o.Service)
		}
	}
}
