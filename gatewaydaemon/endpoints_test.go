package gatewaydaemon

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"github.com/azurelead/azurelead/platform/fleet"
)

func entryOf(name string, revision int64, born int) fleet.Object {
	return fleet.Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprintf(
		`{"address":"127.0.0.1:9","service":"api","zone":"north","state":"ready","slots":4,"born":%d}`, born))}
}

// Entries are decoded when they changed, endpoints that vanish or start anew are
// told once, and an entry that cannot be read leaves the others in place.
func TestEndpointEntries(t *testing.T) {
	var e endpointEntries
	logger := slog.New(slog.DiscardHandler)
	objects := map[string]fleet.Object{}
	put := func(o fleet.Object) { objects[o.Name] = o }
	put(entryOf("a", 1, 7))
	put(entryOf("b", 2, 7))
	put(fleet.Object{Name: "torn", Revision: 3, Spec: json.RawMessage(`{"addr`)})
	if list, lost := e.decode(objects, logger); len(list) != 2 || len(lost) != 0 {
		t.Fatalf("%v, lost %v", list, lost)
	}
	put(entryOf("a", 4, 8))                                                        // started anew
	objects["b"] = fleet.Object{Name: "b", Revision: 2}                            // not read again at the same revision
	put(fleet.Object{Name: "torn", Revision: 5, Spec: entryOf("torn", 5, 1).Spec}) // mended
	list, lost := e.decode(objects, logger)
	if len(list) != 3 || !slices.Equal(lost, []string{"a"}) {
		t.Errorf("%v, lost %v", list, lost)
	}
	delete(objects, "b")
	if list, lost := e.decode(objects, logger); len(list) != 2 || !slices.Equal(lost, []string{"b"}) {
		t.Errorf("%v, lost %v", list, lost)
	}
}
