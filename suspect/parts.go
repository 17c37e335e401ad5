package suspect

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// minPartCrashes is the number of crashed endpoints from which a prompt part is refused.
	minPartCrashes = 3
	// partSettleTime is how long after the first crash a part is not refused yet. It gives entries that
	// know the part to be sound time to say so.
	partSettleTime = time.Second
	// soundTTL is how long a part is known to be sound after an answer on it.
	soundTTL = 5 * time.Minute
	// partMarkTTL is how long a mark is valid after its last crash.
	partMarkTTL = 15 * time.Minute
	// partGossipPeriod is how long a mark is part of every message after it changed, maxPartMarks the
	// number of marks in one message.
	partGossipPeriod = 10 * time.Second
	maxPartMarks     = 16
	// maxMarkEndpoints bounds the endpoints that a mark names.
	maxMarkEndpoints = 32
	// partCapacity and soundCapacity bound the marks and the sound parts that are kept.
	partCapacity  = 1024
	soundCapacity = 4096
)

// PartMark is the record of a prompt part as it is sent to peers.
type PartMark struct {
	// Part is a hash of the part's ID.
	Part string `json:"part"`
	// Epoch is incremented when an answer shows that the part is sound; a higher epoch overrides the
	// crashes of lower ones.
	Epoch uint64 `json:"epoch,omitempty"`
	// Endpoints are the crashed endpoints that were beginning an answer on the part, each life of one apart.
	Endpoints []string `json:"endpoints,omitempty"`
	// AgeMS is the time since the first crash, and ExpiresInMS the time until the mark expires, in
	// milliseconds.
	AgeMS       int64 `json:"age_ms"`
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// partMark is the record of a prompt part. Marks of one part form a semilattice: merging takes the higher
// epoch and, of equal ones, all endpoints, so that the order and the number of deliveries do not matter.
type partMark struct {
	epoch uint64
	// endpoints is sorted.
	endpoints  []string
	firstCrash time.Time
	expires    time.Time
	// changed is when the mark last changed in this process.
	changed time.Time
}

// Parts finds the parts of prompts that crash endpoints, whatever else a request holds. It counts the
// endpoints that crashed while they began an answer on a part; an answer that has begun proves its parts
// sound. A part is refused only together with what would explain its crashes, so that sound parts that
// come with a crashing one are not. It is safe for concurrent use.
//
// The load pattern it answers: requests with one part in common, no two alike, come at any entry and crash
// several endpoints a second, while most requests share their other parts.
type Parts struct {
	refused prometheus.Counter

	mu    sync.Mutex
	marks *simplelru.LRU[string, partMark]
	// soundUntil is until when parts are known to be sound.
	soundUntil *simplelru.LRU[string, time.Time]
}

// NewParts returns an empty table. It registers its metrics with reg unless that is nil.
func NewParts(reg prometheus.Registerer) *Parts {
	marks, err := simplelru.NewLRU[string, partMark](partCapacity, nil)
	if err != nil {
		panic(err) // the capacity is positive
	}
	sound, err := simplelru.NewLRU[string, time.Time](soundCapacity, nil)
	if err != nil {
		panic(err) // the capacity is positive
	}
	t := &Parts{marks: marks, soundUntil: sound, refused: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "azurelead_suspect_parts_refused_total", Help: "Requests refused because a part of their prompt crashes endpoints.",
	})}
	if reg != nil {
		reg.MustRegister(t.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "azurelead_suspect_parts", Help: "Prompt parts under which enough endpoints crashed to refuse them.",
		}, func() float64 { return float64(t.countBlamed()) }))
	}
	return t
}

// partKey returns the key of a part. Clients choose the IDs, so their length is unknown.
func partKey(id string) string { return strconv.FormatUint(xxhash.Sum64String(id), 36) }

// partKeys returns the keys of the IDs, each once.
func partKeys(ids []string) []string {
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, partKey(id))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// Crashed records that an endpoint crashed while it began answers on the parts. An endpoint that starts
// again goes by another name here.
func (t *Parts) Crashed(endpoint string, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, key := range partKeys(ids) {
		if t.isSound(key, now) {
			continue
		}
		m, _ := t.marks.Peek(key)
		t.marks.Add(key, m.withEndpoints([]string{endpoint}, now, now))
	}
}

// Sound records that an answer was made on the parts.
func (t *Parts) Sound(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, key := range partKeys(ids) {
		t.soundUntil.Add(key, now.Add(soundTTL))
		t.clearSound(key, now)
	}
}

// Refused reports whether a request with the parts is refused.
func (t *Parts) Refused(ids []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.marks.Len() == 0 {
		return false
	}
	now := time.Now()
	keys := partKeys(ids)
	for _, key := range keys {
		m, _ := t.marks.Peek(key)
		if !m.isBlamed(now) || now.Sub(m.firstCrash) < partSettleTime {
			continue
		}
		if len(m.endpoints)-t.explained(m, keys, now) >= minPartCrashes {
			t.marks.Get(key) // keeps the mark from being evicted
			t.refused.Inc()
			return true
		}
	}
	return false
}

