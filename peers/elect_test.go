package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/jsonrpc2"
)

func contender(name string, cpu float64, uptime time.Duration) Candidate {
	return Candidate{Identity: Identity{Name: name, CPU: cpu}, Uptime: uptime}
}

func TestElect(t *testing.T) {
	leaving := contender("strong", 0.8, time.Minute)
	leaving.Leaving = true
	cases := []struct {
		name string
		list []Candidate
		want string
	}{
		{"alone", []Candidate{contender("a", 0.1, 0)}, "a"},
		{"the strong one", []Candidate{contender("weak", 0.144, time.Minute), contender("strong", 0.8, time.Minute)}, "strong"},
		{"not one that just started", []Candidate{contender("new", 0.8, time.Second), contender("old", 0.3, time.Minute)}, "old"},
		{"not one that leaves", []Candidate{leaving, contender("weak", 0.1, time.Minute)}, "weak"},
		{"a new one before one that leaves", []Candidate{leaving, contender("new", 0.1, 0)}, "new"},
		{"not one that started anew", []Candidate{contender("e1", 0.3, 20*time.Second), contender("e2", 0.3, time.Minute)}, "e2"},
		{"nor the other way round", []Candidate{contender("e1", 0.3, time.Minute), contender("e2", 0.3, 20*time.Second)}, "e1"},
		{"one that leaves before none", []Candidate{leaving}, "strong"},
	}
	for _, c := range cases {
		if got := Elect(c.list); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Everyone who sees the same entries elects the same one, in whatever order.
func TestElectIsOrderless(t *testing.T) {
	var list []Candidate
	for i := range 9 {
		list = append(list, contender(fmt.Sprint("e", i), 0.3, time.Minute))
	}
	want := Elect(list)
	for i := range list {
		turned := append(append([]Candidate(nil), list[i:]...), list[:i]...)
		if got := Elect(turned); got != want {
			t.Errorf("%s and %s", got, want)
		}
	}
}

func TestLeadersAreSpread(t *testing.T) {
	cases := []struct {
		entries map[string][]string
		want    int
		spread  int
	}{
		{map[string][]string{"a": {"1"}}, 1, 1},
		{map[string][]string{"a": {"1", "2", "3", "4"}}, 3, 1},
		{map[string][]string{"a": {"1", "2"}, "b": {"3", "4"}, "c": {"5"}, "d": {"6"}}, 3, 3},
		{map[string][]string{"a": {"1", "2"}, "b": {"3", "4"}}, 3, 2},
	}
	for _, c := range cases {
		got := StoreReaders(c.entries)
		spread := map[string]bool{}
		for _, name := range got {
			for dc, list := range c.entries {
				for _, n := range list {
					if n == name {
						spread[dc] = true
					}
				}
			}
		}
		if len(got) != c.want || len(spread) != c.spread {
			t.Errorf("%v: %v", c.entries, got)
		}
		if diff := cmp.Diff(got, StoreReaders(c.entries)); diff != "" {
			t.Error(diff)
		}
	}
}

// An entry leaves the store to the leaders as long as one of them hears it.
func TestWhoAsksTheStore(t *testing.T) {
	m := New(Options{Self: Identity{Name: "self", DataCentre: "dc0"}})
	for i, name := range []string{"a", "b", "c", "d"} {
		m.links[name] = &peerLink{address: name, conn: &jsonrpc2.Conn{}, identity: Identity{Name: name, DataCentre: fmt.Sprint("dc", i)}}
	}
	dataCentres := map[string][]string{"dc0": {"self", "a"}, "dc1": {"b"}, "dc2": {"c"}, "dc3": {"d"}}
	if slices.Contains(StoreReaders(dataCentres), "self") {
		t.Fatal("the test needs an entry that is no leader")
	}
	if !m.ReadsStore() {
		t.Error("nobody hears the store, and this entry does not ask it")
	}
	m.links["a"].lastStoreResponse = time.Now()
	if m.ReadsStore() {
		t.Error("another entry hears the store, and this one asks it too")
	}
	m.links["a"].lastStoreResponse = time.Now().Add(-2 * maxStoreAge)
	if !m.ReadsStore() {
		t.Error("the others hear the store no more, and this entry does not ask it")
	}
}
