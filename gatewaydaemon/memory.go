package gatewaydaemon

import (
	"os"
	"runtime/debug"
)

const (
	// defaultMemory is the memory limit of an instance whose settings name none, in bytes.
	defaultMemory = 256 << 20
	// heapShare is the share of the memory limit that the Go runtime may use. The rest is for the program itself and
	// for the C library.
	heapShare = 0.8
	// responseShare is the share of the memory limit that endpoints' responses may hold together.
	responseShare = 0.375
	// uploadShare is the share that clients' request bodies may hold together, those of one organisation half of it.
	uploadShare = 0.25
)

// memoryPlan is how a process divides the memory limit of its instance, in bytes.
type memoryPlan struct {
	heap, responses, uploads int64
}

// planMemory returns the plan for a memory limit in bytes; 0 means that none is known.
func planMemory(limit int64) memoryPlan {
	if limit <= 0 {
		limit = defaultMemory
	}
	share := func(s float64) int64 { return int64(s * float64(limit)) }
	return memoryPlan{heap: share(heapShare), responses: share(responseShare), uploads: share(uploadShare)}
}

// apply makes the garbage collector keep to the plan, unless the environment sets another limit.
func (p memoryPlan) apply() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(p.heap)
	}
}
