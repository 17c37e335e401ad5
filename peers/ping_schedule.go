package peers

import "time"

const (
	// pingInterval, with pingTimeout, finds a dead dispatcher within about a second
	// and a half, and any other of a few peers.
	pingInterval = 400 * time.Millisecond
	// peersPerPingInterval is the number of peers from which on pings get rarer.
	peersPerPingInterval = 8
	// lowPriorityFactor is how much rarer a hub is pinged that neither dispatches nor asks
	// the store. Of all hubs one is pinged every 150 ms all the same, so that news
	// come as soon; one that is dead is found when it is elected.
	lowPriorityFactor = 3
	// pingAfterAnswer is how long after an answered job the dispatcher is pinged, if
	// its last ping is pingInterval ago. It is shorter than that so that a busy
	// dispatcher is found dead no later than an idle one.
	pingAfterAnswer = 150 * time.Millisecond
	// startPingInterval is the time between pings of an entry that knows nothing yet: it
	// serves nobody until a peer tells it, and its peers may have started with it.
	startPingInterval = 200 * time.Millisecond
)

// pingSchedule is what the time of the next ping of a peer depends on.
//
// The load it answers is hundreds of entries that all link to the same hubs: the
// pings are most of what an entry sends while it has no requests, and the hubs
// answer those of all.
type pingSchedule struct {
	// links is the number of peers.
	links int
	// starting is set while the entry knows nothing.
	starting bool
	// lowPriority is set at an entry that is no hub for a hub that does not hear the
	// store, while another one does.
	lowPriority bool
	// isDispatcher is set for the peer that isDispatcher.
	isDispatcher bool
	// lastPing is when the last ping was sent, lastJobAnswer when the last job was answered.
	lastPing, lastJobAnswer time.Time
}

// next is when the peer is to be pinged. An answered job shows as well as a ping
// that the dispatcher lives, but only pings bring news.
func (r pingSchedule) next() time.Time {
	if r.starting {
		return r.lastPing.Add(startPingInterval)
	}
	interval := pingInterval * time.Duration(max(1, (r.links+peersPerPingInterval-1)/peersPerPingInterval))
	if !r.isDispatcher && r.lowPriority {
		return r.lastPing.Add(lowPriorityFactor * interval)
	}
	usual := r.lastPing.Add(interval)
	if !r.isDispatcher {
		return usual
	}
	soon := r.lastPing.Add(pingInterval)
	if after := r.lastJobAnswer.Add(pingAfterAnswer); after.After(soon) {
		soon = after
	}
	if soon.Before(usual) {
		return soon
	}
	return usual
}

// nextPing is when a peer is pinged that was last pinged at a time.
func (m *Mesh) nextPing(l *peerLink, pinged time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pingSchedule{
		links: len(m.links), starting: !m.o.Follower.HasSynced(), lowPriority: l.pingAnswered && m.isLowPriority(l),
		isDispatcher: l.isDispatcher, lastPing: pinged, lastJobAnswer: l.lastJobAnswer,
	}.next()
}

// isLowPriority reports whether a hub has little to tell to this entry, which is none.
// The caller holds mu.
func (m *Mesh) isLowPriority(l *peerLink) bool {
	if m.isHub(m.o.Self.Address) || l.storeReachable() {
		return false
	}
	for _, other := range m.links {
		if other.storeReachable() {
			return true
		}
	}
	return false
}

// storeReachable reports whether the store answered the peer lately. The caller holds
// the mesh's mu.
func (l *peerLink) storeReachable() bool { return time.Since(l.lastStoreResponse) < maxStoreAge }
