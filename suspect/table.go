// Package suspect stops requests that crash endpoints. What was in flight when
// an endpoint crashed is marked; a marked request runs alone on an endpoint,
// and one that crashed an endpoint while it ran alone twice is refused for a
// time. Marks spread over links, so that a caller who sends the request again
// through another entry meets the same verdict.
//
// One copy of a request at a time loses at most MaxLost endpoints. Copies that
// run at once, through entries that have not heard of each other's crashes,
// lose at most MaxLost each; no mark is needed for that bound but those that
// an entry has from its own answers.
package suspect

import (
	"cmp"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/link"
)

// provenCrashLimit is how many crashes with the request alone in flight make it refused.
const provenCrashLimit = 2

// MaxEndpointCrashes is how many endpoints one copy of a request can crash: one among
// others, and then alone until it is refused.
const MaxEndpointCrashes = 1 + provenCrashLimit

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	// Allowed runs the request like any other.
	Allowed Verdict = iota
	// Alone runs it while nothing else runs on the endpoint.
	Alone
	// Refused does not run it.
	Refused
)

// Options configures a Table. Zero members take the defaults below.
type Options struct {
	// Capacity bounds the marks kept.
	Capacity int
	// MarkTTL is how long a mark stands after its last crash.
	MarkTTL time.Duration
	// RefusalTTL is how long a request is refused after its last crash.
	RefusalTTL time.Duration
	// GossipPeriod is how long a changed mark is in every message.
	GossipPeriod time.Duration
	// MaxMarksPerMessage bounds the marks in one message.
	MaxMarksPerMessage int
	Metrics            prometheus.Registerer
}

// Defaults of Options.
const (
	defaultCapacity     = 1024
	defaultAloneFor     = 5 * time.Minute
	defaultRefusedFor   = 15 * time.Minute
	defaultSpreadFor    = 10 * time.Second
	defaultMessageMarks = 16
)

func (o *Options) setDefaults() {
	o.Capacity = cmp.Or(o.Capacity, defaultCapacity)
	o.MarkTTL = cmp.Or(o.MarkTTL, defaultAloneFor)
	o.RefusalTTL = cmp.Or(o.RefusalTTL, defaultRefusedFor)
	o.GossipPeriod = cmp.Or(o.GossipPeriod, defaultSpreadFor)
	o.MaxMarksPerMessage = cmp.Or(o.MaxMarksPerMessage, defaultMessageMarks)
}

// Table holds the marks of one process. It is safe for concurrent use.
type Table struct {
	o Options
	m *metrics

	mu    sync.Mutex
	marks *simplelru.LRU[string, mark]
	// repeatIndex is the mark that the next message repeats although it is not new,
	// so that a process that started late hears of all marks in time.
	repeatIndex int
}

// New returns an empty table.
func New(o Options) *Table {
	o.setDefaults()
	// The table makes room itself, so the list never evicts on its own.
	marks, err := simplelru.NewLRU[string, mark](o.Capacity+1, nil)
	if err != nil {
		panic(err) // the capacity is positive
	}
	t := &Table{o: o, marks: marks}
	t.m = newMetrics(o.Metrics, t)
	return t
}

// Verdict returns what may be done with the request and how much longer that stands.
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

// Crashed reports the requests that were in flight when an endpoint crashed.
// A request that was alone is proven to have crashed it.
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

// Cleared reports a good run of the request.
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

// Merge takes a peer's marks in.
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

// Suspects returns the marks to pass on: those that changed lately, and one
// of the others in turn.
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

func (t *Table) unexpired(digest string, now time.Time) []link.Suspect {
	m, _ := t.marks.Peek(digest)
	if !now.Before(m.expires) {
		return nil
	}
	return []link.Suspect{m.message(digest, now)}
}

// set stores the mark as the latest change and makes room for it.
func (t *Table) set(digest string, m mark) {
	t.marks.Add(digest, m)
	if t.marks.Len() > t.o.Capacity {
		t.evict()
	}
}

// evict drops the oldest mark that proves nothing, so that the neighbours of
// many crashes do not push a refused request out.
func (t *Table) evict() {
	for _, d := range t.marks.Keys() {
		if m, _ := t.marks.Peek(d); m.proven == 0 {
			t.marks.Remove(d)
			return
		}
	}
	t.marks.RemoveOldest()
}

// prune drops marks some time after they expired. Until then they are kept,
// silent, so that a peer's copy that expires a little later does not revive them.
func (t *Table) prune(now time.Time) {
	for _, d := range t.marks.Keys() {
		if m, _ := t.marks.Peek(d); now.Sub(m.expires) > t.o.GossipPeriod {
			t.marks.Remove(d)
		}
	}
}
