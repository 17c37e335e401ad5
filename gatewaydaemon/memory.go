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
	// headShare is the share that the heads of clients' requests may hold together, those of one address half of it.
	headShare = 0.1
	// connectionShare is the share that clients' connections may take at connectionBytes each: buffers, stacks and the
	// first bytes of bodies, which no budget counts.
	connectionShare = 0.25
	connectionBytes = 32 << 10
	// reservedFiles are the descriptors that are not for sockets, and clientFilesShare is the share of the others that
	// clients' connections may take. The rest is for endpoints, other entries and the store.
	reservedFiles    = 200
	clientFilesShare = 0.5
	// lingeringShare is how many connections may linger after they were closed, as a share of those that may be open.
	lingeringShare = 0.25
)

// memoryPlan is how a process divides the memory limit of its instance, in bytes.
type memoryPlan struct {
	heap, responses, uploads, heads int64
	// connections is the number of clients' connections.
	connections int
}

// planMemory returns the plan for a memory limit in bytes and a number of descriptors; 0 means that it is not known.
func planMemory(limit int64, files int) memoryPlan {
	if limit <= 0 {
		limit = defaultMemory
	}
	share := func(s float64) int64 { return int64(s * float64(limit)) }
	connections := int(share(connectionShare) / connectionBytes)
	if files > 0 {
		connections = min(connections, max(int(clientFilesShare*float64(files-reservedFiles)), 1))
	}
	return memoryPlan{
		heap: share(heapShare), responses: share(responseShare), uploads: share(uploadShare), heads: share(headShare), connections: connections,
	}
}

// apply makes the garbage collector keep to the plan, unless the environment sets another limit.
func (p memoryPlan) apply() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(p.heap)
	}
}
