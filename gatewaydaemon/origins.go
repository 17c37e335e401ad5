package gatewaydaemon

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/gateway"
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/roster"
)

const (
	// searchTime bounds the time within which a search for the origin of a stream is begun again. An origin reaches
	// its holders a moment after the first event if they are busy, and the store with the next write.
	searchTime = 400 * time.Millisecond
	// minSearchDelay is the delay before the second search. It doubles with each further one.
	minSearchDelay = 25 * time.Millisecond
)

// streamOrigins implements gateway.Origins. The origins of a service's streams stay in this process, except
// while it tracks the service.
type streamOrigins struct {
	table  *origin.Table
	roster *roster.Roster
	mesh   *peers.Mesh
	// versions reads back what services had before this process started.
	versions *versionHistory
	// records keeps the origins that are announced in the store too.
	records *originRecords
	// lastStoreResponse returns when the store last answered this entry or, as far as reported, a linked one.
	lastStoreResponse func() time.Time
}

// Begin implements gateway.Origins.
func (o *streamOrigins) Begin(attemptID, service, version string) {
	now := time.Now()
	o.table.Begin(now, origin.Record{Key: origin.Key(attemptID), Service: service, Version: version})
	if o.tracks(now, service) {
		o.announce(service)
	}
}

// tracks reports whether the streams of a service that may be resumed now can have begun at different versions,
// as far as this entry knows. Their origins are then announced to peers, and searched for there. Both go by the
// same window: what one entry does not announce, the others would find ambiguous.
func (o *streamOrigins) tracks(now time.Time, service string) bool {
	return o.roster.HasMixedVersions(now, service, origin.TTL) || !o.coversTTL(now)
}

// coversTTL reports whether this entry knows the versions that services had within origin.TTL.
func (o *streamOrigins) coversTTL(now time.Time) bool {
	return o.roster.VersionsKnownFor(now) >= origin.TTL
}

// End implements gateway.Origins.
func (o *streamOrigins) End(attemptID string) { o.table.End(origin.Key(attemptID)) }

// Find implements gateway.Origins. The peers are always asked: a version that this entry does not know yet may have
// begun the stream.
//
// An unknown origin is ambiguous unless this entry or a peer that answers knows that the service had one version
// for as long as the stream can have run. Silence, and the ignorance of entries that have just started or whose
// knowledge is old, say nothing.
func (o *streamOrigins) Find(ctx context.Context, attemptID, service string) gateway.Origin {
	key := origin.Key(attemptID)
	if r, found := o.table.Find(time.Now(), key); found {
		return gateway.Origin{Record: r, Known: true}
	}
	if !o.coversTTL(time.Now()) {
		o.versions.awaitRead(ctx)
	}
	return searchAgain(ctx, func() gateway.Origin { return o.search(ctx, key, service) })
}

// searchAgain searches until the origin is not ambiguous any more, for about searchTime or until ctx is done.
func searchAgain(ctx context.Context, search func() gateway.Origin) gateway.Origin {
	end := time.Now().Add(searchTime)
	for delay := minSearchDelay; ; delay *= 2 {
		found := search()
		if !found.Ambiguous || time.Now().Add(delay).After(end) || !sleep(ctx, delay) {
			return found
		}
	}
}

// search looks for an origin at the peers, and then in the store.
func (o *streamOrigins) search(ctx context.Context, key, service string) gateway.Origin {
	answer := o.mesh.FindOrigin(ctx, peers.FindOriginParams{Key: key, Service: service})
	now := time.Now()
	if answer.Record != nil {
		o.table.Merge(now, []origin.Record{*answer.Record})
		return gateway.Origin{Record: *answer.Record, Known: true}
	}
	only, mixed := o.roster.OnlyVersion(now, service, origin.TTL)
	if !mixed && !answer.Mixed && (o.coversTTL(now) || answer.Covers(origin.TTL)) && o.isCurrent(now, answer) {
		return gateway.Origin{OnlyVersion: only}
	}
	o.records.recall(ctx)
	if r, found := o.table.Find(time.Now(), key); found {
		return gateway.Origin{Record: r, Known: true}
	}
	return gateway.Origin{Ambiguous: true}
}

const (
	// maxSilentPeers is the number of peers without whose answers a search still reaches a holder of the origin: of two,
	// one has acknowledged it. The entry that began the stream is likely to be silent itself.
	maxSilentPeers = 1
	// maxStoreSilence is the time within which the store answers an entry that follows it, or a peer that passes changes
	// on to the entry.
	maxStoreSilence = 2 * time.Second
)

// isCurrent reports whether this entry or the peers that have answered know of all versions at which a stream that a
// client resumes now can have begun. An entry that is cut off does not learn of a new version, and one that was paused
// until a moment ago has not yet.
func (o *streamOrigins) isCurrent(now time.Time, answer peers.OriginSearch) bool {
	return answer.Answered > 0 && answer.Silent <= maxSilentPeers || now.Sub(o.lastStoreResponse()) <= maxStoreSilence
}

// announce announces the origins of a service's streams that are not announced yet.
func (o *streamOrigins) announce(service string) {
	if records := o.table.TakeUnannounced(time.Now(), service); len(records) > 0 {
		o.mesh.AnnounceOrigins(records)
		o.records.add(records)
	}
}

// announceMixed announces the origins of streams that began while their services had one version, for services
// that are tracked now.
func (o *streamOrigins) announceMixed() {
	for _, service := range o.roster.MixedServices(time.Now(), origin.TTL) {
		o.announce(service)
	}
}
