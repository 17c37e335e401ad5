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

// For any sequence of requests, failures and changes of the engine list, the index of
// part holders must agree with the parts that each engine has cached, and an engine's
// cached tokens must be the sum of its parts.
func TestEngineIndexIsConsistent(t *testing.T) {
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
					d.Release(now, open[0], EngineReport{Failed: rapid.Bool().Draw(rt, "failed")})
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

// engineList returns n engines with an incarnation, in two data centres.
func engineList(n, incarnation int) []Engine {
	var list []Engine
	for _, e := range endpointsOf("llm", n, "a", "b") {
		e.Incarnation = int64(incarnation)
		list = append(list, Engine{Endpoint: e})
	}
	return list
}

// checkEngineIndex fails the test if the pool's indices disagree with its engines.
func checkEngineIndex(t *rapid.T, p *enginePool) {
	if !slices.IsSortedFunc(p.sortedEngines, func(a, b *engine) int { return strings.Compare(a.ID, b.ID) }) || len(p.sortedEngines) != len(p.engines) {
		t.Fatalf("%d of %d engines are listed, or out of order", len(p.sortedEngines), len(p.engines))
	}
	cachedParts := 0
	for _, e := range p.sortedEngines {
		if p.engines[e.ID] != e || p.dataCentres[e.dcIndex] != e.DataCentre {
			t.Fatalf("the list entry of %s is another engine or has another data centre", e.ID)
		}
		tokens := 0
		for _, key := range e.cached.parts.Keys() {
			n, _ := e.cached.parts.Peek(key)
			tokens += n
			cachedParts++
			if !p.holders[key][e] {
				t.Fatalf("%s has cached %x, which is not in the index", e.ID, key)
			}
		}
		if tokens != e.cached.tokens {
			t.Fatalf("the parts of %s have %d tokens, but %d are counted", e.ID, tokens, e.cached.tokens)
		}
	}
	for key, holders := range p.holders {
		cachedParts -= len(holders)
		if len(holders) == 0 {
			t.Fatalf("the index contains %x without holders", key)
		}
	}
	if cachedParts != 0 {
		t.Fatalf("the index has %d holders too many", -cachedParts)
	}
	for part, preferred := range p.preferredEngines {
		if p.engines[preferred.ID] != preferred {
			t.Fatalf("the preferred engine of %x is not in the pool", part)
		}
	}
}

// A prompt that requires a software version is booked at engines of that version only, whatever else speaks
// for the others, and the stages that precede it run near those.
func TestEngineHasRequiredVersion(t *testing.T) {
	list := engineList(4, 1) // in the data centres a, b, a, b
	for i := range list {
		list[i].Version = []string{"v1", "v2"}[i%2]
	}
	service := &catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 100_000}
	for _, c := range []struct {
		version string
		want    []string
		centre  string
	}{
		{"v1", []string{"llm-0", "llm-2"}, "a"},
		{"v2", []string{"llm-1", "llm-3"}, "b"},
		{"v3", []string{""}, ""},
		{"", []string{"llm-0", "llm-1", "llm-2", "llm-3"}, ""},
	} {
		d := New(Options{})
		d.SetService("portal", portalLimits)
		d.SetEndpoints("portal", endpointsOf("portal", 2, "a", "b"))
		d.SetEngines(service, list)
		for i := range 12 {
			j := Job{ID: fmt.Sprint("r", i), Target: epoch.Add(time.Second), Deadline: epoch.Add(8 * time.Second), Prompt: promptOf("llm", "shared", 8)}
			j.Prompt.Version = c.version
			d.Submit(epoch, j)
			for _, r := range d.TakeJobResults() {
				if !slices.Contains(c.want, r.Engine) {
					t.Errorf("version %q: engine %q, want one of %q", c.version, r.Engine, c.want)
				}
			}
		}
		if c.centre == "" {
			continue
		}
		staged := Job{
			ID: "staged", Target: epoch.Add(time.Second), Deadline: epoch.Add(8 * time.Second), Prompt: Prompt{Service: "llm", Version: c.version},
			Stages: []Stage{{Service: "portal", Tasks: 1, ResultBytes: 3e6}},
		}
		d.Submit(epoch, staged)
		if got := d.jobs["staged"].dataCentre; got != c.centre {
			t.Errorf("version %q: the stages run in data centre %q, want %q", c.version, got, c.centre)
		}
	}
}

// Stages that run again after an engine fell silent must be booked at an engine that has not had the request, whatever else
// speaks for the silent one: the request is not sent there again, and its results lie elsewhere.
func TestTriedEngineIsNotBookedAgain(t *testing.T) {
	list := engineList(3, 1)
	for _, c := range []struct{ tried, want []string }{
		{nil, []string{"llm-0", "llm-1", "llm-2"}},
		{[]string{"llm-0", "llm-2"}, []string{"llm-1"}},
		{[]string{"llm-0", "llm-1", "llm-2"}, []string{""}},
	} {
		d := New(Options{})
		d.SetEngines(&catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 100_000}, list)
		for i := range 12 {
			j := Job{ID: fmt.Sprint("r", i), Run: 1, Target: epoch.Add(time.Second), Deadline: epoch.Add(8 * time.Second), Prompt: promptOf("llm", "shared", 8)}
			j.Prompt.Tried = c.tried
			d.Submit(epoch, j)
			for _, r := range d.TakeJobResults() {
				if !slices.Contains(c.want, r.Engine) {
					t.Errorf("%q were tried: engine %q, want one of %q", c.tried, r.Engine, c.want)
				}
			}
		}
	}
}

// An engine fetches parts of a prompt only from engines of its own software version: the KV caches of two
// versions do not fit together.
func TestFetchStaysWithinVersion(t *testing.T) {
	for _, c := range []struct {
		versions [2]string
		fetches  bool
	}{
		{[2]string{"v1", "v1"}, true},
		{[2]string{"v1", "v2"}, false},
	} {
		d := New(Options{})
		list := engineList(2, 1)
		list[0].Version, list[1].Version = c.versions[0], c.versions[1]
		d.SetEngines(&catalog.Service{Name: "llm", Engine: true, KVCacheTokens: 100_000, TokenFetchTime: 2 * time.Microsecond}, list)
		fetched := false
		for i := range 10 { // all at once, so that the first engine becomes busy
			d.Submit(epoch, Job{ID: fmt.Sprint("r", i), Target: epoch.Add(time.Second), Deadline: epoch.Add(8 * time.Second), Prompt: promptOf("llm", fmt.Sprint(i), 8)})
			for _, r := range d.TakeJobResults() {
				fetched = fetched || r.FetchFrom != ""
			}
		}
		if fetched != c.fetches {
			t.Errorf("versions %v: fetched %t, want %t", c.versions, fetched, c.fetches)
		}
	}
}
