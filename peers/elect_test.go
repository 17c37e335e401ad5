package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/jsonrpc2"
)

func candidate(name string, cpu float64, uptime time.Duration) Candidate {
	return Candidate{Identity: Identity{Name: name, CPU: cpu}, Uptime: uptime}
}

func TestElect(t *testing.T) {
	leaving := candidate("strong", 0.8, time.Minute)
	leaving.Leaving = true
	cases := []struct {
		name string
		list []Candidate
		want string
	}{
		{"alone", []Candidate{candidate("a", 0.1, 0)}, "a"},
		{"a strong entry", []Candidate{candidate("weak", 0.144, time.Minute), candidate("strong", 0.8, time.Minute)}, "strong"},
		{"not an entry that has just started", []Candidate{candidate("new", 0.8, time.Second), candidate("old", 0.3, time.Minute)}, "old"},
		{"not a leaving entry", []Candidate{leaving, candidate("weak", 0.1, time.Minute)}, "weak"},
		{"a new entry before a leaving one", []Candidate{leaving, candidate("new", 0.1, 0)}, "new"},
		{"not a restarted entry", []Candidate{candidate("e1", 0.3, 20*time.Second), candidate("e2", 0.3, time.Minute)}, "e2"},
		{"not a restarted entry, names swapped", []Candidate{candidate("e1", 0.3, time.Minute), candidate("e2", 0.3, 20*time.Second)}, "e1"},
		{"a leaving entry rather than none", []Candidate{leaving}, "strong"},
	}
	for _, c := range cases {
		if got := Elect(c.list); got != c.want {
			t.Errorf("%s: elected %s, want %s", c.name, got, c.want)
		}
	}
}

// Entries that started within a fraction of a second of each other elect one dispatcher and keep it:
// each change hands over all jobs.
func TestElectionDoesNotChangeWithTime(t *testing.T) {
	startedAfter := []time.Duration{0, 90 * time.Millisecond, 180 * time.Millisecond, 270 * time.Millisecond, 350 * time.Millisecond}
	elected := make(map[string]bool)
	for now := 400 * time.Millisecond; now < 10*time.Second; now += 50 * time.Millisecond {
		var list []Candidate
		for i, started := range startedAfter {
			list = append(list, candidate(fmt.Sprint("e", i), 0.3, now-started))
		}
		elected[Elect(list)] = true
	}
	if len(elected) != 1 {
		t.Errorf("elected %v in turn, want one entry", elected)
	}
}

// Entries that know the same candidates elect the same one, whatever their order.
func TestElectIgnoresOrder(t *testing.T) {
	var list []Candidate
	for i := range 9 {
		list = append(list, candidate(fmt.Sprint("e", i), 0.3, time.Minute))
	}
	want := Elect(list)
	for i := range list {
		rotated := append(append([]Candidate(nil), list[i:]...), list[:i]...)
		if got := Elect(rotated); got != want {
			t.Errorf("elected %s in one order and %s in another", got, want)
		}
	}
}

// Store readers are in different data centres as far as possible, and the choice is stable.
func TestStoreReadersAreSpread(t *testing.T) {
	cases := []struct {
		entries     map[string][]string
		want        int
		dataCentres int
	}{
		{map[string][]string{"a": {"1"}}, 1, 1},
		{map[string][]string{"a": {"1", "2", "3", "4"}}, 3, 1},
		{map[string][]string{"a": {"1", "2"}, "b": {"3", "4"}, "c": {"5"}, "d": {"6"}}, 3, 3},
		{map[string][]string{"a": {"1", "2"}, "b": {"3", "4"}}, 3, 2},
	}
	for _, c := range cases {
		var entries []Identity
		for dc, names := range c.entries {
			for _, name := range names {
				entries = append(entries, Identity{Name: name, DataCentre: dc})
			}
		}
		got := StoreReaders(entries)
		dataCentres := map[string]bool{}
		for _, name := range got {
			for dc, list := range c.entries {
				for _, n := range list {
					if n == name {
						dataCentres[dc] = true
					}
				}
			}
		}
		if len(got) != c.want || len(dataCentres) != c.dataCentres {
			t.Errorf("entries %v: store readers %v", c.entries, got)
		}
		if diff := cmp.Diff(got, StoreReaders(entries)); diff != "" {
			t.Error(diff)
		}
	}
}

// An entry that is not a store reader reads the store only while the store answers none of
// its peers.
func TestReadsStore(t *testing.T) {
	m := New(Options{Self: Identity{Name: "self", DataCentre: "dc0"}})
	entries := []Identity{m.o.Self}
	for i, name := range []string{"a", "b", "c", "d"} {
		m.links[name] = &peerLink{address: name, conn: &jsonrpc2.Conn{}, identity: Identity{Name: name, DataCentre: fmt.Sprint("dc", i)}}
		entries = append(entries, m.links[name].identity)
	}
	if slices.Contains(StoreReaders(entries), "self") {
		t.Fatal("the test needs an entry that is not a store reader")
	}
	if !m.ReadsStore() {
		t.Error("the store answers no peer, but this entry does not read it")
	}
	m.links["a"].lastStoreResponse = time.Now()
	if m.ReadsStore() {
		t.Error("the store answers a peer, but this entry reads it as well")
	}
	m.links["a"].lastStoreResponse = time.Now().Add(-2 * maxStoreAge)
	if !m.ReadsStore() {
		t.Error("the store has stopped answering the peers, but this entry does not read it")
	}
}

// What the readers learn leaves through their links, so weak entries, which have slow links, read the
// store only if there are too few others.
func TestStoreReadersAreStrong(t *testing.T) {
	for _, strong := range []int{0, 2, 3, 8} {
		var entries []Identity
		for i := range 20 {
			e := Identity{Name: fmt.Sprint("e-", i), DataCentre: fmt.Sprint("dc", i%4), CPU: 0.144}
			if i < strong {
				e.CPU = 0.8
			}
			entries = append(entries, e)
		}
		readers := StoreReaders(entries)
		if len(readers) != storeReaderCount {
			t.Errorf("%d strong entries: readers %v, want %d", strong, readers, storeReaderCount)
		}
		for _, e := range entries {
			if strong >= storeReaderCount && e.CPU < 0.8 && slices.Contains(readers, e.Name) {
				t.Errorf("%d strong entries: the weak entry %s reads the store", strong, e.Name)
			}
		}
	}
}
