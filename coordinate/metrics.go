package coordinate

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/dispatch"
)

// Metrics counts the jobs and calls of the dispatcher.
type Metrics struct {
	Jobs         *prometheus.CounterVec
	Calls        prometheus.Counter
	CallFailures prometheus.Counter
	Tasks        prometheus.Counter
}

// NewMetrics returns the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "azurelead", Subsystem: "stages", Name: name, Help: help}
	}
	m := &Metrics{
		Jobs:         prometheus.NewCounterVec(opts("jobs_total", "Jobs submitted to the dispatcher, by outcome."), []string{"outcome"}),
		Calls:        prometheus.NewCounter(opts("calls_total", "Calls to endpoints of stage services.")),
		CallFailures: prometheus.NewCounter(opts("call_failures_total", "Calls to endpoints of stage services that returned no results.")),
		Tasks:        prometheus.NewCounter(opts("tasks_total", "Tasks in calls to endpoints of stage services.")),
	}
	if r != nil {
		r.MustRegister(m.Jobs, m.Calls, m.CallFailures, m.Tasks)
	}
	return m
}

// gauges are computed from the dispatcher's statistics on each scrape.
var gauges = []struct {
	desc  *prometheus.Desc
	value func(dispatch.ServiceStats) float64
}{
	{newGaugeDesc("waiting_tasks", "Tasks that are not part of a call yet."), func(s dispatch.ServiceStats) float64 { return float64(s.QueuedTasks) }},
	{newGaugeDesc("running_calls", "Calls in progress."), func(s dispatch.ServiceStats) float64 { return float64(s.RunningCalls) }},
	{newGaugeDesc("endpoints", "Endpoints that may receive calls."), func(s dispatch.ServiceStats) float64 { return float64(s.Endpoints) }},
	{newGaugeDesc("resting_endpoints", "Endpoints that may receive calls but are backed off after a failure."), func(s dispatch.ServiceStats) float64 { return float64(s.BackedOff) }},
	{newGaugeDesc("room_bytes", "Memory free for results, in bytes."), func(s dispatch.ServiceStats) float64 { return float64(s.FreeMemory) }},
	{newGaugeDesc("room_total_bytes", "Total memory for results, in bytes."), func(s dispatch.ServiceStats) float64 { return float64(s.TotalMemory) }},
}

// trackedPartsDesc describes the number of parts of prompts that engines are assumed to have cached.
var trackedPartsDesc = newGaugeDesc("tracked_parts", "Parts of prompts that the engines are assumed to have cached.")

// refusedSubjectsDesc describes the number of refused clients that are remembered.
var refusedSubjectsDesc = prometheus.NewDesc("azurelead_stages_refused_subjects", "Refused clients that are recognised when they come back. Reported by the entry that dispatches.", nil, nil)

func newGaugeDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("azurelead_stages_"+name, help+" Reported by the entry that dispatches.", []string{"service"}, nil)
}

// Describe implements prometheus.Collector.
func (c *Coordinator) Describe(ch chan<- *prometheus.Desc) {
	for _, g := range gauges {
		ch <- g.desc
	}
	ch <- trackedPartsDesc
	ch <- refusedSubjectsDesc
}

// Collect implements prometheus.Collector.
func (c *Coordinator) Collect(ch chan<- prometheus.Metric) {
	c.mu.Lock()
	services := c.dispatcher.Stats(time.Now())
	trackedParts, refused := c.dispatcher.TrackedParts(), c.refused.until.Len()
	c.mu.Unlock()
	ch <- prometheus.MustNewConstMetric(refusedSubjectsDesc, prometheus.GaugeValue, float64(refused))
	for service, n := range trackedParts {
		ch <- prometheus.MustNewConstMetric(trackedPartsDesc, prometheus.GaugeValue, float64(n), service)
	}
	for _, stats := range services {
		for _, g := range gauges {
			ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.value(stats), stats.Service)
		}
	}
}
