package membership

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/platform"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	m.Run()
}

// names returns n names with the prefix.
func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

// linkCounts returns the lowest and the highest number of links of an agent, and the highest
// number of links of an entry.
func linkCounts(entries, agents []string, size int) (low, high, perEntry int) {
	count := make(map[string]int)
	for _, e := range entries {
		s := Subset(e, entries, agents, size)
		perEntry = max(perEntry, len(s))
		for _, a := range s {
			count[a]++
		}
	}
	low = len(entries)
	for _, a := range agents {
		low, high = min(low, count[a]), max(high, count[a])
	}
	return low, high, perEntry
}

// The numbers of links of agents and entries stay within their bounds.
func TestSubsetSizesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := names("entry-", rapid.IntRange(1, 12).Draw(t, "entries"))
		agents := names("agent-", rapid.IntRange(2, 30).Draw(t, "agents"))
		size := rapid.IntRange(1, 6).Draw(t, "size")
		k := linksPerEntry(len(entries), len(agents), size)
		low, high, perEntry := linkCounts(entries, agents, size)
		if floor := int(float64(len(entries)*k) / float64(len(agents)) * minLoadFactor); low < floor-1 {
			t.Fatalf("an agent has %d links, want at least %d", low, floor)
		}
		bound := int(float64(len(entries)*k)/float64(len(agents))*maxLoadFactor) + 1
		if k < len(agents) && high > bound {
			t.Fatalf("an agent has %d links, want at most %d", high, bound)
		}
		if perEntry > k {
			t.Fatalf("an entry has %d links, want at most %d", perEntry, k)
		}
	})
}

// When an agent leaves, its own links move to other agents, and few others do.
func TestSubsetMovesFewLinksWhenAnAgentLeaves(t *testing.T) {
	entries, agents := names("entry-", 40), names("agent-", 100)
	remaining := agents[1:]
	moved := 0
	for _, e := range entries {
		before := Subset(e, entries, agents, 8)
		for _, a := range Subset(e, entries, remaining, 8) {
			if !slices.Contains(before, a) {
				moved++
			}
		}
	}
	meanLinks := 40 * 8 / 100
	if limit := 10 * meanLinks; moved > limit {
		t.Fatalf("%d links moved after an agent with about %d links left, want at most %d", moved, meanLinks, limit)
	}
}

// An entry links to the agents of its region, and to other agents only for pools that have
// none there. An instance that is missing from the list keeps a link that is up.
func TestTargetsStayInTheRegion(t *testing.T) {
	table := NewTable()
	list := []platform.Instance{
		{Name: "a", Pool: "engines", DataCentre: "north"},
		{Name: "b", Pool: "engines", DataCentre: "far"},
		{Name: "c", Pool: "stock", DataCentre: "far"},
	}
	table.Update(list)
	table.LinkUp("a")
	table.Update(list[1:])
	near := func(dataCentre string) bool { return dataCentre == "north" }
	targets := func() (names string) {
		for _, in := range table.Targets(time.Now(), TargetOptions{Self: "entry", DataCentre: "north", InRegion: near, LocalSize: 4, RemoteSize: 1}) {
			names += in.Name
		}
		return names
	}
	if got := targets(); got != "ac" {
		t.Errorf("targets are %q, want a and c", got)
	}
	table.LinkDown("a", time.Now())
	table.Update(list[1:])
	if got := targets(); got != "bc" {
		t.Errorf("targets are %q after a was lost, want b and c", got)
	}
}

// TestRegionSharesItsAgents computes the links of all entries of one region at the size that
// the system is designed for. Every agent has links from at least two entries of its own
// data centre and from two others, and no entry has more than 150 links.
func TestRegionSharesItsAgents(t *testing.T) {
	table := NewTable()
	var list []platform.Instance
	for dc := range 4 {
		name := fmt.Sprint("dc", dc)
		for i := range 61 {
			list = append(list, platform.Instance{Name: fmt.Sprint(name, "-agent", i), Pool: fmt.Sprint("pool", i%15), DataCentre: name, State: platform.Live})
		}
		for i := range 21 {
			list = append(list, platform.Instance{Name: fmt.Sprint(name, "-entry", i), Pool: EntryPool, DataCentre: name, State: platform.Live})
		}
	}
	table.Update(list)
	type origin struct {
		agent string
		local bool
	}
	links := map[origin]int{}
	for _, e := range list {
		if e.Pool != EntryPool {
			continue
		}
		targets := table.Targets(time.Now(), TargetOptions{
			Self: e.Name, DataCentre: e.DataCentre, InRegion: func(string) bool { return true }, LocalSize: 4, RemoteSize: 1,
		})
		if len(targets) > 150 {
			t.Fatalf("%s has %d links", e.Name, len(targets))
		}
		for _, in := range targets {
			links[origin{in.Name, in.DataCentre == e.DataCentre}]++
		}
	}
	for _, a := range list {
		if a.Pool == EntryPool {
			continue
		}
		if near, far := links[origin{a.Name, true}], links[origin{a.Name, false}]; near < 2 || far < 2 {
			t.Errorf("%s has links from %d entries of its own data centre and %d others, want at least 2 of each", a.Name, near, far)
		}
	}
}

// BenchmarkSubsetAtTarget measures Subset, and the lowest and the highest number of links of
// an agent, at the size that the system is designed for.
func BenchmarkSubsetAtTarget(b *testing.B) {
	entries, agents := names("entry-", 380), names("agent-", 1100)
	for b.Loop() {
		Subset(entries[0], entries, agents, 16)
	}
	m := match(withSelf(entries[0], entries), agents, linksPerEntry(380, 1100, 16))
	count := make([]int, len(agents))
	for _, links := range m.matched {
		for a := range links {
			count[a]++
		}
	}
	b.ReportMetric(float64(slices.Min(count)), "links-min")
	b.ReportMetric(float64(slices.Max(count)), "links-max")
}
