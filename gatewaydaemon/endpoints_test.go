package gatewaydaemon

import (
	"context"
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

// countingHandler counts the records that are logged.
type countingHandler struct {
	slog.Handler
	records int
}

func (h *countingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h *countingHandler) Handle(context.Context, slog.Record) error {
	h.records++
	return nil
}

// Objects are decoded only when their content changes, which a restored store may do under the same
// revision. An endpoint that is removed or restarts is reported as lost once, and an object that
// cannot be decoded does not affect the others.
func TestEndpointCache(t *testing.T) {
	var cache endpointCache
	skipped := &countingHandler{} // a record is written each time the invalid object is decoded
	logger := slog.New(skipped)
	objects := map[string]fleet.Object{}
	put := func(o fleet.Object) { objects[o.Name] = o }
	put(endpointObject("a", 1, 7))
	put(endpointObject("b", 2, 7))
	put(fleet.Object{Name: "torn", Revision: 3, Spec: json.RawMessage(`{"addr`)})
	if list, lost := cache.decode(objects, logger); len(list) != 2 || len(lost) != 0 {
		t.Fatalf("got endpoints %v, lost %v", list, lost)
	}
	put(endpointObject("a", 1, 8)) // restarted, and its revision issued again
	put(fleet.Object{Name: "torn", Revision: 4, Spec: json.RawMessage(`{"addr`)})
	list, lost := cache.decode(objects, logger)
	if len(list) != 2 || !slices.Equal(lost, []string{"a"}) || skipped.records != 1 {
		t.Errorf("got endpoints %v, lost %v; the invalid object was decoded %d times", list, lost, skipped.records)
	}
	put(fleet.Object{Name: "torn", Revision: 5, Spec: endpointObject("torn", 5, 1).Spec}) // now valid
	if list, lost := cache.decode(objects, logger); len(list) != 3 || len(lost) != 0 {
		t.Errorf("got endpoints %v, lost %v", list, lost)
	}
	delete(objects, "b")
	if list, lost := cache.decode(objects, logger); len(list) != 2 || !slices.Equal(lost, []string{"b"}) {
		t.Errorf("got endpoints %v, lost %v", list, lost)
	}
}
