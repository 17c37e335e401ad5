package placement

import (
	"fmt"
	"slices"
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

// A prompt must stay with its endpoint when another endpoint is removed, and must
// move away when that endpoint is overloaded.
func TestByPrefixKeepsToOneEndpoint(t *testing.T) {
	list := candidates(5)
	preferred := ByPrefix("key", list)[0].ID
	if next := ByPrefix("key", list[1:])[0].ID; preferred != "e0" && next != preferred {
		t.Errorf("preferred endpoint changed from %s to %s when another endpoint was removed", preferred, next)
	}
	for i := range list {
		if list[i].ID == preferred {
			list[i].Load = 40
		}
	}
	if got := ByPrefix("key", list); got[0].ID == preferred || got[len(got)-1].ID != preferred {
		t.Error("overloaded endpoint is not ranked last")
	}
}

// Busy, failing, slow and remote endpoints are avoided, and requests are spread
// over equal ones.
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
				t.Errorf("%s: %s is ranked first, want %s", c.name, got, c.want)
			}
		}
	}
	used := map[string]bool{}
	for seed := range 50 {
		used[ByLoad("a", candidates(3), fmt.Sprint(seed))[0].ID] = true
	}
	if len(used) != 3 {
		t.Errorf("requests reached only %v of 3 equal endpoints", used)
	}
}

func TestSoundLeavesOutFailingCandidates(t *testing.T) {
	for _, c := range []struct {
		name  string
		rates []float64
		want  []string
	}{
		{"none fails", []float64{0, 0.1}, []string{"e0", "e1"}},
		{"one fails often", []float64{0.5, 0.1}, []string{"e1"}},
		{"all fail often", []float64{0.5, unsoundFailureRate}, []string{"e0", "e1"}},
		{"no candidates", nil, nil},
	} {
		list := candidates(len(c.rates))
		for i := range list {
			list[i].FailureRate = c.rates[i]
		}
		var got []string
		for _, s := range Sound(list) {
			got = append(got, s.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
