package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/roster"
)

func candidates(n int) []roster.Candidate {
	var out []roster.Candidate
	for i := range n {
		out = append(out, roster.Candidate{Endpoint: catalog.Endpoint{ID: fmt.Sprintf("e%d", i), DataCentre: "a", Slots: 6}})
	}
	return out
}

func TestByPrefixKeepsToOneEndpoint(t *testing.T) {
	list := candidates(5)
	home := ByPrefix("key", list)[0].ID
	if again := ByPrefix("key", list[1:])[0].ID; home != "e0" && again != home {
		t.Errorf("home moved from %s to %s when another endpoint left", home, again)
	}
	for i := range list {
		if list[i].ID == home {
			list[i].Load = 40
		}
	}
	if got := ByPrefix("key", list); got[0].ID == home || got[len(got)-1].ID != home {
		t.Error("the overloaded home still comes first")
	}
}

func TestByLoad(t *testing.T) {
	cases := []struct {
		name   string
		change func(c []roster.Candidate)
		want   string
	}{
		{"busy", func(c []roster.Candidate) { c[0].Load, c[1].Load = 6, 6 }, "e2"},
		{"failing", func(c []roster.Candidate) { c[1].FailureRate, c[2].FailureRate = 0.4, 0.4 }, "e0"},
		{"slow", func(c []roster.Candidate) { c[0].Latency, c[2].Latency = time.Second, time.Second }, "e1"},
		{"far", func(c []roster.Candidate) { c[0].DataCentre, c[1].DataCentre = "b", "b" }, "e2"},
	}
	for _, c := range cases {
		list := candidates(3)
		c.change(list)
		for seed := range 20 {
			if got := ByLoad("a", list, fmt.Sprint(seed))[0].ID; got != c.want {
				t.Errorf("%s: %s, want %s", c.name, got, c.want)
			}
		}
	}
	used := map[string]bool{}
	for seed := range 50 {
		used[ByLoad("a", candidates(3), fmt.Sprint(seed))[0].ID] = true
	}
	if len(used) != 3 {
		t.Errorf("equal endpoints: only %v are used", used)
	}
}
