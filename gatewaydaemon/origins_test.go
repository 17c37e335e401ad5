package gatewaydaemon

import (
	"net/http"
	"testing"

	"github.com/azurelead/azurelead/platform/fleet"
)

// removeEngines removes the engines of a version from the list, and waits until every entry knows.
func (d *deployment) removeEngines(ids ...string) {
	d.t.Helper()
	for _, id := range ids {
		d.store.Delete(fleet.KindEndpoints, id)
	}
	for _, e := range d.entries {
		d.eventually("the engines are gone", func() bool {
			for _, id := range ids {
				if e.daemon.roster.Known(id) {
					return false
				}
			}
			return true
		})
	}
}

// A stream begins shortly after a release has ended, and its entry dies. Origins were searched for during the minute
// after a release, but not announced in it.
func TestStreamThatBeganAfterReleaseIsTakenUp(t *testing.T) {
	d := newDeployment(t, 3)
	engines := d.versionedEngines("v1", "v2")
	d.removeEngines("engine-v1-0", "engine-v1-1")
	for i := range 6 {
		first := d.startStream(d.entries[i%3], 3)
		d.entries[i%3].forget(first)
		r := d.resume(d.entries[(i+1)%3], first, 3)
		if got := versionsOf(engines, r.id); r.status != http.StatusOK || !sameVersion(append(got, "v2")) {
			t.Errorf("%s is resumed with status %d at %v, want v2", first, r.status, got)
		}
	}
}
