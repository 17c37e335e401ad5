package dispatch

import (
	"slices"
	"strings"
	"time"
)

// ServiceStats describes the load of one stage service.
type ServiceStats struct {
	Service string
	// Endpoints counts the usable endpoints, BackedOff those of them that are in backoff
	// after a failure.
	Endpoints, BackedOff int
	// QueuedTasks counts the tasks that are not part of a call yet, RunningCalls the
	// calls in progress.
	QueuedTasks, RunningCalls int
	// FreeMemory is the part of TotalMemory that is left for results, in bytes.
	FreeMemory, TotalMemory int64
}

// Stats returns the load of each stage service, in the order of names.
func (d *Dispatcher) Stats(now time.Time) []ServiceStats {
	var list []ServiceStats
	for name, p := range d.pools {
		list = append(list, p.stats(now, name))
	}
	slices.SortFunc(list, func(a, b ServiceStats) int { return strings.Compare(a.Service, b.Service) })
	return list
}

func (p *pool) stats(now time.Time, name string) ServiceStats {
	s := ServiceStats{Service: name}
	for _, n := range p.backlog {
		s.QueuedTasks += n
	}
	for _, e := range p.endpoints {
		s.RunningCalls += e.activeCalls
		if !e.usable {
			continue
		}
		s.Endpoints++
		if now.Before(e.retryAt) {
			s.BackedOff++
		}
		s.FreeMemory += max(e.freeMemory(now, p), 0)
		s.TotalMemory += p.limits.ResultMemory
	}
	return s
}

// TrackedParts returns the number of parts of prompts that the engines of each service are assumed to have cached.
func (d *Dispatcher) TrackedParts() map[string]int {
	parts := make(map[string]int, len(d.enginePools))
	for name, p := range d.enginePools {
		for _, e := range p.sortedEngines {
			parts[name] += e.cached.parts.Len()
		}
	}
	return parts
}
