package gatewaydaemon

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// linkedDeployment starts three entries and waits until they are linked and know the engines.
func linkedDeployment(t *testing.T) (d *deployment, api, engine *fleettest.Server) {
	t.Helper()
	d = newDeployment(t, 3)
	api, _, engine, _, _ = d.startEndpoints(nil)
	d.waitReady()
	for _, e := range d.entries {
		d.eventually("the entries are linked and know the engines", func() bool {
			return len(e.daemon.mesh.LivePeers()) == 2 && len(e.daemon.roster.Engines(time.Now(), "llm")) == 2
		})
	}
	return d, api, engine
}

// An endpoint tells one entry that it leaves. All entries soon know it, without a request of their own.
func TestLeavingIsToldToOtherEntries(t *testing.T) {
	d, leaving, _ := linkedDeployment(t)
	leaving.SetLeaving()
	d.eventually("the leaving endpoint has answered", func() bool {
		d.send(d.entries[0], "GET", "/look/x", nil)
		return leaving.Requests() > 0
	})
	for _, e := range d.entries {
		d.eventually("the entry knows that the endpoint leaves", func() bool { return !e.daemon.roster.Usable(time.Now(), leaving.ID) })
	}
}

// An endpoint tells one entry that it is cold again. All entries soon share its cold rate.
func TestColdTimeIsToldToOtherEntries(t *testing.T) {
	d, _, engine := linkedDeployment(t)
	isCold := func(e *entry) bool {
		for _, c := range e.daemon.roster.Engines(time.Now(), "llm") {
			if c.ID == engine.ID {
				return c.Cold
			}
		}
		return false
	}
	engine.SetCold(time.Hour)
	d.eventually("the cold engine has answered", func() bool {
		d.send(d.entries[0], "POST", "/stream/plain/x", nil)
		return isCold(d.entries[0])
	})
	for _, e := range d.entries {
		d.eventually("the entry knows that the engine is cold", func() bool { return isCold(e) })
	}
}
