package peers

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/roster"
)

// A peer that has just started knows of one version only. Its reply must not count as one of a peer that
// knows the versions of the last minute.
func TestReplyStatesForHowLongVersionsAreKnown(t *testing.T) {
	meshes := linkedMeshes(t, 3)
	for _, m := range meshes {
		m.o.Roster.SetEndpoints(time.Now(), []catalog.Endpoint{{ID: "a", Service: "llm", Version: "v1"}}, roster.Continuous)
	}
	p := FindOriginParams{Key: origin.Key("unknown"), Service: "llm"}
	if got := meshes[0].FindOrigin(t.Context(), p); got.Mixed || got.Covers(origin.TTL) {
		t.Errorf("peers that have just started reply %+v, want that they do not know the last minute", got)
	}
	meshes[2].o.Roster.RestoreVersions(time.Now(), origin.TTL, map[string][]string{"llm": {"v1"}})
	if got := meshes[0].FindOrigin(t.Context(), p); got.Mixed || !got.Covers(origin.TTL) {
		t.Errorf("a peer that has read the record replies %+v, want that it knows the last minute", got)
	}
}
