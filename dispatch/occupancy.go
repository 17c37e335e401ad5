package dispatch

import (
	"slices"
	"strings"
	"time"
)

// ServiceStats is how busy one stage service is.
type ServiceStats struct {
	Service string
	// Endpoints may get calls; BackedOff are those of them that failed lately.
	Endpoints, BackedOff int
	// QueuedTasks counts tasks that no call has, RunningCalls the calls in progress.
	QueuedTasks, RunningCalls int
	// FreeMemory is the memory that is left for results, in bytes, of TotalMemory.
	FreeMemory, TotalMemory int64
}

// Stats describes the stage services by name.
func (d *Dispatcher) Stats(now time.Time) []ServiceStats {
	var list []ServiceStats
	for name, p := range d.pools {
		list = append(list, p.occupancy(now, name))
	}
	slices.SortFunc(list, func(a, b ServiceStats) int { return strings.Compare(a.Service, b.Service) })
	return list
}

func (p *pool) occupancy(now time.Time, name string) ServiceStats {
	o := ServiceStats{Service: name}
	for _, n := range p.backlog {
		o.QueuedTasks += n
	}
	for _, e := range p.endpoints {
		o.RunningCalls += e.activeCalls
		if !e.usable {
			continue
		}
		o.Endpoints++
		if now.Before(e.retryAt) {
			o.BackedOff++
		}
		o.FreeMemory += max(e.freeMemory(now, p), 0)
		o.TotalMemory += p.limits.ResultMemory
	}
	return o
}
