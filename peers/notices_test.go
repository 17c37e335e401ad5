package peers

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/roster"
)

// nameLimit makes a roster know of a limit by a response of the endpoint.
func nameLimit(r *roster.Roster, endpoint string, perSecond float64) {
	now := time.Now()
	r.RecordStatus(now, catalog.Endpoint{ID: endpoint, Incarnation: 1}, roster.Status{Load: -1, Limit: roster.RateLimit{Active: true, PerSecond: perSecond}, SentAt: now})
}

// In a large deployment one spoke learns an endpoint's limit. It reaches every entry through the hubs,
// and so does the news that it has ended.
func TestNoticesReachAllEntriesThroughHubs(t *testing.T) {
	meshes, members := largeMesh(t, 40)
	var spoke *Mesh
	for _, m := range meshes {
		m.o.Roster.SetEndpoints(time.Now(), []catalog.Endpoint{{ID: "e", Incarnation: 1}}, roster.Continuous)
		m.SetMembers(t.Context(), members)
		if m.IsSpoke() {
			spoke = m
		}
	}
	known := func(want bool) func() bool {
		return func() bool {
			for _, m := range meshes {
				if m.o.Roster.HasRateLimit(time.Now(), "e") != want {
					return false
				}
			}
			return true
		}
	}
	await(t, "the spoke to be linked", func() bool { return len(spoke.LivePeers()) > 0 })
	nameLimit(spoke.o.Roster, "e", 2)
	spoke.PingAll()
	await(t, "all entries to know the limit", known(true))
	time.Sleep(100 * time.Millisecond) // the limit's age must be above the allowance for its transit
	now := time.Now()
	spoke.o.Roster.RecordStatus(now, catalog.Endpoint{ID: "e", Incarnation: 1}, roster.Status{Load: -1, SentAt: now})
	spoke.PingAll()
	await(t, "all entries to know that the limit has ended", known(false))
}

// Each notice is sent once on a link, and all of them are sent on a new one.
func TestNoticesAreSentOnce(t *testing.T) {
	meshes, _ := largeMesh(t, 1)
	m := meshes[0]
	m.o.Roster.SetEndpoints(time.Now(), []catalog.Endpoint{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}}, roster.Continuous)
	l := &peerLink{}
	sent := func() string {
		p := m.ping("")
		l.noticesSent = m.addNotices(&p, l)
		encoded, err := json.Marshal(p.Notices)
		if err != nil {
			t.Fatal(err)
		}
		return string(encoded)
	}
	nameLimit(m.o.Roster, "a", 1)
	if got := sent(); !strings.Contains(got, `"a"`) {
		t.Errorf("first ping has the notices %s, want that of a", got)
	}
	if got := sent(); got != "null" {
		t.Errorf("second ping has the notices %s, want none", got)
	}
	nameLimit(m.o.Roster, "b", 1)
	nameLimit(m.o.Roster, "a", 1) // unchanged
	if got := sent(); strings.Contains(got, `"a"`) || !strings.Contains(got, `"b"`) {
		t.Errorf("third ping has the notices %s, want that of b", got)
	}
	*l = peerLink{}
	if got := sent(); !strings.Contains(got, `"a"`) || !strings.Contains(got, `"b"`) {
		t.Errorf("a new link gets the notices %s, want both", got)
	}
}
