package peers

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/origin"
)

const (
	// originHolders is the number of peers to which the origin of a stream is announced, in different data
	// centres if possible. With the entry that serves the stream, three know it.
	originHolders = 2
	// announceTimeout bounds the time for which the first event of a stream waits until a holder knows its
	// origin.
	announceTimeout = 25 * time.Millisecond
	// findTimeout bounds the search for an origin, as a peer may be down without having been noticed. It is
	// extended by as long as this process is late to run.
	findTimeout = 150 * time.Millisecond
)

// OriginRecords announces the origins of streams to a peer.
type OriginRecords struct {
	Records []origin.Record `json:"records"`
}

// FindOriginParams asks a peer for the origin of a stream that a client resumes at a service.
type FindOriginParams struct {
	Key     string `json:"key"`
	Service string `json:"service"`
}

// FindOriginResult is the reply.
type FindOriginResult struct {
	// Record is nil if the peer does not know the origin.
	Record *origin.Record `json:"record,omitempty"`
	// Mixed is set if the peer knows that the service has or recently had several versions.
	Mixed bool `json:"mixed,omitempty"`
	// VersionsKnownForMS is the length of the time up to now, in milliseconds, for which the peer knows the versions
	// that services had. Only for that time a reply without Mixed says that the service had one version.
	VersionsKnownForMS int64 `json:"versions_known_ms,omitempty"`
}

// Covers reports whether the peer knows the versions that services had within a time window up to now.
func (f FindOriginResult) Covers(window time.Duration) bool {
	return f.VersionsKnownForMS >= window.Milliseconds()
}

// OriginSearch is what the peers know of the origin of a stream.
type OriginSearch struct {
	// FindOriginResult has no record if no peer that answered knows the origin, and the longest time for which any of
	// them knows the versions.
	FindOriginResult
	// Answered counts the peers that answered, Silent those that did not, among them peers that are down. Once a record
	// was found, the others are not waited for.
	Answered, Silent int
}

// add adds the reply of one more peer.
func (s *OriginSearch) add(reply FindOriginResult) {
	s.Answered++
	s.Silent--
	s.Mixed = s.Mixed || reply.Mixed
	s.VersionsKnownForMS = max(s.VersionsKnownForMS, reply.VersionsKnownForMS)
	if reply.Record != nil {
		s.Record = reply.Record
	}
}

// originPeer is a linked peer that may hold origins.
type originPeer struct {
	Identity
	conn *jsonrpc2.Conn
}

// originLinks returns the links to peers that every entry is linked to, also those that are being
// redialled, and the number of such peers that are down.
func (m *Mesh) originLinks() (list []*peerLink, down int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		switch {
		case !m.isHub(l.address) || l.identity.Name == m.o.Self.Name:
		case l.conn != nil || l.reconnecting:
			list = append(list, l)
		case l.identity.Name != "":
			down++
		}
	}
	return list, down
}

// originPeers returns the peers to which origins can be announced now.
func (m *Mesh) originPeers() []originPeer {
	links, _ := m.originLinks()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []originPeer
	for _, l := range links {
		if l.conn != nil && !l.leaving {
			list = append(list, originPeer{Identity: l.identity, conn: l.conn})
		}
	}
	return list
}

