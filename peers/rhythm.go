package peers

import "time"

const (
	// pingInterval, with pingTimeout, finds a dead dispatcher within about a second
	// and a half, and any other of a few peers.
	pingInterval = 400 * time.Millisecond
	// pingSpread is the number of peers from which on pings get rarer.
	pingSpread = 8
	// quietFactor is how much rarer a hub is pinged that neither dispatches nor asks
	// the store. Of all hubs one is pinged every 150 ms all the same, so that news
	// come as soon; one that is dead is found when it is elected.
	quietFactor = 3
	// answerInterval is how long after an answered job the dispatcher is pinged, if
	// its last ping is pingInterval ago. It is shorter than that so that a busy
	// dispatcher is found dead no later than an idle one.
	answerInterval = 150 * time.Millisecond
	// startInterval is the time between pings of an entry that knows nothing yet: it
	// serves nobody until a peer tells it, and its peers may have started with it.
	startInterval = 200 * time.Millisecond
)

// rhythm is what the time of the next ping of a peer depends on.
//
// The load it answers is hundreds of entries that all link to the same hubs: the
// pings are most of what an entry sends while it has no requests, and the hubs
// answer those of all.
type rhythm struct {
	// links is the number of peers.
	links int
	// starts is set while the entry knows nothing.
	starts bool
	// quiet is set at an entry that is no hub for a hub that does not hear the
	// store, while another one does.
	quiet bool
	// dispatches is set for the peer that dispatches.
	dispatches bool
	// pinged is when the last ping was sent, heard when the last job was answered.
	pinged, heard time.Time
}

// next is when the peer is to be pinged. An answered job shows as well as a ping
// that the dispatcher lives, but only pings bring news.
func (r rhythm) next() time.Time {
	if r.starts {
		return r.pinged.Add(startInterval)
	}
	interval := pingInterval * time.Duration(max(1, (r.links+pingSpread-1)/pingSpread))
	if !r.dispatches && r.quiet {
		return r.pinged.Add(quietFactor * interval)
	}
	usual := r.pinged.Add(interval)
	if !r.dispatches {
		return usual
	}
	soon := r.pinged.Add(pingInterval)
	if after := r.heard.Add(answerInterval); after.After(soon) {
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
	return rhythm{
		links: len(m.links), starts: !m.o.Follower.HasSynced(), quiet: l.answered && m.quiet(l),
		dispatches: l.dispatches, pinged: pinged, heard: l.heard,
	}.next()
}

// quiet reports whether a hub has little to tell to this entry, which is none.
// The caller holds mu.
func (m *Mesh) quiet(l *peerLink) bool {
	if m.isHub(m.o.Self.Address) || l.hearsStore() {
		return false
	}
	for _, other := range m.links {
		if other.hearsStore() {
			return true
		}
	}
	return false
}

// hearsStore reports whether the store answered the peer lately. The caller holds
// the mesh's mu.
func (l *peerLink) hearsStore() bool { return time.Since(l.storeAt) < storeFresh }
