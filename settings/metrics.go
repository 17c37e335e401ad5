package settings

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the Prometheus metrics of a Follower.
type metrics struct {
	version      prometheus.Gauge
	installed    prometheus.Counter
	outdated     prometheus.Counter
	rejected     prometheus.Counter
	peerFetches  *prometheus.CounterVec
	storeWatches *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer, age func() time.Duration) *metrics {
	m := &metrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "azurelead_settings_version", Help: "Settings version in force."}),
		installed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_settings_installed_total", Help: "Newer versions that came into force."}),
		outdated: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_settings_outdated_total", Help: "Received versions that were ignored because they are not newer."}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_settings_refused_total", Help: "Received versions that were rejected because they do not decode or do not match their digest."}),
		peerFetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_settings_asked_total", Help: "Requests to peers by outcome."}, []string{"outcome"}),
		storeWatches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_settings_watched_total", Help: "Watches of the store by outcome."}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.version, m.installed, m.outdated, m.rejected, m.peerFetches, m.storeWatches, ageGauge(age))
	}
	return m
}

// ageGauge returns a gauge of the time since the version was last confirmed; +Inf before the
// first confirmation.
func ageGauge(age func() time.Duration) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "azurelead_settings_age_seconds", Help: "Time since the version in force was last known to be the latest accepted.",
	}, func() float64 {
		if a := age(); a != math.MaxInt64 {
			return a.Seconds()
		}
		return math.Inf(1)
	})
}

// outcomeLabel returns the value of the label outcome.
func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
