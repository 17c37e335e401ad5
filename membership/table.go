// Package membership maintains an entry's view of the live agents. The platform's list
// of instances lags behind, so it only adds and prunes agents; the state of the links (up,
// leaving, suspected) corrects it immediately.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform"
)

// EntryPool is the pool under which the platform lists the entries. The listed entries
// spread their links to agents evenly.
const EntryPool = "entry"

// member is the state of one agent.
type member struct {
	instance       platform.Instance
	listed         bool
	linkUp         bool
	leavingUntil   time.Time
	suspectedUntil time.Time
}

// Table merges the platform's list with the state of the links. It is safe for concurrent
// use.
type Table struct {
	mu      sync.Mutex
	members map[string]*member
	entries []platform.Instance
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: make(map[string]*member)} }

// Update applies a list from the platform. An instance that is missing from the list is
// kept while a link to it is up, so that an empty or stale list interrupts no work.
func (t *Table) Update(list []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		m.listed = false
	}
	t.entries = t.entries[:0]
	for _, in := range list {
		t.upsert(in)
	}
	for name, m := range t.members {
		if !m.listed && !m.linkUp {
			delete(t.members, name)
		}
	}
}

// upsert adds or updates a listed instance. An agent with a new address starts with a clean
// state.
func (t *Table) upsert(in platform.Instance) {
	if in.Pool == EntryPool {
		if in.State == platform.Live {
			t.entries = append(t.entries, in)
		}
		return
	}
	m := t.members[in.Name]
	if m == nil || m.instance.AgentAddress != in.AgentAddress {
		m = &member{}
		t.members[in.Name] = m
	}
	m.instance = in
	m.listed = true
}

// LinkUp records that the link to the agent is up, and clears a suspicion of the agent.
func (t *Table) LinkUp(name string) {
	t.modify(name, func(m *member) { m.linkUp, m.suspectedUntil = true, time.Time{} })
}

// LinkDown records that the link to the agent is lost, and suspects the agent until the
// given time.
func (t *Table) LinkDown(name string, until time.Time) {
	t.modify(name, func(m *member) { m.linkUp, m.suspectedUntil = false, until })
}

// SetLeaving records that the agent has announced its shutdown. The record expires at
// until, because an agent of the same name may replace it while the list lags behind.
func (t *Table) SetLeaving(name string, until time.Time) {
	t.modify(name, func(m *member) { m.leavingUntil = until })
}

// modify applies a change to the agent if it is in the table.
func (t *Table) modify(name string, change func(*member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil {
		change(m)
	}
}

// Live returns the agents to hold links to, ordered by name. It leaves out agents that
// are leaving according to themselves or to the list. Suspected agents are included, so
// that their links are dialled again.
func (t *Table) Live(now time.Time) []platform.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Instance
	for _, m := range t.members {
		if now.Before(m.leavingUntil) || m.instance.State == platform.Leaving {
			continue
		}
		out = append(out, m.instance)
	}
	slices.SortFunc(out, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Suspected reports whether the agent lost its link recently.
func (t *Table) Suspected(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[name]
	return m != nil && now.Before(m.suspectedUntil)
}

// Entries returns the names of the listed entries in the selected data centres.
func (t *Table) Entries(selected func(dataCentre string) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, e := range t.entries {
		if selected(e.DataCentre) {
			out = append(out, e.Name)
		}
	}
	return out
}

// Group identifies the agents of one pool in one data centre.
type Group struct{ Pool, DataCentre string }

// TargetOptions configures the choice of the agents that an entry links to.
type TargetOptions struct {
	Self       string
	DataCentre string
	// InRegion reports whether a data centre is in the entry's region, which includes
	// DataCentre.
	InRegion func(dataCentre string) bool
	// LocalSize is the number of agents to link to in each pool of the entry's own data
	// centre, and RemoteSize in each pool of each other data centre.
	LocalSize  int
	RemoteSize int
}

// Targets returns the agents that an entry keeps links to, ordered by name: a subset of
// every pool in every data centre of the region. For a pool without a live agent in the
// region it selects agents of other regions. The links to the agents of a data centre
// are spread evenly over its entries, and separately over the other entries of the region.
func (t *Table) Targets(now time.Time, o TargetOptions) []platform.Instance {
	local := t.Entries(func(dc string) bool { return dc == o.DataCentre })
	groups := make(map[Group][]string)
	byName := make(map[string]platform.Instance)
	for _, in := range preferRegional(t.Live(now), o.InRegion) {
		g := Group{Pool: in.Pool, DataCentre: in.DataCentre}
		groups[g] = append(groups[g], in.Name)
		byName[in.Name] = in
	}
	var out []platform.Instance
	for g, agents := range groups {
		entries, size := local, o.LocalSize
		if g.DataCentre != o.DataCentre {
			entries = t.Entries(func(dc string) bool { return o.InRegion(dc) && dc != g.DataCentre })
			size = o.RemoteSize
		}
		for _, name := range Subset(o.Self, entries, agents, size) {
			out = append(out, byName[name])
		}
	}
	slices.SortFunc(out, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// preferRegional drops the agents outside the region of each pool that has agents in it.
func preferRegional(live []platform.Instance, inRegion func(dataCentre string) bool) []platform.Instance {
	hasRegional := make(map[string]bool)
	for _, in := range live {
		if inRegion(in.DataCentre) {
			hasRegional[in.Pool] = true
		}
	}
	return slices.DeleteFunc(live, func(in platform.Instance) bool {
		return hasRegional[in.Pool] && !inRegion(in.DataCentre)
	})
}
