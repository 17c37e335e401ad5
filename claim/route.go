package claim

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/azurelead/azurelead/membership"
)

// writersPerShard is the number of writers that are tried before the store is used
// directly: the preferred writer, and the one that replaces it when it leaves.
const writersPerShard = 2

// writerCacheTTL is how long the writers of a shard are cached. An outdated entry leads to
// write conflicts between two writers, but never to wrong results.
const writerCacheTTL = time.Second

// writerCache caches the writers of each shard.
type writerCache struct {
	liveWriters func() []Candidate

	mu          sync.Mutex
	refreshedAt time.Time
	byShard     map[int][]Candidate
}

// forShard returns the writers of the shard, the preferred one first.
func (c *writerCache) forShard(shard int) []Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byShard == nil || time.Since(c.refreshedAt) > writerCacheTTL {
		c.byShard, c.refreshedAt = map[int][]Candidate{}, time.Now()
	}
	writers, ok := c.byShard[shard]
	if !ok {
		writers = rankWriters(shard, c.liveWriters())
		c.byShard[shard] = writers
	}
	return writers
}

// rankWriters returns the live agents with the highest rendezvous weights for the shard,
// the highest first.
func rankWriters(shard int, live []Candidate) []Candidate {
	byName := make(map[string]Candidate, len(live))
	for _, c := range live {
		byName[c.Agent] = c
	}
	names := slices.Collect(maps.Keys(byName))
	var writers []Candidate
	for _, name := range membership.RendezvousTop("claims/"+strconv.Itoa(shard), names, writersPerShard) {
		writers = append(writers, byName[name])
	}
	return writers
}

// writersFor returns the writers to try for the request. It returns none if the layout
// of the shards cannot be read.
func (f *Forwarder) writersFor(ctx context.Context, r Request) []Candidate {
	if f.options.Writers == nil || f.options.Call == nil {
		return nil
	}
	n, err := f.options.Ledger.shardCount(ctx)
	if err != nil {
		return nil
	}
	return f.writerCache.forShard(NewID(r.Organisation, r.Key).Shard(n))
}
