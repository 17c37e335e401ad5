package membership

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minEntriesPerAgent is how many entries should hold links to each agent,
	// so that the loss of one entry leaves no agent without work.
	minEntriesPerAgent = 2
	// minLoadFactor and loadSlack bound an agent's links to these multiples of the mean.
	minLoadFactor = 0.75
	maxLoadFactor = 1.25
)

// Subset returns the agents that the entry self keeps links to, about size of
// them. It is the stable matching between entries and agents under rendezvous
// weights, made in two rounds: the first gives each agent loadFloor times the
// mean, the second fills up to loadSlack times the mean. The matching is unique,
// so every entry computes it alone and all agree, and one instance that comes
// or goes moves few links. Where there are too few entries
// to reach every agent with size links each, an entry takes more.
func Subset(self string, entries, agents []string, size int) []string {
	entries = withSelf(self, entries)
	k := linksPerEntry(len(entries), len(agents), size)
	if k >= len(agents) {
		return slices.Sorted(slices.Values(agents))
	}
	return match(entries, agents, k).agentsOf(self)
}

// match runs both rounds.
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

func withSelf(self string, entries []string) []string {
	all := append(slices.Clone(entries), self)
	slices.Sort(all)
	return slices.Compact(all)
}

func linksPerEntry(entries, agents, size int) int {
	reach := (minEntriesPerAgent*agents + entries - 1) / entries
	return min(agents, max(size, reach))
}

// Weight is the rendezvous weight of the pair a, b.
func Weight(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// proposal is one entry's proposal at an agent.
type proposal struct {
	weight uint64
	entry  int
}

// proposalHeap is a heap whose first element is the weakest bid.
type proposalHeap []proposal

func (b proposalHeap) Len() int           { return len(b) }
func (b proposalHeap) Less(i, j int) bool { return b[i].weight < b[j].weight }
func (b proposalHeap) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *proposalHeap) Push(x any)        { *b = append(*b, x.(proposal)) }
func (b *proposalHeap) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	return last
}

// preference is an agent in an entry's order of preference.
type preference struct {
	weight uint64
	agent  int
}

// matching runs deferred acceptance: entries propose in their order of
// preference, and agents keep their strongest bids up to the bound.
type matching struct {
	entries, agents []string
	capacity        int
	preferences     [][]preference
	nextPreference  []int
	proposals       []proposalHeap
	// matched are the links of earlier rounds, by entry.
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
		m.preferences[i] = preferences(e, agents)
		m.matched[i] = make(map[int]bool)
	}
	return m
}

func preferences(entry string, agents []string) []preference {
	out := make([]preference, len(agents))
	for i, a := range agents {
		out[i] = preference{weight: Weight(entry, a), agent: i}
	}
	slices.SortFunc(out, func(x, y preference) int { return cmp.Compare(y.weight, x.weight) })
	return out
}

// runRound runs one round in which each entry strives for links in all.
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

// commitRound makes the round's links final.
func (m *matching) commitRound() {
	for a, taken := range m.proposals {
		for _, b := range taken {
			m.matched[b.entry][a] = true
		}
	}
	clear(m.proposals)
	clear(m.nextPreference)
}

// propose gives entry e its next possible agent and returns the entry that
// lost its place to it, if any.
func (m *matching) propose(e int) (displaced int, ok bool) {
	for m.nextPreference[e] < len(m.agents) {
		w := m.preferences[e][m.nextPreference[e]]
		m.nextPreference[e]++
		if m.matched[e][w.agent] {
			continue
		}
		taken := &m.proposals[w.agent]
		if len(*taken) < m.capacity {
			heap.Push(taken, proposal{weight: w.weight, entry: e})
			return 0, false
		}
		if weakest := (*taken)[0]; weakest.weight < w.weight {
			(*taken)[0] = proposal{weight: w.weight, entry: e}
			heap.Fix(taken, 0)
			return weakest.entry, true
		}
	}
	return 0, false
}

func (m *matching) agentsOf(self string) []string {
	e, _ := slices.BinarySearch(m.entries, self)
	out := make([]string, 0, len(m.matched[e]))
	for a := range m.matched[e] {
		out = append(out, m.agents[a])
	}
	slices.Sort(out)
	return out
}
