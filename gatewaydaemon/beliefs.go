package gatewaydaemon

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// registerBeliefs registers what tells how old and how complete the process's
// knowledge is.
func (d *daemon) registerBeliefs(reg prometheus.Registerer) {
	gauge := func(name, help string, of func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "azurelead", Subsystem: "belief", Name: name, Help: help,
		}, of))
	}
	gauge("store_age_seconds", "Time since the store answered this entry, or a linked one as far as it told.", func() float64 {
		return age(d.mesh.LastStoreResponse())
	})
	gauge("configuration_version", "Version of the configuration in force; 0 before there is one.", func() float64 {
		if table := d.table.Load(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	gauge("linked_peers", "Entries that answer on their links.", func() float64 { return float64(len(d.mesh.LivePeers())) })
	gauge("listed_entries", "Entries that the store lists.", func() float64 {
		if members := d.members.Load(); members != nil {
			return float64(len(*members))
		}
		return 0
	})
	gauge("endpoints", "Endpoints that are listed.", func() float64 {
		listed, _ := d.roster.Count(time.Now())
		return float64(listed)
	})
	gauge("usable_endpoints", "Endpoints that may get work.", func() float64 {
		_, usable := d.roster.Count(time.Now())
		return float64(usable)
	})
}

// age is the time since a moment in seconds; infinite if it never was.
func age(at time.Time) float64 {
	if at.IsZero() {
		return math.Inf(1)
	}
	return time.Since(at).Seconds()
}
