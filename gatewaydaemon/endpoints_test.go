package gatewaydaemon

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"github.com/azurelead/azurelead/platform/fleet"
)

func endpointObject(name string, revision int64, born int) fleet.Object {
	return fleet.Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprintf(
		`{"address":"127.0.0.1:9","service":"api","zone":"north","state":"ready","slots":4,"born":%d}`, born))}
}

// Objects are decoded only when their revision changes, an endpoint that is removed or restarts is
// reported as lost once, and an object that cannot be decoded does not affect the others.
func TestEndpointCache(t *testing.T) {
	var cache endpointCache
	logger := slog.New(slog.DiscardHandler)
	objects := map[string]fleet.Object{}
	put := func(o fleet.Object) { objects[o.Name] = o }
	put(endpointObject("a", 1, 7))
	put(endpointObject("b", 2, 7))
	put(fleet.Object{Name: "torn", Revision: 3, Spec: json.RawMessage(`{"addr`)})
	if list, lost := cache.decode(objects, logger); len(list) != 2 || len(lost) != 0 {
		t.Fatalf("got endpoints %v, lost %v", list, lost)
	}
	put(endpointObject("a", 4, 8))                                                        // restarted
	objects["b"] = fleet.Object{Name: "b", Revision: 2}                                   // not decoded again at the same revision
	put(fleet.Object{Name: "torn", Revision: 5, Spec: endpointObject("torn", 5, 1).Spec}) // now valid
	list, lost := cache.decode(objects, logger)
	if len(list) != 3 || !slices.Equal(lost, []string{"a"}) {
		t.Errorf("got endpoints %v, lost %v", list, lost)
	}
	delete(objects, "b")
	if list, lost := cache.decode(objects, logger); len(list) != 2 || !slices.Equal(lost, []string{"b"}) {
		t.Errorf("got endpoints %v, lost %v", list, lost)
	}
}
