// Package membership keeps an entry's view of the live agents. The platform's
// list of instances lags, so what links say at once (up, leaving, suspected)
// corrects it; the list only seeds and prunes.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform"
)

// EntryPool is the pool under which the platform lists entries themselves.
// Entries that are listed share out their links to agents evenly.
const EntryPool = "entry"

// member is what the table knows of one agent.
type member struct {
	instance       platform.Instance
	listed         bool
	linkUp         bool
	leavingUntil   time.Time
	suspectedUntil time.Time
}

// Table merges the platform's list with what links say. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	members map[string]*member
	entries []platform.Instance
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: make(map[string]*member)} }

// Update takes a list from the platform. An instance that is missing from the
// list stays while a link to it is up: an empty or stale list cuts no work.
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

// LinkUp records a link to the agent, which clears its suspicion.
func (t *Table) LinkUp(name string) {
	t.modify(name, func(m *member) { m.linkUp, m.suspectedUntil = true, time.Time{} })
}

// LinkDown records the loss of the link to the agent and suspects it until then.
func (t *Table) LinkDown(name string, until time.Time) {
	t.modify(name, func(m *member) { m.linkUp, m.suspectedUntil = false, until })
}

// SetLeaving records that the agent said that it leaves. The mark ends at until,
// because an agent of the same name may take its place while the list lags.
func (t *Table) SetLeaving(name string, until time.Time) {
	t.modify(name, func(m *member) { m.leavingUntil = until })
}

func (t *Table) modify(name string, change func(*member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil {
		change(m)
	}
}

// Live returns the agents to hold links to, ordered by name. Agents that only
// the list calls leaving are out too; suspected ones stay, so that their links
// are tried again.
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

// Entries returns the names of the listed entries in the data centres that in
// selects.
func (t *Table) Entries(in func(dataCentre string) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, e := range t.entries {
		if in(e.DataCentre) {
			out = append(out, e.Name)
		}
	}
	return out
}

// Group is the agents of one pool in one data centre.
type Group struct{ Pool, DataCentre string }

// TargetOptions is what an entry links to.
type TargetOptions struct {
	Self       string
	DataCentre string
	// InRegion selects the data centres of the entry's region, its own included.
	InRegion func(dataCentre string) bool
	// LocalSize is how many agents of each pool in the own data centre, FarSize in
	// each other one.
	LocalSize  int
	RemoteSize int
}

// Targets returns the agents that an entry keeps links to: a subset for every
// pool in every data centre of the region. A pool without a live agent there is
// reached elsewhere. The entries of a data centre share its agents evenly among
// themselves, and so do all others of the region.
func (t *Table) Targets(now time.Time, r TargetOptions) []platform.Instance {
	local := t.Entries(func(dc string) bool { return dc == r.DataCentre })
	groups := make(map[Group][]string)
	byName := make(map[string]platform.Instance)
	for _, in := range preferRegional(t.Live(now), r.InRegion) {
		g := Group{Pool: in.Pool, DataCentre: in.DataCentre}
		groups[g] = append(groups[g], in.Name)
		byName[in.Name] = in
	}
	var out []platform.Instance
	for g, agents := range groups {
		entries, size := local, r.LocalSize
		if g.DataCentre != r.DataCentre {
			entries = t.Entries(func(dc string) bool { return r.InRegion(dc) && dc != g.DataCentre })
			size = r.RemoteSize
		}
		for _, name := range Subset(r.Self, entries, agents, size) {
			out = append(out, byName[name])
		}
	}
	slices.SortFunc(out, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// preferRegional drops the far agents of each pool that has near ones.
func preferRegional(live []platform.Instance, near func(dataCentre string) bool) []platform.Instance {
	hasNear := make(map[string]bool)
	for _, in := range live {
		if near(in.DataCentre) {
			hasNear[in.Pool] = true
		}
	}
	return slices.DeleteFunc(live, func(in platform.Instance) bool {
		return hasNear[in.Pool] && !near(in.DataCentre)
	})
}
