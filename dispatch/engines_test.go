package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/catalog"
)

// Whatever requests, failures and changes of the list come, who holds a part by
// the index is who holds it by the engines' own books, and an engine's memory in
// use is the sum of its parts.
func TestPartsAreIndexedAsTheyAreHeld(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := New(Options{})
		s := &catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 30_000, TokenFetchTime: time.Microsecond}
		now := epoch
		var open []string
		d.SetEngines(s, engineList(6, 0))
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				d.SetEngines(s, engineList(rapid.IntRange(0, 6).Draw(rt, "engines"), rapid.IntRange(0, 1).Draw(rt, "incarnation")))
			case 1:
				if len(open) > 0 {
					d.Release(now, open[0], rapid.Bool().Draw(rt, "failed"))
					open = open[1:]
				}
			default:
				id := fmt.Sprint("r", step)
				d.Submit(now, Job{ID: id, Target: now.Add(time.Second), Deadline: now.Add(8 * time.Second), Prompt: promptOf("llm", id, rapid.IntRange(0, 8).Draw(rt, "prompt"))})
				open = append(open, id)
			}
			d.Expire(now)
			checkEngineIndex(rt, d.enginePools["llm"])
		}
	})
}

func engineList(n, incarnation int) []Engine {
	var list []Engine
	for _, e := range endpointsOf("llm", n, "a", "b") {
		e.Incarnation = int64(incarnation)
		list = append(list, Engine{Endpoint: e})
	}
	return list
}

func checkEngineIndex(t *rapid.T, p *enginePool) {
	if !slices.IsSortedFunc(p.sortedEngines, func(a, b *engine) int { return strings.Compare(a.ID, b.ID) }) || len(p.sortedEngines) != len(p.engines) {
		t.Fatalf("%d engines listed of %d", len(p.sortedEngines), len(p.engines))
	}
	held := 0
	for _, e := range p.sortedEngines {
		if p.engines[e.ID] != e || p.dataCentres[e.dcIndex] != e.DataCentre {
			t.Fatalf("%s is listed for another", e.ID)
		}
		tokens := 0
		for id, part := range e.parts {
			tokens += part.tokens
			held++
			if !p.holders[id][e] {
				t.Fatalf("%s holds %s, which the index does not know", e.ID, id)
			}
		}
		if tokens != e.cachedTokens {
			t.Fatalf("%s holds %d tokens, the books say %d", e.ID, tokens, e.cachedTokens)
		}
	}
	for id, holders := range p.holders {
		held -= len(holders)
		if len(holders) == 0 {
			t.Fatalf("nobody holds %s, which the index keeps", id)
		}
	}
	if held != 0 {
		t.Fatalf("the index knows %d holders too many", -held)
	}
	for part, home := range p.preferredEngines {
		if p.engines[home.ID] != home {
			t.Fatalf("the home of %s is gone", part)
		}
	}
}
