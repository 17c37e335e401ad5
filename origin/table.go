// Package origin remembers where streams began: at which service and at which version of its software. What
// two versions write does not fit together, so that a client that resumes a stream must get the version
// that began it, at whichever entry it arrives.
package origin

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// TTL is how long the origin of a stream is kept. Clients resume a stream within its deadline.
	TTL = time.Minute
	// capacity bounds the origins that are kept.
	capacity = 32768
)

// Record is the origin of one stream.
type Record struct {
	// Key identifies the attempt in which the client received the first event.
	Key string `json:"k"`
	// Service and Version are those of the endpoint that sent it.
	Service string `json:"s"`
	Version string `json:"v"`
}

// Key returns the key of an attempt. Clients choose the IDs of attempts, so their length is not bounded.
func Key(attemptID string) string { return strconv.FormatUint(xxhash.Sum64String(attemptID), 36) }

// entry is one record of a table.
type entry struct {
	Record
	expires time.Time
}

// Table holds the origins of streams. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries *simplelru.LRU[string, entry]
	// unannounced are the keys of the streams of this process that no peer knows yet.
	unannounced map[string]bool
}

// New returns an empty table.
func New() *Table {
	unannounced := make(map[string]bool)
	entries, err := simplelru.NewLRU(capacity, func(key string, _ entry) { delete(unannounced, key) })
	if err != nil {
		panic(err) // the capacity is positive
	}
	return &Table{entries: entries, unannounced: unannounced}
}

// Begin records a stream that begins in this process.
func (t *Table) Begin(now time.Time, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(now, r)
	t.unannounced[r.Key] = true
}

// Merge records streams that other processes have announced.
func (t *Table) Merge(now time.Time, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records[:min(len(records), capacity)] {
		t.add(now, r)
	}
}

// add adds a record. The caller holds mu.
func (t *Table) add(now time.Time, r Record) {
	t.entries.Add(r.Key, entry{Record: r, expires: now.Add(TTL)})
}

// End removes a stream that the client has received completely.
func (t *Table) End(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries.Remove(key)
}

// Find returns the origin of a stream.
func (t *Table) Find(now time.Time, key string) (r Record, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.entries.Peek(key)
	if !found || now.After(e.expires) {
		return Record{}, false
	}
	return e.Record, true
}

// TakeUnannounced returns the streams of a service that began in this process and have not been returned
// before.
func (t *Table) TakeUnannounced(now time.Time, service string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for key := range t.unannounced {
		e, _ := t.entries.Peek(key)
		if e.Service != service {
			continue
		}
		delete(t.unannounced, key)
		if !now.After(e.expires) {
			records = append(records, e.Record)
		}
	}
	return records
}
