package standin

import (
	"maps"
	"sync"
)

// runCounter counts runs of calls by the id that the caller assigned.
type runCounter struct {
	mu    sync.Mutex
	total int64
	byID  map[string]int
}

func newRunCounter() *runCounter { return &runCounter{byID: make(map[string]int)} }

// add counts a run and returns the number of runs of id, or 0 if id is empty.
func (r *runCounter) add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if id == "" {
		return 0
	}
	r.byID[id]++
	return r.byID[id]
}

func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// snapshot returns the number of runs of each id.
func (r *runCounter) snapshot() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byID)
}

// RunCounts summarises the runs of calls.
type RunCounts struct {
	Total int64 `json:"total"`
	IDs   int   `json:"ids"`
	// Repeated is the number of ids with more than one run, MaxRuns the highest
	// number of runs of one id.
	Repeated int `json:"repeated"`
	MaxRuns  int `json:"most"`
}

func (r *runCounter) summary() RunCounts {
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
