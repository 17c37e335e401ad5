package suspect

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// partSettleTime is how long after the first crash a part is not refused yet. It gives entries that
	// know the part to be sound time to say so.
	partSettleTime = time.Second
	// soundTTL is how long a part is known to be sound after an answer on it.
	soundTTL = 5 * time.Minute
	// soundCapacity bounds the sound parts that are kept.
	soundCapacity = 4096
)

// Parts finds the parts of prompts that crash endpoints, whatever else a request holds. It counts the
// endpoints that crashed while they began an answer on a part, in at least two different requests; an answer
// that has begun proves its parts sound. A part is refused only together with what would explain its crashes, so that sound parts that
// come with a crashing one are not. It is safe for concurrent use.
//
// The load pattern it answers: requests with one part in common, no two alike, come at any entry and crash
// several endpoints a second, while most requests share their other parts.
type Parts struct {
	crashMarks
	refused prometheus.Counter
	// soundUntil is until when parts are known to be sound.
	soundUntil *simplelru.LRU[string, time.Time]
}

// NewParts returns an empty table. It registers its metrics with reg unless that is nil.
func NewParts(reg prometheus.Registerer) *Parts {
	t := &Parts{
		crashMarks: crashMarks{marks: newLRU[crashMark](partCapacity)}, soundUntil: newLRU[time.Time](soundCapacity),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_parts_refused_total", Help: "Requests refused because a part of their prompt crashes endpoints.",
		}),
	}
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

// Crashed records that an endpoint crashed while it began answers on the parts, for requests with the digests.
// An endpoint that starts again goes by another name here.
func (t *Parts) Crashed(endpoint string, ids []string, digests ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, key := range partKeys(ids) {
		if !t.isSound(key, now) {
			t.addCrash(key, endpoint, digests, now)
		}
	}
}

// Sound records that an answer was made on the parts.
func (t *Parts) Sound(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, key := range partKeys(ids) {
		t.soundUntil.Add(key, now.Add(soundTTL))
		t.clear(key, now)
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
func (t *Parts) explained(m crashMark, keys []string, now time.Time) int {
	most := 0
	for _, other := range t.marks.Keys() {
		o, _ := t.marks.Peek(other)
		if o.isBlamed(now) && !slices.Contains(keys, other) {
			most = max(most, len(m.endpoints)-len(without(m.endpoints, o.endpoints)))
		}
	}
	return most
}

// unexplained returns those of the crashed endpoints that no blamed part explains other than the request's own.
func (t *Parts) unexplained(endpoints, ids []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	keys := partKeys(ids)
	for _, other := range t.marks.Keys() {
		if o, _ := t.marks.Peek(other); o.isBlamed(now) && !slices.Contains(keys, other) {
			endpoints = without(endpoints, o.endpoints)
		}
	}
	return endpoints
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
		t.merge(s, now)
		if t.isSound(s.Part, now) {
			t.clear(s.Part, now)
		}
	}
}

// Marks returns the marks to send to linked peers: those that changed within partGossipPeriod.
func (t *Parts) Marks() []PartMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recentMarks()
}

// AllMarks returns the marks to send to a peer when it is linked.
func (t *Parts) AllMarks() []PartMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allMarks()
}

// isSound reports whether a part is known to be sound. The caller holds mu.
func (t *Parts) isSound(key string, now time.Time) bool {
	until, _ := t.soundUntil.Peek(key)
	return now.Before(until)
}
