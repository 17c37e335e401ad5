package membership

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minEntriesPerAgent is the number of entries that should hold links to each agent,
	// so that the loss of one entry leaves no agent without work.
	minEntriesPerAgent = 2
	// minLoadFactor and maxLoadFactor bound the number of an agent's links, as multiples
	// of the mean.
	minLoadFactor = 0.75
	maxLoadFactor = 1.25
)

// Subset returns the agents that the entry self keeps links to, about size of them. They
// come from a stable matching between entries and agents under rendezvous weights, in two
// rounds: the first gives each agent up to minLoadFactor times the mean number of links,
// the second fills up to maxLoadFactor times the mean. The matching is unique, so all
// entries agree on it without communication, and an instance that is added or removed
// moves few links. If there are too few entries to reach every agent from
// minEntriesPerAgent entries with size links each, each entry takes more.
func Subset(self string, entries, agents []string, size int) []string {
	entries = withSelf(self, entries)
	k := linksPerEntry(len(entries), len(agents), size)
	if k >= len(agents) {
		return slices.Sorted(slices.Values(agents))
	}
	return match(entries, agents, k).agentsOf(self)
}

// match runs both rounds of the matching.
func match(entries, agents []string, links int) *matching {
	mean := float64(len(entries)*links) / float64(len(agents))
	m := newMatching(entries, agents)
	m.capacity = int(mean * minLoadFactor)
	m.runRound(links)
	m.commitRound()
	m.capacity = int(math.Ceil(mean*maxLoadFactor)) - m.capacity
	m.runRound(links)
	m.commitRound()
	return m
}

// withSelf returns the entries, sorted and with self among them.
func withSelf(self string, entries []string) []string {
	all := append(slices.Clone(entries), self)
	slices.Sort(all)
	return slices.Compact(all)
}

// linksPerEntry returns the number of links that each entry should hold.
func linksPerEntry(entries, agents, size int) int {
	minLinks := (minEntriesPerAgent*agents + entries - 1) / entries
	return min(agents, max(size, minLinks))
}

// Weight returns the rendezvous weight of the pair a, b.
func Weight(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// proposal is an entry's proposal to an agent.
type proposal struct {
	weight uint64
	entry  int
}

// proposalHeap is a heap whose first element is the weakest proposal.
type proposalHeap []proposal

func (h proposalHeap) Len() int           { return len(h) }
func (h proposalHeap) Less(i, j int) bool { return h[i].weight < h[j].weight }
func (h proposalHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *proposalHeap) Push(x any)        { *h = append(*h, x.(proposal)) }
func (h *proposalHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// preference is an agent and its weight in an entry's order of preference.
type preference struct {
	weight uint64
	agent  int
}

// matching computes a stable matching by deferred acceptance: entries propose to agents in
// their order of preference, and each agent keeps its strongest proposals up to capacity.
type matching struct {
	entries, agents []string
	// capacity is the number of proposals that an agent keeps in the current round.
	capacity int
	// preferences and nextPreference, the index of the next of them, are by entry.
	preferences    [][]preference
	nextPreference []int
	// proposals holds the proposals that each agent keeps.
	proposals []proposalHeap
	// matched holds the links of earlier rounds, by entry.
	matched []map[int]bool
}

func newMatching(entries, agents []string) *matching {
	m := &matching{
		entries:        entries,
		agents:         agents,
		preferences:    make([][]preference, len(entries)),
		nextPreference: make([]int, len(entries)),
		proposals:      make([]proposalHeap, len(agents)),
		matched:        make([]map[int]bool, len(entries)),
	}
	for i, e := range entries {
		m.preferences[i] = rankAgents(e, agents)
		m.matched[i] = make(map[int]bool)
	}
	return m
}

// rankAgents returns the agents in the entry's order of preference, strongest first.
func rankAgents(entry string, agents []string) []preference {
	out := make([]preference, len(agents))
	for i, a := range agents {
		out[i] = preference{weight: Weight(entry, a), agent: i}
	}
	slices.SortFunc(out, func(x, y preference) int { return cmp.Compare(y.weight, x.weight) })
	return out
}

// runRound runs one round, in which each entry proposes until it holds the given number of
// links, those of earlier rounds included.
func (m *matching) runRound(links int) {
	var pending []int
	for e := range m.entries {
		for range links - len(m.matched[e]) {
			pending = append(pending, e)
		}
	}
	for len(pending) > 0 {
		e := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if displaced, ok := m.propose(e); ok {
			pending = append(pending, displaced)
		}
	}
}

// commitRound makes the links of the current round final.
func (m *matching) commitRound() {
	for a, proposals := range m.proposals {
		for _, p := range proposals {
			m.matched[p.entry][a] = true
		}
	}
	clear(m.proposals)
	clear(m.nextPreference)
}

// propose makes entry e propose to agents, in its order of preference, until one accepts. It
// returns the entry whose proposal was displaced, if any.
func (m *matching) propose(e int) (displaced int, ok bool) {
	for m.nextPreference[e] < len(m.agents) {
		pref := m.preferences[e][m.nextPreference[e]]
		m.nextPreference[e]++
		if m.matched[e][pref.agent] {
			continue
		}
		proposals := &m.proposals[pref.agent]
		if len(*proposals) < m.capacity {
			heap.Push(proposals, proposal{weight: pref.weight, entry: e})
			return 0, false
		}
		if weakest := (*proposals)[0]; weakest.weight < pref.weight {
			(*proposals)[0] = proposal{weight: pref.weight, entry: e}
			heap.Fix(proposals, 0)
			return weakest.entry, true
		}
	}
	return 0, false
}

// agentsOf returns the sorted names of the agents that an entry is matched with.
func (m *matching) agentsOf(self string) []string {
	e, _ := slices.BinarySearch(m.entries, self)
	out := make([]string, 0, len(m.matched[e]))
	for a := range m.matched[e] {
		out = append(out, m.agents[a])
	}
	slices.Sort(out)
	return out
}
