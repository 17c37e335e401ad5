// Package capacity computes the control-plane overhead of each daemon for a fleet
// of a given size, from unit costs that its benchmarks measure. docs/CAPACITY.md
// shows the result; make slopes runs the benchmarks and checks the overhead against
// the budget.
package capacity

import "time"

// FleetSize is the size and the load of a fleet.
type FleetSize struct {
	Entries       int
	Agents        int
	DataCentres   int
	Pools         int
	Organisations int
	// RequestsPerSecond is the peak request rate. ClaimsPerSecond is the rate of
	// the requests among them that may not be repeated and need a claim.
	RequestsPerSecond float64
	ClaimsPerSecond   float64
	ChangesPerDay     float64 // changes of the settings
	// FailuresPerDay and RestartsPerDay count the instances of the whole fleet that fail
	// or restart.
	FailuresPerDay float64
	RestartsPerDay float64
}

// Target is the fleet size that the project is designed for. Its definition can
// be read in two ways; Target uses the more demanding one, with 380 entries and an
// agent on each of 1,100 servers.
var Target = FleetSize{
	Entries: 380, Agents: 1100, DataCentres: 18, Pools: 15, Organisations: 410,
	RequestsPerSecond: 6400, ClaimsPerSecond: 1000, ChangesPerDay: 1400,
	FailuresPerDay: 15, RestartsPerDay: 460,
}

// Tuning holds the parameters that operators and defaults set.
type Tuning struct {
	// LinksPerEntry and LinksPerAgent result from the subset size.
	LinksPerEntry int
	LinksPerAgent int
	PingInterval  time.Duration
	// EntryListInterval and AgentListInterval are the intervals between reads
	// of the platform's instance list.
	EntryListInterval time.Duration
	AgentListInterval time.Duration
	// Watchers is the number of processes per data centre that watch the settings.
	// Each watch call waits for at most WatchTimeout.
	Watchers     int
	WatchTimeout time.Duration
	Shards       int
	// ClaimUpdateInterval is how long claims are collected for one update of a shard.
	ClaimUpdateInterval time.Duration
	Retention           time.Duration
}

// DefaultTuning is the tuning that results from the daemons' defaults for Target.
var DefaultTuning = Tuning{
	LinksPerEntry: 105, LinksPerAgent: 37, PingInterval: 25 * time.Second,
	EntryListInterval: 5 * time.Second, AgentListInterval: 30 * time.Second,
	Watchers: 2, WatchTimeout: 3 * time.Second,
	Shards: 16, ClaimUpdateInterval: 80 * time.Millisecond, Retention: time.Hour,
}

// UnitCosts holds the measured costs of single links, calls and records.
type UnitCosts struct {
	EntryLinkBytes         float64 // memory of one link in an entry
	AgentLinkBytes         float64 // memory of one link in an agent
	IdleLinkCPU            float64 // share of a core used by an idle link, both ends
	PingCPU                float64 // CPU seconds of one ping, both ends
	PingWireBytes          float64 // bytes of one ping and its response
	UnchangedListWireBytes float64 // bytes of a read of the unchanged list
	UnchangedListCPU       float64 // CPU seconds of that read, both ends
	ChangedListWireBytes   float64 // bytes of a read of the changed list, at Target's size
	ChangedListCPU         float64 // CPU seconds of that read, both ends
	OwnInstanceWireBytes   float64 // bytes of a read of one instance
	OwnInstanceCPU         float64 // CPU seconds of that read, both ends
	TargetsCPU             float64 // CPU seconds of one selection of links, at Target's size
	OrganisationBytes      float64 // memory of one organisation's settings
	ChangeWireBytes        float64 // bytes of a change of one organisation
	ChangeCPU              float64 // CPU seconds to apply it, at Target's size
	ClaimCPU               float64 // CPU seconds of one claim with its outcome, at the writer
	ClaimWireBytes         float64 // bytes written to the store for one claim
	ClaimKeyBytes          float64 // memory of one retained key
	ShardWritesPerSec      float64 // updates per second of one busy shard
	SuspectBytes           float64 // memory of one suspect
	SuspectWireBytes       float64 // bytes of one suspect in a message
}

// Usage is the control-plane overhead of one daemon.
type Usage struct {
	CPU         float64 // share of a core
	MemoryBytes float64
	WireBytes   float64 // per second, in and out
	StoreCalls  float64 // per second
}

// Budget is the highest control-plane overhead that the target allows a daemon.
var Budget = Usage{CPU: 0.047, MemoryBytes: 32 << 20, WireBytes: 2 << 10}

// Item is one contribution to the overhead of a daemon.
type Item struct {
	Name string
	Usage
}

// Total returns the sum of items.
func Total(items []Item) Usage {
	var total Usage
	for _, item := range items {
		total.CPU += item.CPU
		total.MemoryBytes += item.MemoryBytes
		total.WireBytes += item.WireBytes
		total.StoreCalls += item.StoreCalls
	}
	return total
}

const secondsPerDay = 86400

// pingHeaderBytes is the size of the IP and TCP headers of a ping, its response
// and one acknowledgement, which the benchmark does not count.
const pingHeaderBytes = 3 * 52

// linkUsage returns the cost of idle links: their memory and pings.
func linkUsage(links int, bytesPerLink float64, tuning Tuning, costs UnitCosts) Item {
	pings := float64(links) / tuning.PingInterval.Seconds()
	return Item{"links", Usage{
		CPU:         pings*costs.PingCPU/2 + float64(links)*costs.IdleLinkCPU,
		MemoryBytes: float64(links) * bytesPerLink,
		WireBytes:   pings * (costs.PingWireBytes + pingHeaderBytes),
	}}
}

