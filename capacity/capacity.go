// Package capacity works out what the fleet's own control costs each daemon at
// a given size, from slopes that its benchmarks measure. docs/CAPACITY.md shows
// the result; make slopes measures anew and checks it against the budgets.
package capacity

import "time"

// FleetSize is a fleet.
type FleetSize struct {
	Entries       int
	Agents        int
	DataCentres   int
	Pools         int
	Organisations int
	// RequestsPerSecond is the peak; OncePerSecond is how many of them may not
	// be repeated and need a claim.
	RequestsPerSecond float64
	ClaimsPerSecond   float64
	ChangesPerDay     float64
	// FailuresPerDay and RestartsPerDay are instances of the fleet.
	FailuresPerDay float64
	RestartsPerDay float64
}

// Target is the size that the project is designed for. Of its two readings it
// takes the harder one: 380 entries and an agent beside each of 1,100 servers.
var Target = FleetSize{
	Entries: 380, Agents: 1100, DataCentres: 18, Pools: 15, Organisations: 410,
	RequestsPerSecond: 6400, ClaimsPerSecond: 1000, ChangesPerDay: 1400,
	FailuresPerDay: 15, RestartsPerDay: 460,
}

// Tuning is what operators and defaults choose.
type Tuning struct {
	// LinksPerEntry and LinksPerAgent follow from the subset size.
	LinksPerEntry int
	LinksPerAgent int
	PingInterval  time.Duration
	// EntryListInterval and AgentListEvery are the times between two readings of
	// the platform's list.
	EntryListInterval time.Duration
	AgentListInterval time.Duration
	// Watchers is how many processes of a data centre wait for settings, each
	// call for WatchBound.
	Watchers     int
	WatchTimeout time.Duration
	Shards       int
	// ClaimUpdateInterval is how long one update of a shard gathers claims.
	ClaimUpdateInterval time.Duration
	Retention           time.Duration
}

// DefaultTuning is the tuning that the daemons' defaults give at Target's size.
var DefaultTuning = Tuning{
	LinksPerEntry: 105, LinksPerAgent: 37, PingInterval: 25 * time.Second,
	EntryListInterval: 5 * time.Second, AgentListInterval: 30 * time.Second,
	Watchers: 2, WatchTimeout: 3 * time.Second,
	Shards: 16, ClaimUpdateInterval: 80 * time.Millisecond, Retention: time.Hour,
}

// UnitCosts are measured costs of single things.
type UnitCosts struct {
	EntryLinkBytes         float64 // memory of one link in an entry
	AgentLinkBytes         float64 // memory of one link in an agent
	IdleLinkCPU            float64 // share of a core that an idle link takes, both ends
	PingCPU                float64 // seconds of processor for one ping, both ends
	PingWireBytes          float64 // of one ping and its answer
	UnchangedListWireBytes float64 // of asking for the list when it has not changed
	UnchangedListCPU       float64 // seconds for that, both ends
	ChangedListWireBytes   float64 // of reading the list, at Target's size
	ChangedListCPU         float64 // seconds for that, both ends
	OwnInstanceWireBytes   float64 // of reading one instance
	OwnInstanceCPU         float64 // seconds for that, both ends
	TargetsCPU             float64 // seconds to choose links once, at Target's size
	OrganisationBytes      float64 // memory of one organisation's settings
	ChangeWireBytes        float64 // of one change of one organisation
	ChangeCPU              float64 // seconds to apply it, at Target's size
	ClaimCPU               float64 // seconds for one claim with its outcome, at the writer
	ClaimWireBytes         float64 // written to the store for one claim
	ClaimKeyBytes          float64 // memory of one remembered key
	ShardWritesPerSec      float64 // updates of one busy shard a second
	SuspectBytes           float64 // memory of one suspect
	SuspectWireBytes       float64 // of one suspect in a message
}

// Usage is what control costs one daemon.
type Usage struct {
	CPU         float64 // share of a core
	MemoryBytes float64
	WireBytes   float64 // a second, in and out
	StoreCalls  float64 // a second
}

// Budget is what the target allows a daemon for control.
var Budget = Usage{CPU: 0.047, MemoryBytes: 32 << 20, WireBytes: 2 << 10}

// Item is one line of a daemon's control.
type Item struct {
	Name string
	Usage
}

// Total sums items up.
func Total(items []Item) Usage {
	var t Usage
	for _, i := range items {
		t.CPU += i.CPU
		t.MemoryBytes += i.MemoryBytes
		t.WireBytes += i.WireBytes
		t.StoreCalls += i.StoreCalls
	}
	return t
}

const secondsPerDay = 86400

// pingHeaderBytes are the IP and TCP headers of a ping, its answer and one
// acknowledgement, which the benchmark does not see.
const pingHeaderBytes = 3 * 52

