package standin

import (
	"maps"
	"sync"
)

// runs counts how often each call ran, by the id that its caller gave.
type runs struct {
	mu    sync.Mutex
	total int64
	byID  map[string]int
}

func newRuns() *runs { return &runs{byID: make(map[string]int)} }

// add counts a run and returns how many the id has now.
func (r *runs) add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if id == "" {
		return 0
	}
	r.byID[id]++
	return r.byID[id]
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// all returns the runs of every id.
func (r *runs) all() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byID)
}

// RunCounts sums up the runs of calls.
type RunCounts struct {
	Total int64 `json:"total"`
	IDs   int   `json:"ids"`
	// Repeated counts ids that ran more than once, Most is the highest count.
	Repeated int `json:"repeated"`
	MaxRuns  int `json:"most"`
}

func (r *runs) counts() RunCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := RunCounts{Total: r.total, IDs: len(r.byID)}
	for _, n := range r.byID {
		c.MaxRuns = max(c.MaxRuns, n)
		if n > 1 {
			c.Repeated++
		}
	}
	return c
}
