package gatewaydaemon

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// registerStateMetrics registers gauges that show how old and how complete this process's view of
// the platform is.
func (d *daemon) registerStateMetrics(reg prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "azurelead", Subsystem: "belief", Name: name, Help: help,
		}, value))
	}
	gauge("store_age_seconds", "Time since the store last answered this entry or, as far as reported, a linked one.", func() float64 {
		return secondsSince(d.mesh.LastStoreResponse())
	})
	gauge("behind_seconds", "Time for which linked entries have announced a newer state that this entry lacks; 0 if they have none.", func() float64 {
		return d.follower.Behind().Seconds()
	})
	gauge("configuration_version", "Version of the configuration in force; 0 if there is none yet.", func() float64 {
		if table := d.table.Load(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	gauge("linked_peers", "Linked entries that respond.", func() float64 { return float64(len(d.mesh.LivePeers())) })
	gauge("listed_entries", "Entries listed in the store.", func() float64 {
		if members := d.members.Load(); members != nil {
			return float64(len(*members))
		}
		return 0
	})
	gauge("endpoints", "Endpoints known to this entry.", func() float64 {
		listed, _ := d.roster.Count(time.Now())
		return float64(listed)
	})
	gauge("malformed_endpoints", "Listed objects that describe no usable endpoint.", func() float64 {
		return float64(d.malformedEndpoints.Load())
	})
	gauge("limited_endpoints", "Endpoints that state a rate limit for the requests of all entries.", func() float64 {
		return float64(d.roster.LimitedCount(time.Now()))
	})
	gauge("usable_endpoints", "Endpoints that may receive requests.", func() float64 {
		_, usable := d.roster.Count(time.Now())
		return float64(usable)
	})
}

// secondsSince returns the seconds since a time, or infinity if the time is zero.
func secondsSince(at time.Time) float64 {
	if at.IsZero() {
		return math.Inf(1)
	}
	return time.Since(at).Seconds()
}
