package gatewaydaemon

import (
	"testing"

	"github.com/azurelead/azurelead/platform/fleet"
)

// An entry that is not reached any more is taken off the list by one that asks
// the store; one that lives and misses itself there comes back by itself.
func TestDeadEntriesLeaveTheList(t *testing.T) {
	d := newDeployment(t, 2)
	d.standard(nil)
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
	d.eventually("both are listed", func() bool {
		ok, own := first.listEntries(t.Context(), false)
		return ok && own && len(listed()) == 2
	})
	first.entryForgotten("127.0.0.1:1")
	if names := listed(); len(names) != 2 {
		t.Errorf("an unknown address took %v off the list", names)
	}
	if !first.mesh.ReadsStore() {
		t.Fatal("one of two entries does not ask the store")
	}
	first.entryForgotten(second.settings.PeerAddress)
	if names := listed(); len(names) != 1 || names[0] != first.settings.Name {
		t.Errorf("listed are %v", names)
	}
	d.eventually("the living one is listed again", func() bool { return len(listed()) == 2 })
}
