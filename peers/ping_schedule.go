package peers

import "time"

const (
	// pingInterval is the time between pings of the dispatcher and, among few peers, of
	// every peer. With pingTimeout, a peer that is down is detected within about 1.5 s.
	pingInterval = 400 * time.Millisecond
	// peersPerPingInterval is the number of peers that can be pinged every pingInterval.
	// With more peers the interval grows in proportion.
	peersPerPingInterval = 8
	// lowPriorityFactor multiplies the interval for a hub that neither dispatches nor reads
	// the store. One of all the hubs is still pinged every 150 ms, so that changes arrive
	// as early; a hub that is down is detected when it is elected.
	lowPriorityFactor = 3
	// pingAfterAnswer is the time from the dispatcher's last answer of a job to the next
	// ping, if its last ping is at least pingInterval ago. It is shorter than
	// pingInterval so that the failure of a busy dispatcher is detected no later than
	// that of an idle one.
	pingAfterAnswer = 150 * time.Millisecond
	// startPingInterval is the time between pings of an entry that has not synced yet. It
	// serves no requests until a peer sends it the states, and its peers may have
	// started at the same time.
	startPingInterval = 200 * time.Millisecond
	// minIntervalPerReplyTime is the least ratio of the time between pings of a peer to the time that it took to
	// reply. Replies within 50 ms leave all intervals as they are.
	minIntervalPerReplyTime = 4
)

// pingSchedule holds what the time of the next ping of a peer depends on.
//
// The design case is hundreds of entries that all link to the same hubs. Pings are most
// of what an entry sends while it has no requests, and the hubs answer the pings of all
// entries.
type pingSchedule struct {
	// links is the number of peers.
	links int
	// starting is set until the entry has synced.
	starting bool
	// lowPriority is set at a spoke for a hub that the store has not answered lately, while
	// it has answered another hub.
	lowPriority bool
	// isDispatcher is set if the peer is the dispatcher.
	isDispatcher bool
	// lastPing is when the last ping was sent, and lastJobAnswer when the peer last
	// answered a job.
	lastPing, lastJobAnswer time.Time
	// lastReplyTime is how long the peer took to reply to the last ping.
	lastReplyTime time.Duration
}

// next returns when the peer is to be pinged. A peer that replies slowly is pinged less often, unless it is the
// dispatcher: pings at a fixed rate would keep an overloaded process overloaded.
func (s pingSchedule) next() time.Time {
	next := s.unloaded()
	if earliest := s.lastPing.Add(minIntervalPerReplyTime * s.lastReplyTime); !s.isDispatcher && earliest.After(next) {
		return earliest
	}
	return next
}

// unloaded returns when a peer that replies at once is to be pinged. An answered job shows as well as a ping
// that the dispatcher is alive, but only pings announce changed states.
func (s pingSchedule) unloaded() time.Time {
	if s.starting {
		return s.lastPing.Add(startPingInterval)
	}
	interval := pingInterval * time.Duration(max(1, (s.links+peersPerPingInterval-1)/peersPerPingInterval))
	if !s.isDispatcher && s.lowPriority {
		return s.lastPing.Add(lowPriorityFactor * interval)
	}
	usual := s.lastPing.Add(interval)
	if !s.isDispatcher {
		return usual
	}
	earliest := s.lastPing.Add(pingInterval)
	if afterJob := s.lastJobAnswer.Add(pingAfterAnswer); afterJob.After(earliest) {
		earliest = afterJob
	}
	if earliest.Before(usual) {
		return earliest
	}
	return usual
}

// nextPing returns when to ping a peer next, given the time of its last ping.
func (m *Mesh) nextPing(l *peerLink, lastPing time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pingSchedule{
		links: len(m.links), starting: !m.o.Follower.HasSynced(), lowPriority: l.pingAnswered && m.isLowPriority(l),
		isDispatcher: l.isDispatcher, lastPing: lastPing, lastJobAnswer: l.lastJobAnswer, lastReplyTime: l.lastReplyTime,
	}.next()
}

// isLowPriority reports whether this entry is a spoke and the peer a hub that has little
// to announce, since another hub reads the store. The caller holds mu.
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

// storeReachable reports whether the store answered the peer within maxStoreAge. The
// caller holds the mesh's mu.
func (l *peerLink) storeReachable() bool { return time.Since(l.lastStoreResponse) < maxStoreAge }
