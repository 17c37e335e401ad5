package gatewaydaemon

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/gateway"
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/roster"
)

// streamOrigins implements gateway.Origins. While the endpoints of a service have one version, the origins of
// its streams stay in this process; peers are told them, in few bytes, only while there are several.
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
	if o.roster.HasMixedVersions(now, service, 0) {
		o.tell(service)
	}
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
	mixed := o.roster.HasMixedVersions(now, service, origin.TTL)
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

// tell tells the peers the origins of a service's streams that they have not been told.
func (o *streamOrigins) tell(service string) {
	if records := o.table.TakeUntold(time.Now(), service); len(records) > 0 {
		o.mesh.TellOrigins(records)
	}
}

// tellMixed tells the peers the origins of streams that began while their services had one version and that
// have several now.
func (o *streamOrigins) tellMixed() {
	for _, service := range o.roster.MixedServices() {
		o.tell(service)
	}
}
