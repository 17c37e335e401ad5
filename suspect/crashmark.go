package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minPartCrashes is the number of crashed endpoints from which a prompt part or a request is blamed.
	minPartCrashes = 3
	// partMarkTTL is how long a mark is valid after its last crash.
	partMarkTTL = 15 * time.Minute
	// partGossipPeriod is how long a mark is part of every message after it changed, maxPartMarks the
	// number of marks in one message. The last markTurns of them are taken in turn if there are more.
	partGossipPeriod = 10 * time.Second
	maxPartMarks     = 16
	markTurns        = 4
	// maxMarkEndpoints bounds the endpoints that a mark names, maxMarkRequests the requests.
	maxMarkEndpoints = 32
	maxMarkRequests  = 2
	// partCapacity bounds the marks that a table keeps.
	partCapacity = 1024
)

// PartMark is the record of a prompt part, or of a whole request, as it is sent to peers.
type PartMark struct {
	// Part is a hash of the part's ID, or the digest of the request.
	Part string `json:"part"`
	// Epoch is incremented when an answer shows that the part or request is sound; a higher epoch overrides
	// the crashes of lower ones.
	Epoch uint64 `json:"epoch,omitempty"`
	// Endpoints are the crashed endpoints that were beginning an answer on the part, or ran the request, each
	// incarnation of one apart.
	Endpoints []string `json:"endpoints,omitempty"`
	// Requests are digests of requests with the part that were at these crashes, at most maxMarkRequests.
	Requests []string `json:"requests,omitempty"`
	// AgeMS is the time since the first crash, and ExpiresInMS the time until the mark expires, in
	// milliseconds.
	AgeMS       int64 `json:"age_ms"`
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// crashMark is the record of a prompt part or of a request. Marks of one key form a semilattice: merging
// takes the higher epoch and, of equal ones, all endpoints, so that the order and the number of deliveries do
// not matter.
type crashMark struct {
	epoch uint64
	// endpoints and requests are sorted. Of more than maxMarkRequests requests the mark names the first.
	endpoints  []string
	requests   []string
	firstCrash time.Time
	expires    time.Time
	// changed is when the mark last changed in this process.
	changed time.Time
	// cleared is the number of crashes that a higher epoch has overridden in this process. A cleared mark
	// is as important to peers as the crashes were.
	cleared int
}

// isBlamed reports whether enough endpoints crashed to refuse what the mark is of. A part is not blamed for what
// one request has done that came again.
func (m crashMark) isBlamed(now time.Time) bool {
	return len(m.endpoints) >= minPartCrashes && len(m.requests) != 1 && now.Before(m.expires)
}

// withEndpoints returns the mark with further crashed endpoints, the first of which crashed at a time.
func (m crashMark) withEndpoints(endpoints []string, firstCrash, now time.Time) crashMark {
	all := slices.Concat(m.endpoints, endpoints)
	slices.Sort(all)
	all = slices.Compact(all)
	m.endpoints = all[:min(len(all), maxMarkEndpoints)]
	if m.firstCrash.IsZero() || firstCrash.Before(m.firstCrash) {
		m.firstCrash = firstCrash
	}
	m.expires, m.changed = now.Add(partMarkTTL), now
	return m
}

// withRequests returns the mark with further requests that were at its crashes.
func (m crashMark) withRequests(digests []string) crashMark {
	all := slices.Concat(m.requests, digests)
	slices.Sort(all)
	all = slices.Compact(all)
	m.requests = all[:min(len(all), maxMarkRequests)]
	return m
}

// weight is the number of crashes that the mark states, or overrides.
func (m crashMark) weight() int { return max(len(m.endpoints), m.cleared) }

// message returns the mark as it is sent to peers.
func (m crashMark) message(key string, now time.Time) PartMark {
	message := PartMark{Part: key, Epoch: m.epoch, Endpoints: m.endpoints, Requests: m.requests, ExpiresInMS: m.expires.Sub(now).Milliseconds()}
	if !m.firstCrash.IsZero() {
		message.AgeMS = now.Sub(m.firstCrash).Milliseconds()
	}
	return message
}

// crashMarkFromMessage returns a mark received from a peer. Its lifetime is bounded by that of a mark made
// in this process.
func crashMarkFromMessage(s PartMark, now time.Time) crashMark {
	ttl := min(max(time.Duration(s.ExpiresInMS)*time.Millisecond, 0), partMarkTTL)
	age := min(max(time.Duration(s.AgeMS)*time.Millisecond, 0), partMarkTTL)
	m := crashMark{epoch: s.Epoch, expires: now.Add(ttl), changed: now}
	if len(s.Endpoints) > 0 {
		m = m.withEndpoints(s.Endpoints, now.Add(-age), now).withRequests(s.Requests)
		m.expires = now.Add(ttl)
	}
	return m
}

// includes reports whether a peer's mark of the same epoch adds nothing to the mark.
func (m crashMark) includes(peer crashMark) bool {
	return containsAll(m.endpoints, peer.endpoints) && slices.Equal(m.withRequests(peer.requests).requests, m.requests)
}

// contains reports whether a sorted list has an element.
func contains(sorted []string, e string) bool {
	_, found := slices.BinarySearch(sorted, e)
	return found
}

// containsAll reports whether a sorted list contains all of the other's elements, or is full.
func containsAll(sorted, other []string) bool {
	if len(sorted) >= maxMarkEndpoints {
		return true
	}
	return !slices.ContainsFunc(other, func(e string) bool { return !contains(sorted, e) })
}

// without returns the elements of a list that are not in a sorted one.
func without(list, sorted []string) []string {
	var rest []string
	for _, e := range list {
		if !contains(sorted, e) {
			rest = append(rest, e)
		}
	}
	return rest
}

// crashMarks is a table of marks by key. The callers of its methods hold mu, but for countBlamed.
type crashMarks struct {
	mu    sync.Mutex
	marks *simplelru.LRU[string, crashMark]
	// turn selects the marks that are sent in turn.
	turn int
}

// newLRU returns an empty list with a positive capacity.
func newLRU[V any](capacity int) *simplelru.LRU[string, V] {
	l, err := simplelru.NewLRU[string, V](capacity, nil)
	if err != nil {
		panic(err) // the capacity is positive
	}
	return l
}

// set stores a mark as the most recently changed one. If the table is full, it evicts the oldest mark that
// neither blames nor overrides a blame, so that what ran beside many crashes does not evict what caused them.
func (t *crashMarks) set(key string, m crashMark, now time.Time) {
	if !t.marks.Contains(key) && t.marks.Len() >= partCapacity {
		for _, k := range t.marks.Keys() {
			if old, _ := t.marks.Peek(k); old.weight() < minPartCrashes || !now.Before(old.expires) {
				t.marks.Remove(k)
				break
			}
		}
	}
	t.marks.Add(key, m)
}

// addCrash adds a crashed endpoint, and the requests that were at the crash, to the mark of a key.
func (t *crashMarks) addCrash(key, endpoint string, requests []string, now time.Time) {
	m, _ := t.marks.Peek(key)
	t.set(key, m.withEndpoints([]string{endpoint}, now, now).withRequests(requests), now)
}

// clear overrides the crashes of a key, and reports whether there were any.
func (t *crashMarks) clear(key string, now time.Time) bool {
	m, _ := t.marks.Peek(key)
	if len(m.endpoints) == 0 {
		return false
	}
	t.set(key, crashMark{epoch: m.epoch + 1, expires: now.Add(partMarkTTL), changed: now, cleared: len(m.endpoints)}, now)
	return true
}

// merge merges a peer's mark into the table.
func (t *crashMarks) merge(s PartMark, now time.Time) {
	peer := crashMarkFromMessage(s, now)
	own, known := t.marks.Peek(s.Part)
	switch {
	case !now.Before(peer.expires):
	case !known || own.epoch < peer.epoch:
		peer.cleared = len(own.endpoints)
		t.set(s.Part, peer, now)
	case own.epoch == peer.epoch && !own.includes(peer):
		merged := own.withEndpoints(peer.endpoints, peer.firstCrash, now).withRequests(peer.requests)
		merged.expires = peer.expires
		if own.expires.After(peer.expires) {
			merged.expires = own.expires
		}
		t.set(s.Part, merged, now)
	}
}

// recentMarks returns the marks to send to linked peers: those that changed within partGossipPeriod.
func (t *crashMarks) recentMarks() []PartMark {
	return t.selectMarks(func(m crashMark, now time.Time) bool { return now.Sub(m.changed) <= partGossipPeriod })
}

// allMarks returns the marks to send to a peer when it is linked.
func (t *crashMarks) allMarks() []PartMark {
	return t.selectMarks(func(crashMark, time.Time) bool { return true })
}

// selectMarks returns at most maxPartMarks of the marks that a function selects, those with the most
// crashes, or that override the most, the latest of equal ones, and the others in turn. It drops expired ones.
func (t *crashMarks) selectMarks(selects func(crashMark, time.Time) bool) []PartMark {
	now := time.Now()
	var selected []keyedMark
	for _, key := range slices.Backward(t.marks.Keys()) {
		m, _ := t.marks.Peek(key)
		switch {
		case !now.Before(m.expires):
			t.marks.Remove(key)
		case selects(m, now):
			selected = append(selected, keyedMark{key, m})
		}
	}
	var out []PartMark
	for _, k := range t.mostImportant(selected) {
		out = append(out, k.mark.message(k.key, now))
	}
	slices.SortFunc(out, func(a, b PartMark) int {
		return cmp.Or(cmp.Compare(len(b.Endpoints), len(a.Endpoints)), cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(a.Part, b.Part))
	})
	return out
}

// keyedMark is a mark and its key.
type keyedMark struct {
	key  string
	mark crashMark
}

// mostImportant returns at most maxPartMarks of the marks.
func (t *crashMarks) mostImportant(marks []keyedMark) []keyedMark {
	if len(marks) <= maxPartMarks {
		return marks
	}
	slices.SortStableFunc(marks, func(a, b keyedMark) int { return cmp.Compare(b.mark.weight(), a.mark.weight()) })
	first, rest := marks[:maxPartMarks-markTurns], marks[maxPartMarks-markTurns:]
	for range markTurns {
		t.turn++
		first = append(first[:len(first):len(first)], rest[t.turn%len(rest)])
	}
	return first
}

// countBlamed returns the number of keys under which enough endpoints crashed to refuse them.
func (t *crashMarks) countBlamed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, now := 0, time.Now()
	for _, m := range t.marks.Values() {
		if m.isBlamed(now) {
			n++
		}
	}
	return n
}
