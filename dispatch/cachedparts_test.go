package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurelead/azurelead/catalog"
)

// Clients choose the parts of a prompt, and state more of them, and more tokens, than are to be tracked.
func TestBoundedPrompt(t *testing.T) {
	many := make([]Part, 1000)
	for i := range many {
		many[i] = Part{ID: fmt.Sprint(i), Tokens: 1}
	}
	bounded := append(append([]Part{}, many[:MaxParts-1]...), Part{ID: "999", Tokens: 1000 - MaxParts + 1})
	for _, c := range []struct {
		name   string
		tokens int
		parts  []Part
		want   []Part
	}{
		{"none", 9, nil, nil},
		{"ordinary", 9000, []Part{{"a", 6000}, {"b", 2000}, {"c", 1000}}, []Part{{"a", 6000}, {"b", 2000}, {"c", 1000}}},
		{"very many", 1000, many, bounded},
		{"without tokens", 100, []Part{{"a", 0}, {"b", 90}, {"c", 0}, {"d", 10}}, []Part{{"b", 90}, {"d", 10}}},
		{"more tokens than the prompt", 100, []Part{{"a", math.MaxInt32}, {"b", 50}, {"c", 50}}, []Part{{"a", 100}, {"c", 0}}},
		{"no length", 0, []Part{{"a", 50}, {"b", 50}}, []Part{{"b", 0}}},
	} {
		if diff := cmp.Diff(c.want, Prompt{Tokens: c.tokens, Parts: c.parts}.Bounded().Parts); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// Prompts of one client made what is tracked of the engines' caches grow without a bound.
func TestTrackedPartsAreBounded(t *testing.T) {
	d := New(Options{})
	d.SetEngines(&catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 1 << 40}, engineList(3, 0))
	now := epoch
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint("r", i)
		var parts []Part
		for k := range MaxParts {
			parts = append(parts, Part{ID: fmt.Sprint(i, "-", k), Tokens: 1})
		}
		d.Submit(now, Job{ID: id, Target: now.Add(time.Second), Deadline: now.Add(8 * time.Second), Prompt: Prompt{Service: "llm", Tokens: MaxParts, Parts: parts}})
		d.Release(now, id, EngineReport{})
		d.TakeJobResults()
	}
	p := d.enginePools["llm"]
	for _, e := range p.engines {
		if n := e.cached.parts.Len(); n > maxEngineParts {
			t.Errorf("%d parts of %s are tracked, limit %d", n, e.ID, maxEngineParts)
		}
	}
	if n := len(p.holders); n > 3*maxEngineParts {
		t.Errorf("the index has %d parts, limit %d", n, 3*maxEngineParts)
	}
	if n := p.recent.lastRead.Len(); n > maxRecentParts {
		t.Errorf("%d parts were read recently, limit %d", n, maxRecentParts)
	}
	d.Expire(now.Add(recentPrefillWindow))
	if n := p.recent.lastRead.Len(); n > 0 {
		t.Errorf("%d parts are kept after their time", n)
	}
}
