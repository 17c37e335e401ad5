package follow

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// A spec that no decoder accepts kept entries from following the store and from learning the state from each
// other. Those that read the store and those that learn from them must agree on the objects.
func TestMalformedSpecPassesBetweenEntries(t *testing.T) {
	valid := map[string]any{"service": "api", "address": "127.0.0.1:80", "zone": "north", "slots": 6, "state": "ready", "born": 1000}
	specs := fleettest.MalformedSpecs(valid)
	store := fleettest.NewStore()
	defer store.Close()
	putAll := func() {
		for what, spec := range specs {
			store.PutRaw("k", what, spec)
		}
	}
	store.Put("k", "in use", valid)
	client := fleet.NewStore(store.Address(), http.DefaultTransport)
	var followers [3]*Follower // the last one does not read the store
	for i := range followers {
		followers[i] = newFollower(client, func(map[string]fleet.Object, bool) {})
	}
	for step, change := range []func(){putAll, putAll, func() { store.PutRaw("k", "in use", specs["nested in lists"]) }, func() { store.Put("k", "in use", valid) }} {
		change()
		for _, f := range followers[:2] {
			if err := f.listOrWatch(t.Context(), "k", step == 0); err != nil {
				t.Fatalf("step %d: %.200v", step, err)
			}
		}
		sendStates(t, followers[0], followers[2])
		want := objectsOf(followers[0])
		for i, f := range followers {
			if diff := cmp.Diff(want, objectsOf(f)); diff != "" || len(want) != len(specs)+1 || Fingerprint(f.Digests()) != Fingerprint(followers[0].Digests()) {
				t.Errorf("step %d: follower %d has other objects than the first of %d: %.500s", step, i, len(want), diff)
			}
		}
	}
}

// objectsOf returns the specs of a follower's objects by name.
func objectsOf(f *Follower) map[string]string {
	specs := make(map[string]string)
	for name, o := range f.kinds["k"].objects {
		specs[name] = string(o.Spec)
	}
	return specs
}

// sendStates sends the states that are newer at one follower to another, in the message of a link.
func sendStates(t *testing.T, from, to *Follower) {
	t.Helper()
	type message struct {
		Result []State `json:"result"`
	}
	encoded, err := json.Marshal(message{from.StatesSince(to.StaleKinds(from.Digests()))})
	if err != nil {
		t.Fatal(err)
	}
	var decoded any // what a link decodes first
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	var m message
	if err := json.Unmarshal(encoded, &m); err != nil {
		t.Fatal(err)
	}
	if newer, missing := to.ApplyStates(m.Result); len(newer) != 1 || len(missing) > 0 {
		t.Fatalf("newer %v, missing %v", newer, missing)
	}
}