func settingsUsage(size FleetSize, peers int, costs UnitCosts) Item {
	changes := size.ChangesPerDay / secondsPerDay
	return Item{"settings", Usage{
		CPU:         changes * costs.ChangeCPU,
		MemoryBytes: float64(size.Organisations) * costs.OrganisationBytes,
		WireBytes:   changes * costs.ChangeWireBytes * float64(1+peers),
	}}
}

// listChangesPerInstance is the number of changes of the instance list for each
// instance that fails or restarts: it is marked as leaving, removed and added again.
const listChangesPerInstance = 3

// instanceListUsage returns the cost of following the platform's instance list in an
// entry, which reads the whole list whenever it has changed.
func instanceListUsage(size FleetSize, tuning Tuning, costs UnitCosts) Item {
	reads := 1 / tuning.EntryListInterval.Seconds()
	changes := listChangesPerInstance * (size.FailuresPerDay + size.RestartsPerDay) / secondsPerDay
	return Item{"list of instances", Usage{
		CPU:        reads*costs.UnchangedListCPU + changes*costs.ChangedListCPU,
		WireBytes:  reads*(costs.UnchangedListWireBytes+pingHeaderBytes) + changes*costs.ChangedListWireBytes,
		StoreCalls: reads,
	}}
}

// ownInstanceUsage returns the cost of an agent's reads of its own instance.
func ownInstanceUsage(tuning Tuning, costs UnitCosts) Item {
	reads := 1 / tuning.AgentListInterval.Seconds()
	return Item{"own instance", Usage{
		CPU: reads * costs.OwnInstanceCPU, WireBytes: reads * (costs.OwnInstanceWireBytes + pingHeaderBytes), StoreCalls: reads,
	}}
}

// suspectUsage returns the cost of a table of suspects: its memory, and one suspect in
// each ping and each response.
func suspectUsage(tableSize, links int, tuning Tuning, costs UnitCosts) Item {
	return Item{"suspects", Usage{
		MemoryBytes: float64(tableSize) * costs.SuspectBytes,
		WireBytes:   nonEmpty(tableSize) * float64(links) / tuning.PingInterval.Seconds() * costs.SuspectWireBytes * 2, // one in each direction
	}}
}

// nonEmpty returns 0 for an empty table and 1 otherwise, because a message repeats at
// most one suspect that is no longer new.
func nonEmpty(tableSize int) float64 { return float64(min(tableSize, 1)) }

// EntryUsage returns the overhead of one entry. It assumes an empty table of suspects,
// because they arise only from crashes and a normal day has none.
func EntryUsage(size FleetSize, tuning Tuning, costs UnitCosts) []Item {
	selection := Item{"choice of links", Usage{CPU: costs.TargetsCPU / tuning.EntryListInterval.Seconds()}}
	return []Item{
		linkUsage(tuning.LinksPerEntry, costs.EntryLinkBytes, tuning, costs),
		instanceListUsage(size, tuning, costs),
		selection,
		settingsUsage(size, tuning.LinksPerEntry/max(tuning.LinksPerAgent, 1), costs),
		suspectUsage(0, tuning.LinksPerEntry, tuning, costs),
	}
}

// AgentUsage returns the overhead of one agent that writes no claims.
func AgentUsage(size FleetSize, tuning Tuning, costs UnitCosts) []Item {
	return []Item{
		linkUsage(tuning.LinksPerAgent, costs.AgentLinkBytes, tuning, costs),
		ownInstanceUsage(tuning, costs),
		settingsUsage(size, 0, costs),
		suspectUsage(0, tuning.LinksPerAgent, tuning, costs),
	}
}

// WriterUsage returns the cost that the usual writer of one shard has in addition to
// AgentUsage. It does not count towards the budget because it is part of serving
// requests.
func WriterUsage(size FleetSize, tuning Tuning, costs UnitCosts) Item {
	perShard := size.ClaimsPerSecond / float64(tuning.Shards)
	return Item{"claims of one shard", Usage{
		CPU:         perShard * costs.ClaimCPU,
		MemoryBytes: perShard * tuning.Retention.Seconds() * costs.ClaimKeyBytes,
		WireBytes:   perShard * costs.ClaimWireBytes,
		StoreCalls:  costs.ShardWritesPerSec,
	}}
}

// StoreCalls is a part of the whole fleet's load on the platform's store.
type StoreCalls struct {
	Name          string
	Reads, Writes float64 // per second
}

// StoreLoad returns the load on the store by cause.
func StoreLoad(size FleetSize, tuning Tuning, costs UnitCosts) []StoreCalls {
	watches := float64(tuning.Watchers * size.DataCentres)
	changes := size.ChangesPerDay / secondsPerDay
	return []StoreCalls{
		{"claims", 0, float64(tuning.Shards) * costs.ShardWritesPerSec},
		{"settings: watches", watches / tuning.WatchTimeout.Seconds(), 0},
		{"settings: changes", changes * (1 + 2*watches), changes * 2},
		{"list: entries", float64(size.Entries) / tuning.EntryListInterval.Seconds(), 0},
		{"list: agents", float64(size.Agents) / tuning.AgentListInterval.Seconds(), 0},
	}
}
