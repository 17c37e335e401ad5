package capacity

import (
	"fmt"
	"os"
	"testing"
)

// TestMain prints the control-plane overhead after a run of all benchmarks (make
// slopes), and fails if it exceeds the budget with DefaultTuning.
func TestMain(m *testing.M) {
	code := m.Run()
	if costs, ok := measuredCosts(); ok && code == 0 {
		code = printReport(costs)
	}
	os.Exit(code)
}

// measuredCosts returns the unit costs that the benchmarks measured, or false if a
// benchmark did not run.
func measuredCosts() (UnitCosts, bool) {
	ok := true
	measurement := func(benchmark, unit string) float64 {
		value, found := measurements["Benchmark"+benchmark+" "+unit]
		ok = ok && found
		return value
	}
	const nano = 1e-9
	linkBytes := measurement("LinkMemory", "B/link")
	return UnitCosts{
		// Both ends of a link use about the same memory.
		EntryLinkBytes: linkBytes / 2, AgentLinkBytes: linkBytes / 2,
		IdleLinkCPU: measurement("IdleLink", "cpu-ns/s") * nano,
		PingCPU:     measurement("Ping", "cpu-ns/ping") * nano, PingWireBytes: measurement("Ping", "B/ping"),
		UnchangedListWireBytes: measurement("ListUnchanged", "B/read"), UnchangedListCPU: measurement("ListUnchanged", "cpu-ns/read") * nano,
		ChangedListWireBytes: measurement("ListChanged", "B/read"), ChangedListCPU: measurement("ListChanged", "cpu-ns/read") * nano,
		OwnInstanceWireBytes: measurement("OwnInstance", "B/read"), OwnInstanceCPU: measurement("OwnInstance", "cpu-ns/read") * nano,
		TargetsCPU:        measurement("Targets", "ns") * nano,
		OrganisationBytes: measurement("SettingsMemory", "B/organisation"),
		ChangeWireBytes:   measurement("SettingsChange", "B/change"), ChangeCPU: measurement("SettingsChange", "cpu-ns/change") * nano,
		ClaimCPU: measurement("Claim", "cpu-ns/claim") * nano, ClaimWireBytes: measurement("Claim", "B/claim"),
		ClaimKeyBytes:     measurement("KeyMemory", "B/key"),
		ShardWritesPerSec: busyShardWritesPerSecond,
		SuspectBytes:      measurement("Suspects", "B/mark"), SuspectWireBytes: measurement("Suspects", "wire-B/mark"),
	}, ok
}

// busyShardWritesPerSecond is the write rate of one shard that TestStoreCallsAtThePeak of
// package claim measures at 1,000 claims per second over 16 shards.
const busyShardWritesPerSecond = 14.0

// printReport prints the usage of the daemons and the store and returns the exit
// status: 1 if a daemon exceeds the budget.
func printReport(costs UnitCosts) int {
	tuning := DefaultTuning
	fmt.Printf("\n== control-plane overhead with default tuning (budget %.1f%% of a core, %.0f MB, %.0f B/s)\n", Budget.CPU*100, Budget.MemoryBytes/(1<<20), Budget.WireBytes)
	over := printDaemon("entry", EntryUsage(Target, tuning, costs))
	over = printDaemon("agent", AgentUsage(Target, tuning, costs)) || over
	printRow("in addition: "+WriterUsage(Target, tuning, costs).Name, WriterUsage(Target, tuning, costs).Usage)
	fmt.Println("store:")
	reads, writes := 0.0, 0.0
	for _, c := range StoreLoad(Target, tuning, costs) {
		fmt.Printf("  %-34s %8.1f reads/s %8.1f writes/s\n", c.Name, c.Reads, c.Writes)
		reads, writes = reads+c.Reads, writes+c.Writes
	}
	fmt.Printf("  %-34s %8.1f reads/s %8.1f writes/s\n", "total", reads, writes)
	if over {
		return 1
	}
	return 0
}

func printDaemon(name string, items []Item) (over bool) {
	fmt.Println(name + ":")
	for _, item := range items {
		printRow(item.Name, item.Usage)
	}
	total := Total(items)
	printRow("total", total)
	over = total.CPU > Budget.CPU || total.MemoryBytes > Budget.MemoryBytes || total.WireBytes > Budget.WireBytes
	if over {
		fmt.Println("  ABOVE THE BUDGET")
	}
	return over
}

func printRow(name string, u Usage) {
	fmt.Printf("  %-34s %8.3f %% %9.2f MB %10.0f B/s %8.2f store calls/s\n", name, u.CPU*100, u.MemoryBytes/(1<<20), u.WireBytes, u.StoreCalls)
}
