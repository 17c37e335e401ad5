// Package suspect stops requests that crash endpoints. The requests that were in flight
// when an endpoint crashed are marked. A marked request runs alone on an endpoint, and a
// request that has crashed two endpoints while it ran alone is refused for a time. Marks are
// gossiped over links, so that a caller that repeats the request through another entry
// gets the same verdict.
//
// If one copy of a request runs at a time, it crashes at most MaxEndpointCrashes endpoints.
// Concurrent copies, run through entries that have not received each other's marks, crash
// at most MaxEndpointCrashes endpoints each; this bound needs only the marks that an entry
// receives with the answers to its own requests.
package suspect

import (
	"cmp"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/link"
)

// provenCrashLimit is the number of crashes with a request alone in flight after which the
// request is refused.
const provenCrashLimit = 2

// MaxEndpointCrashes is the number of endpoints that one copy of a request can crash: one
// while it runs among others, then one per run alone until it is refused.
const MaxEndpointCrashes = 1 + provenCrashLimit

// Verdict is how a request may be run.
type Verdict int

// The verdicts.
const (
	// Allowed means that the request runs like any other.
	Allowed Verdict = iota
	// Alone means that the request runs while nothing else runs on the endpoint.
	Alone
	// Refused means that the request is not run.
	Refused
)

// Options configures a Table. Zero fields take the defaults below.
type Options struct {
	// Capacity bounds the number of marks kept.
	Capacity int
	// MarkTTL is how long a mark is valid after its last crash.
	MarkTTL time.Duration
	// RefusalTTL is how long a request is refused after its last crash.
	RefusalTTL time.Duration
	// GossipPeriod is how long a mark is part of every message after it changed.
	GossipPeriod time.Duration
	// MaxMarksPerMessage bounds the number of marks in one message.
	MaxMarksPerMessage int
	// Metrics registers the metrics of the table; nil registers none.
	Metrics prometheus.Registerer
}

// Defaults of Options.
const (
	defaultCapacity           = 1024
	defaultMarkTTL            = 5 * time.Minute
	defaultRefusalTTL         = 15 * time.Minute
	defaultGossipPeriod       = 10 * time.Second
	defaultMaxMarksPerMessage = 16
)

func (o *Options) setDefaults() {
	o.Capacity = cmp.Or(o.Capacity, defaultCapacity)
	o.MarkTTL = cmp.Or(o.MarkTTL, defaultMarkTTL)
	o.RefusalTTL = cmp.Or(o.RefusalTTL, defaultRefusalTTL)
	o.GossipPeriod = cmp.Or(o.GossipPeriod, defaultGossipPeriod)
	o.MaxMarksPerMessage = cmp.Or(o.MaxMarksPerMessage, defaultMaxMarksPerMessage)
}

// Table holds the marks of one process. It is safe for concurrent use.
type Table struct {
	o Options
	m *metrics

	mu    sync.Mutex
	marks *simplelru.LRU[string, mark]
	// repeatIndex selects the mark that the next message repeats even if it has not changed
	// lately, so that a process that started late receives all marks in time.
	repeatIndex int
}

// New returns an empty table.
func New(o Options) *Table {
	o.setDefaults()
	// The table evicts marks itself, before the LRU list does.
	marks, err := simplelru.NewLRU[string, mark](o.Capacity+1, nil)
	if err != nil {
		panic(err) // the capacity is positive
	}
	t := &Table{o: o, marks: marks}
	t.m = newMetrics(o.Metrics, t)
	return t
}

// Verdict returns how the request may be run, and for how much longer that verdict is valid.
func (t *Table) Verdict(digest string) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, _ := t.marks.Peek(digest)
	now := time.Now()
	v := m.verdict(now)
	if v == Allowed {
		return v, 0
	}
	if v == Refused {
		t.m.refused.Inc()
	}
	return v, m.expires.Sub(now)
}

// Crashed records the requests that were in flight when an endpoint crashed. A request that
// was alone is proven to have crashed it.
func (t *Table) Crashed(digests []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, d := range digests {
		m, _ := t.marks.Peek(d)
		t.set(d, m.afterCrash(len(digests) == 1, now, t.o))
		t.m.crashes.Inc()
	}
}

// Cleared records a successful run of the request, which clears its mark.
func (t *Table) Cleared(digest string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.marks.Peek(digest)
	if !ok || m.crashes == 0 {
		return
	}
	t.set(digest, m.afterSuccess(time.Now(), t.o))
	t.m.cleared.Inc()
}

// Merge merges a peer's marks into the table.
func (t *Table) Merge(marks []link.Suspect) {
	if len(marks) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, s := range marks[:min(len(marks), t.o.Capacity)] {
		own, known := t.marks.Peek(s.Digest)
		peer := markFromMessage(s, now, t.o)
		if !known && !now.Before(peer.expires) {
			continue
		}
		next := peer
		if known {
			next = own.merge(peer)
		}
		if next != own {
			t.set(s.Digest, next)
		}
	}
}

// Mark returns the request's mark, or nil if it has none.
func (t *Table) Mark(digest string) *link.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.marks.Peek(digest); !ok {
		return nil
	}
	found := t.unexpired(digest, time.Now())
	if len(found) == 0 {
		return nil
	}
	return &found[0]
}

// Suspects returns the marks to send to peers: those that changed within GossipPeriod, and
// one of all marks in turn.
func (t *Table) Suspects() []link.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(time.Now())
	if t.marks.Len() == 0 {
		return nil
	}
	now := time.Now()
	digests := t.marks.Keys()
	var out []link.Suspect
	for i := len(digests) - 1; i >= 0 && len(out) < t.o.MaxMarksPerMessage-1; i-- {
		m, _ := t.marks.Peek(digests[i])
		if now.Sub(m.changed) > t.o.GossipPeriod {
			continue
		}
		out = append(out, t.unexpired(digests[i], now)...)
	}
	t.repeatIndex++
	return append(out, t.unexpired(digests[t.repeatIndex%len(digests)], now)...)
}

// unexpired returns the mark as it is sent to peers, or nothing if it has expired.
func (t *Table) unexpired(digest string, now time.Time) []link.Suspect {
	m, _ := t.marks.Peek(digest)
	if !now.Before(m.expires) {
		return nil
	}
	return []link.Suspect{m.message(digest, now)}
}

// set stores the mark as the most recently changed one, and evicts another if the table is
// full.
func (t *Table) set(digest string, m mark) {
	t.marks.Add(digest, m)
	if t.marks.Len() > t.o.Capacity {
		t.evict()
	}
}

// evict drops the oldest mark without a proven crash, so that requests that ran beside
// many crashes do not evict a refused one.
func (t *Table) evict() {
	for _, d := range t.marks.Keys() {
		if m, _ := t.marks.Peek(d); m.proven == 0 {
			t.marks.Remove(d)
			return
		}
	}
	t.marks.RemoveOldest()
}

// prune drops marks that expired more than GossipPeriod ago. Until then they are kept but
// not sent, so that a peer's copy that expires a little later does not revive them.
func (t *Table) prune(now time.Time) {
	for _, d := range t.marks.Keys() {
		if m, _ := t.marks.Peek(d); now.Sub(m.expires) > t.o.GossipPeriod {
			t.marks.Remove(d)
		}
	}
}
