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

// writersTried is how many writers are asked before the store itself: the
// usual writer, and the one that becomes usual once the first has gone.
const writersTried = 2

// routeAge is how long the choice of writers stands. An old choice costs
// conflicts between two writers, never correctness.
const routeAge = time.Second

// routes remembers the writers of each shard.
type routes struct {
	writers func() []Candidate

	mu      sync.Mutex
	chosen  time.Time
	byShard map[int][]Candidate
}

// of returns the writers of the shard, the usual one first.
func (r *routes) of(shard int) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byShard == nil || time.Since(r.chosen) > routeAge {
		r.byShard, r.chosen = map[int][]Candidate{}, time.Now()
	}
	chosen, ok := r.byShard[shard]
	if !ok {
		chosen = rank(shard, r.writers())
		r.byShard[shard] = chosen
	}
	return chosen
}

// rank returns the live agents of the highest weights for the shard.
func rank(shard int, live []Candidate) []Candidate {
	byName := make(map[string]Candidate, len(live))
	for _, c := range live {
		byName[c.Agent] = c
	}
	names := slices.Collect(maps.Keys(byName))
	var chosen []Candidate
	for _, name := range membership.RendezvousTop("claims/"+strconv.Itoa(shard), names, writersTried) {
		chosen = append(chosen, byName[name])
	}
	return chosen
}

// writersOf returns the writers to try for the request, none when the layout
// of the shards cannot be read.
func (f *Forwarder) writersOf(ctx context.Context, r Request) []Candidate {
	if f.options.Writers == nil || f.options.Call == nil {
		return nil
	}
	n, err := f.options.Ledger.shardCount(ctx)
	if err != nil {
		return nil
	}
	return f.routes.of(NewID(r.Organisation, r.Key).Shard(n))
}
