package gatewaydaemon

import (
	"testing"

	"github.com/azurelead/azurelead/platform/fleet"
)

// The object of an unreachable entry is removed from the store by an entry that reads the store for
// the others. A live entry that finds itself removed announces itself again.
func TestDeadEntriesLeaveTheList(t *testing.T) {
	d := newDeployment(t, 2)
	d.startEndpoints(nil)
	d.waitReady()
	first, second := d.entries[0].daemon, d.entries[1].daemon
	listed := func() (names []string) {
		changes, err := first.store.List(t.Context(), fleet.KindEntries, false)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range changes.Objects {
			names = append(names, o.Name)
		}
		return names
	}
	d.eventually("both entries are listed", func() bool {
		ok, own := first.listEntries(t.Context(), false)
		return ok && own && len(listed()) == 2
	})
	first.removeDeadEntry("127.0.0.1:1")
	if names := listed(); len(names) != 2 {
		t.Errorf("after removing an unknown address, the entries are %v", names)
	}
	if !first.mesh.ReadsStore() {
		t.Fatal("the first of two entries does not read the store")
	}
	first.removeDeadEntry(second.settings.PeerAddress)
	if names := listed(); len(names) != 1 || names[0] != first.settings.Name {
		t.Errorf("the listed entries are %v", names)
	}
	d.eventually("the live entry is listed again", func() bool { return len(listed()) == 2 })
}