// originHoldersFor picks the peers to which the origin of a stream is announced: by rendezvous hashing, those in
// data centres of their own first.
func originHoldersFor(key, dataCentre string, list []originPeer) []originPeer {
	weights := make(map[string]uint64, len(list))
	for _, p := range list {
		weights[p.Name] = xxhash.Sum64String(key + "/" + p.Name)
	}
	slices.SortFunc(list, func(a, b originPeer) int {
		return cmp.Or(cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	used := map[string]bool{dataCentre: true}
	var holders, others []originPeer
	for _, p := range list {
		if used[p.DataCentre] {
			others = append(others, p)
			continue
		}
		used[p.DataCentre] = true
		holders = append(holders, p)
	}
	holders = append(holders, others...)
	return holders[:min(len(holders), originHolders)]
}

// AnnounceOrigins announces the origins of streams to peers, so that they are known when this entry is down.
// It returns when a peer has acknowledged each of them, or after announceTimeout. Origins that are only written to
// a link may reach the peer later than the search of a client that resumes the stream elsewhere.
func (m *Mesh) AnnounceOrigins(records []origin.Record) {
	list := m.originPeers()
	byHolder := make(map[originPeer][]origin.Record)
	for _, r := range records {
		for _, p := range originHoldersFor(r.Key, m.o.Self.DataCentre, list) {
			byHolder[p] = append(byHolder[p], r)
		}
	}
	acknowledged := make(chan []origin.Record, len(byHolder))
	for p, records := range byHolder {
		go func() { acknowledged <- m.announceTo(p, records) }()
	}
	unknown := make(map[string]bool, len(records))
	for _, r := range records {
		unknown[r.Key] = true
	}
	pending := len(byHolder)
	err := waitFor(context.Background(), m.announceTimeout, func(ctx context.Context) error {
		for ; pending > 0 && len(unknown) > 0; pending-- {
			select {
			case known := <-acknowledged:
				for _, r := range known {
					delete(unknown, r.Key)
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	})
	if err != nil {
		m.o.Logger.Info("no peer has acknowledged the origins of streams yet", "streams", len(unknown), "error", err)
	}
}

// announceTo announces origins to a peer, and returns those that it has acknowledged.
func (m *Mesh) announceTo(p originPeer, records []origin.Record) []origin.Record {
	if err := call(context.Background(), p.conn, pingTimeout, methodOrigins, OriginRecords{Records: records}, nil); err != nil {
		m.o.Logger.Warn("announcing the origins of streams to a peer failed", "peer", p.Name, "streams", len(records), "error", err)
		return nil
	}
	return records
}

// FindOrigin asks the peers for the origin of a stream that a client resumes at a service. It returns when one of them
// knows it, all have answered, or findTimeout has passed.
func (m *Mesh) FindOrigin(ctx context.Context, p FindOriginParams) OriginSearch {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	links, down := m.originLinks()
	replies := make(chan *FindOriginResult, len(links))
	for _, l := range links {
		go func() { replies <- m.askOrigin(ctx, l, p) }()
	}
	result := OriginSearch{Silent: len(links) + down}
	pending := len(links)
	err := waitFor(ctx, findTimeout, func(ctx context.Context) error {
		for ; pending > 0 && result.Record == nil; pending-- {
			select {
			case reply := <-replies:
				if reply != nil {
					result.add(*reply)
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	})
	if err != nil {
		m.o.Logger.Info("peers have not said whether they know the origin of a stream", "peers", pending, "error", err)
	}
	return result
}

// askOrigin asks one peer for an origin, and returns nil if the peer does not answer. While the link is redialled it
// waits: the reset that broke the client's stream may have broken the link too.
func (m *Mesh) askOrigin(ctx context.Context, l *peerLink, p FindOriginParams) *FindOriginResult {
	for {
		m.mu.Lock()
		conn, reconnecting := l.conn, l.reconnecting
		m.mu.Unlock()
		if conn != nil {
			var reply FindOriginResult
			err := conn.Call(ctx, methodFindOrigin, p, &reply)
			if err == nil {
				return &reply
			}
			m.o.Logger.Info("asking a peer for the origin of a stream failed", "address", l.address, "error", err)
			var refusal *jsonrpc2.Error
			if errors.As(err, &refusal) || ctx.Err() != nil {
				return nil
			}
			m.markBroken(l, conn)
		} else if !reconnecting {
			return nil
		}
		t := time.NewTimer(reconnectPollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
	}
}

// origin returns what this entry knows of the origin of a stream.
func (m *Mesh) origin(p FindOriginParams) FindOriginResult {
	now := time.Now()
	result := FindOriginResult{
		Mixed:              m.o.Roster.HasMixedVersions(now, p.Service, origin.TTL),
		VersionsKnownForMS: m.o.Roster.VersionsKnownFor(now).Milliseconds(),
	}
	if r, found := m.o.Origins.Find(now, p.Key); found {
		result.Record = &r
	}
	return result
}
