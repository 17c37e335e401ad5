package gatewaydaemon

import (
	"log/slog"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/platform/fleet"
)

// endpointEntries are the endpoints' entries as they were decoded last. In a
// deployment of thousands a few change at a time.
type endpointEntries struct {
	byName map[string]endpointEntry
}

type endpointEntry struct {
	revision int64
	endpoint catalog.Endpoint
	// valid is unset for an entry that could not be decoded.
	valid bool
}

// decode returns the endpoints that the objects list, and the ids of those that
// are gone or that started anew since the last call.
func (e *endpointEntries) decode(objects map[string]fleet.Object, logger *slog.Logger) (list []catalog.Endpoint, lost []string) {
	now := make(map[string]endpointEntry, len(objects))
	list = make([]catalog.Endpoint, 0, len(objects))
	for name, o := range objects {
		entry, found := e.byName[name]
		if !found || entry.revision != o.Revision {
			entry = decodeEntry(o, logger)
		}
		now[name] = entry
		if entry.valid {
			list = append(list, entry.endpoint)
		}
	}
	for name, old := range e.byName {
		if again := now[name]; old.valid && (!again.valid || again.endpoint.Incarnation != old.endpoint.Incarnation) {
			lost = append(lost, name)
		}
	}
	e.byName = now
	return list, lost
}

func decodeEntry(o fleet.Object, logger *slog.Logger) endpointEntry {
	endpoint, err := fleet.DecodeEndpoint(o)
	if err != nil {
		logger.Info("endpoint's entry skipped", "endpoint", o.Name, "revision", o.Revision, "error", err)
	}
	return endpointEntry{revision: o.Revision, endpoint: endpoint, valid: err == nil}
}
