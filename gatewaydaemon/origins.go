package gatewaydaemon

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/gateway"
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/roster"
)

// streamOrigins implements gateway.Origins. The origins of a service's streams stay in this process, except
// while it tracks the service.
type streamOrigins struct {
	table   *origin.Table
	roster  *roster.Roster
	mesh    *peers.Mesh
	started time.Time
}

// Begin implements gateway.Origins.
func (o *streamOrigins) Begin(attemptID, service, version string) {
	now := time.Now()
	o.table.Begin(now, origin.Record{Key: origin.Key(attemptID), Service: service, Version: version})
	if o.tracks(now, service) {
		o.announce(service)
	}
}

// tracks reports whether the streams of a service that may be resumed now can have begun at different versions.
// Their origins are then announced to peers, and searched for there. Both go by the same window: what one entry
// does not announce, the others would find ambiguous.
func (o *streamOrigins) tracks(now time.Time, service string) bool {
	return o.roster.HasMixedVersions(now, service, origin.TTL)
}

// End implements gateway.Origins.
func (o *streamOrigins) End(attemptID string) { o.table.End(origin.Key(attemptID)) }

// Find implements gateway.Origins. The peers are asked if the service may have had several versions since
// the stream began: an entry that has started since then knows only the present ones.
func (o *streamOrigins) Find(ctx context.Context, attemptID, service string) gateway.Origin {
	now := time.Now()
	key := origin.Key(attemptID)
	if r, found := o.table.Find(now, key); found {
		return gateway.Origin{Record: r, Known: true}
	}
	mixed := o.tracks(now, service)
	if !mixed && now.Sub(o.started) > origin.TTL {
		return gateway.Origin{}
	}
	answer := o.mesh.FindOrigin(ctx, peers.FindOriginParams{Key: key, Service: service})
	if answer.Record == nil {
		return gateway.Origin{Ambiguous: mixed || answer.Mixed}
	}
	o.table.Merge(now, []origin.Record{*answer.Record})
	return gateway.Origin{Record: *answer.Record, Known: true}
}

// announce announces the origins of a service's streams that are not announced yet.
func (o *streamOrigins) announce(service string) {
	if records := o.table.TakeUnannounced(time.Now(), service); len(records) > 0 {
		o.mesh.AnnounceOrigins(records)
	}
}

// announceMixed announces the origins of streams that began while their services had one version, for services
// that are tracked now.
func (o *streamOrigins) announceMixed() {
	for _, service := range o.roster.MixedServices(time.Now(), origin.TTL) {
		o.announce(service)
	}
}