// explained returns how many of a mark's crashes a blamed part that is not among the keys explains. The
// caller holds mu.
func (t *Parts) explained(m partMark, keys []string, now time.Time) int {
	most := 0
	for _, other := range t.marks.Keys() {
		o, _ := t.marks.Peek(other)
		if !o.isBlamed(now) || slices.Contains(keys, other) {
			continue
		}
		common := 0
		for _, e := range m.endpoints {
			if _, found := slices.BinarySearch(o.endpoints, e); found {
				common++
			}
		}
		most = max(most, common)
	}
	return most
}

// Merge merges a peer's marks into the table.
func (t *Parts) Merge(marks []PartMark) {
	if len(marks) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, s := range marks[:min(len(marks), partCapacity)] {
		peer := partMarkFromMessage(s, now)
		own, known := t.marks.Peek(s.Part)
		switch {
		case !now.Before(peer.expires):
			continue
		case !known || own.epoch < peer.epoch:
			t.marks.Add(s.Part, peer)
		case own.epoch == peer.epoch && !containsAll(own.endpoints, peer.endpoints):
			merged := own.withEndpoints(peer.endpoints, peer.firstCrash, now)
			merged.expires = peer.expires
			if own.expires.After(peer.expires) {
				merged.expires = own.expires
			}
			t.marks.Add(s.Part, merged)
		}
		t.clearSound(s.Part, now)
	}
}

// Marks returns the marks to send to linked peers: those that changed within partGossipPeriod.
func (t *Parts) Marks() []PartMark {
	return t.selectMarks(func(m partMark, now time.Time) bool { return now.Sub(m.changed) <= partGossipPeriod })
}

// AllMarks returns the marks to send to a peer when it is linked.
func (t *Parts) AllMarks() []PartMark {
	return t.selectMarks(func(partMark, time.Time) bool { return true })
}

// selectMarks returns at most maxPartMarks of the marks that a function selects, those with the most
// crashes first. It drops expired ones.
func (t *Parts) selectMarks(selects func(partMark, time.Time) bool) []PartMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []PartMark
	for _, key := range t.marks.Keys() {
		m, _ := t.marks.Peek(key)
		switch {
		case !now.Before(m.expires):
			t.marks.Remove(key)
		case selects(m, now):
			out = append(out, m.message(key, now))
		}
	}
	slices.SortFunc(out, func(a, b PartMark) int {
		return cmp.Or(cmp.Compare(len(b.Endpoints), len(a.Endpoints)), cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxPartMarks)]
}

// isSound reports whether a part is known to be sound. The caller holds mu.
func (t *Parts) isSound(key string, now time.Time) bool {
	until, _ := t.soundUntil.Peek(key)
	return now.Before(until)
}

// clearSound clears the mark of a part that is known to be sound. The caller holds mu.
func (t *Parts) clearSound(key string, now time.Time) {
	m, found := t.marks.Peek(key)
	if found && len(m.endpoints) > 0 && t.isSound(key, now) {
		t.marks.Add(key, partMark{epoch: m.epoch + 1, expires: now.Add(partMarkTTL), changed: now})
	}
}

// countBlamed returns the number of parts under which enough endpoints crashed to refuse them.
func (t *Parts) countBlamed() int {
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

// isBlamed reports whether enough endpoints crashed under the part to refuse it.
func (m partMark) isBlamed(now time.Time) bool {
	return len(m.endpoints) >= minPartCrashes && now.Before(m.expires)
}

// withEndpoints returns the mark with further crashed endpoints, the first of which crashed at a time.
func (m partMark) withEndpoints(endpoints []string, firstCrash, now time.Time) partMark {
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

// message returns the mark as it is sent to peers.
func (m partMark) message(key string, now time.Time) PartMark {
	message := PartMark{Part: key, Epoch: m.epoch, Endpoints: m.endpoints, ExpiresInMS: m.expires.Sub(now).Milliseconds()}
	if !m.firstCrash.IsZero() {
		message.AgeMS = now.Sub(m.firstCrash).Milliseconds()
	}
	return message
}

// partMarkFromMessage returns a mark received from a peer. Its lifetime is bounded by that of a mark made
// in this process.
func partMarkFromMessage(s PartMark, now time.Time) partMark {
	ttl := min(max(time.Duration(s.ExpiresInMS)*time.Millisecond, 0), partMarkTTL)
	age := min(max(time.Duration(s.AgeMS)*time.Millisecond, 0), partMarkTTL)
	m := partMark{epoch: s.Epoch, expires: now.Add(ttl), changed: now}
	if len(s.Endpoints) > 0 {
		m = m.withEndpoints(s.Endpoints, now.Add(-age), now)
		m.expires = now.Add(ttl)
	}
	return m
}

// containsAll reports whether a sorted list contains all of the other's elements, or is full.
func containsAll(sorted, other []string) bool {
	if len(sorted) >= maxMarkEndpoints {
		return true
	}
	return !slices.ContainsFunc(other, func(e string) bool {
		_, found := slices.BinarySearch(sorted, e)
		return !found
	})
}
