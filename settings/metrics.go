package settings

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics count what a follower does.
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
			Name: "azurelead_settings_installed_total", Help: "Newer versions put in force."}),
		outdated: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_settings_outdated_total", Help: "Offers of a version that is not newer, ignored."}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_settings_refused_total", Help: "Offers refused because they do not decode or fit their digest."}),
		peerFetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_settings_asked_total", Help: "Questions to peers by outcome."}, []string{"outcome"}),
		storeWatches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_settings_watched_total", Help: "Watches of the store by outcome."}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.version, m.installed, m.outdated, m.rejected, m.peerFetches, m.storeWatches, ageGauge(age))
	}
	return m
}

// ageGauge shows how long ago the version was confirmed, +Inf before the first.
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

func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
