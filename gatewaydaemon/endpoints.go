package gatewaydaemon

import (
	"bytes"
	"encoding/json"
	"log/slog"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/platform/fleet"
)

// endpointCache holds the endpoints decoded by the last call of decode. Of thousands of endpoints
// only a few change at a time, so unchanged objects are not decoded again.
type endpointCache struct {
	byName map[string]cachedEndpoint
}

// cachedEndpoint is one decoded endpoint object.
type cachedEndpoint struct {
	// spec is compared instead of the revision, which a restored store may issue again.
	spec     json.RawMessage
	endpoint catalog.Endpoint
	// valid is false for an object that could not be decoded.
	valid bool
}

// decode returns the endpoints that the objects describe, and the IDs of those that were removed or
// have restarted since the last call.
func (c *endpointCache) decode(objects map[string]fleet.Object, logger *slog.Logger) (list []catalog.Endpoint, lost []string) {
	decoded := make(map[string]cachedEndpoint, len(objects))
	list = make([]catalog.Endpoint, 0, len(objects))
	for name, o := range objects {
		entry, found := c.byName[name]
		if !found || !bytes.Equal(entry.spec, o.Spec) {
			entry = decodeEndpoint(o, logger)
		}
		decoded[name] = entry
		if entry.valid {
			list = append(list, entry.endpoint)
		}
	}
	for name, previous := range c.byName {
		if latest := decoded[name]; previous.valid && (!latest.valid || latest.endpoint.Incarnation != previous.endpoint.Incarnation) {
			lost = append(lost, name)
		}
	}
	c.byName = decoded
	return list, lost
}

// decodeEndpoint decodes an endpoint object and logs one that is invalid.
func decodeEndpoint(o fleet.Object, logger *slog.Logger) cachedEndpoint {
	endpoint, err := fleet.DecodeEndpoint(o)
	if err != nil {
		logger.Info("skipped invalid endpoint object", "endpoint", o.Name, "revision", o.Revision, "error", err)
	}
	return cachedEndpoint{spec: o.Spec, endpoint: endpoint, valid: err == nil}
}