// upkeep is the cost of n links: memory, and pings while they are quiet.
func upkeep(n int, perLink float64, t Tuning, s UnitCosts) Item {
	pings := float64(n) / t.PingInterval.Seconds()
	return Item{"links", Usage{
		CPU:         pings*s.PingCPU/2 + float64(n)*s.IdleLinkCPU,
		MemoryBytes: float64(n) * perLink,
		WireBytes:   pings * (s.PingWireBytes + pingHeaderBytes),
	}}
}

func settingsTree(z FleetSize, peers int, s UnitCosts) Item {
	changes := z.ChangesPerDay / secondsPerDay
	return Item{"settings", Usage{
		CPU:         changes * s.ChangeCPU,
		MemoryBytes: float64(z.Organisations) * s.OrganisationBytes,
		WireBytes:   changes * s.ChangeWireBytes * float64(1+peers),
	}}
}

// changesOfList are a leaving, a going and a coming for each instance that is
// lost or replaced.
const changesOfList = 3

// list is the upkeep of the platform's list in an entry, which reads it whole
// whenever it has changed.
func list(z FleetSize, t Tuning, s UnitCosts) Item {
	asked := 1 / t.EntryListInterval.Seconds()
	changed := changesOfList * (z.FailuresPerDay + z.RestartsPerDay) / secondsPerDay
	return Item{"list of instances", Usage{
		CPU:        asked*s.UnchangedListCPU + changed*s.ChangedListCPU,
		WireBytes:  asked*(s.UnchangedListWireBytes+pingHeaderBytes) + changed*s.ChangedListWireBytes,
		StoreCalls: asked,
	}}
}

// own is an agent's reading of its own instance.
func own(t Tuning, s UnitCosts) Item {
	asked := 1 / t.AgentListInterval.Seconds()
	return Item{"own instance", Usage{
		CPU: asked * s.OwnInstanceCPU, WireBytes: asked * (s.OwnInstanceWireBytes + pingHeaderBytes), StoreCalls: asked,
	}}
}

// suspects is the upkeep of a full table, and one mark a ping.
func suspects(marks, n int, t Tuning, s UnitCosts) Item {
	return Item{"suspects", Usage{
		MemoryBytes: float64(marks) * s.SuspectBytes,
		WireBytes:   present(marks) * float64(n) / t.PingInterval.Seconds() * s.SuspectWireBytes * 2, // one each way
	}}
}

// present is 0 for an empty table and 1 else: a message repeats one mark at most
// once it is no longer new.
func present(marks int) float64 { return float64(min(marks, 1)) }

// EntryUsage is the control of one entry. Crashes leave marks; there are none on an
// ordinary day.
func EntryUsage(z FleetSize, t Tuning, s UnitCosts) []Item {
	choose := Item{"choice of links", Usage{CPU: s.TargetsCPU / t.EntryListInterval.Seconds()}}
	return []Item{
		upkeep(t.LinksPerEntry, s.EntryLinkBytes, t, s),
		list(z, t, s),
		choose,
		settingsTree(z, t.LinksPerEntry/max(t.LinksPerAgent, 1), s),
		suspects(0, t.LinksPerEntry, t, s),
	}
}

// AgentUsage is the control of one agent that writes no claims.
func AgentUsage(z FleetSize, t Tuning, s UnitCosts) []Item {
	return []Item{
		upkeep(t.LinksPerAgent, s.AgentLinkBytes, t, s),
		own(t, s),
		settingsTree(z, 0, s),
		suspects(0, t.LinksPerAgent, t, s),
	}
}

// WriterUsage is what the usual writer of one shard bears beside its Agent's
// control. It is work on requests, so it has no part in the budget.
func WriterUsage(z FleetSize, t Tuning, s UnitCosts) Item {
	perShard := z.ClaimsPerSecond / float64(t.Shards)
	return Item{"claims of one shard", Usage{
		CPU:         perShard * s.ClaimCPU,
		MemoryBytes: perShard * t.Retention.Seconds() * s.ClaimKeyBytes,
		WireBytes:   perShard * s.ClaimWireBytes,
		StoreCalls:  s.ShardWritesPerSec,
	}}
}

// StoreCalls is what the platform's store bears from the whole fleet.
type StoreCalls struct {
	Name          string
	Reads, Writes float64 // a second
}

// StoreLoad is the store's load by cause.
func StoreLoad(z FleetSize, t Tuning, s UnitCosts) []StoreCalls {
	watching := float64(t.Watchers * z.DataCentres)
	changes := z.ChangesPerDay / secondsPerDay
	return []StoreCalls{
		{"claims", 0, float64(t.Shards) * s.ShardWritesPerSec},
		{"settings: watches", watching / t.WatchTimeout.Seconds(), 0},
		{"settings: changes", changes * (1 + 2*watching), changes * 2},
		{"list: entries", float64(z.Entries) / t.EntryListInterval.Seconds(), 0},
		{"list: agents", float64(z.Agents) / t.AgentListInterval.Seconds(), 0},
	}
}
