package entry

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// No stage gets more than the time left, later stages keep their median where there is
// enough time, and only requests that cannot finish are infeasible.
func TestSplitDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.IntRange(0, 4000)
		left := time.Duration(ms.Draw(t, "left")) * time.Millisecond
		var stages []StageTimes
		var fast, median time.Duration
		for range rapid.IntRange(1, 6).Draw(t, "stages") {
			s := StageTimes{Fast: time.Duration(ms.Draw(t, "fast")) * time.Millisecond}
			s.Median = s.Fast + time.Duration(ms.Draw(t, "more"))*time.Millisecond
			stages = append(stages, s)
			fast, median = fast+s.Fast, median+s.Median
		}
		p := SplitDeadline(left, stages)
		if p.Feasible != (left > 0 && fast <= left) {
			t.Fatalf("feasible %t with %s left, the stages need %s", p.Feasible, left, fast)
		}
		if p.Budget > left || p.Budget < 0 {
			t.Fatalf("budget %s of %s", p.Budget, left)
		}
		if laterMedians := median - stages[0].Median; median <= left && left-p.Budget > laterMedians {
			t.Fatalf("budget %s leaves the later stages more than %s of %s", p.Budget, laterMedians, left)
		}
	})
}

// The burst of a large organisation uses the spare capacity, but never prevents a small one
// below its share from starting requests.
func TestFairSharesProtectSmallOrganisations(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewFairShares()
	for range 40 {
		s.TryAcquire(now, "large", 1)
	}
	s.OnOverload(now) // capacity 38
	for range 2 {
		s.Release("large")
	}
	if s.TryAcquire(now, "large", 1) {
		t.Error("the large organisation started a request above the capacity")
	}
	admitted := 0
	for range 30 {
		if s.TryAcquire(now, "small", 1) {
			admitted++
		}
	}
	if admitted != 19 {
		t.Errorf("the small organisation started %d requests, want 19", admitted)
	}
	if s.TryAcquire(now, "large", 1) {
		t.Error("the large organisation started a request above its share")
	}
}

// Calls with the same digest go to the same home endpoint from every entry, until the queue
// there costs more than the cached prefix saves.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	free := link.Load{Limit: 4, ServiceUS: 100_000}
	candidates := []Candidate{{Name: "a", Load: free}, {Name: "b", Load: free}, {Name: "c", Load: free}}
	q := Query{Affinity: "digest"}
	home := NewFinishTime().Choose(q, candidates)
	for range 50 {
		if got := NewFinishTime().Choose(q, candidates); got != home {
			t.Fatalf("chose candidate %d, want home %d", got, home)
		}
	}
	candidates[home].Load.InFlight = 8
	for range 50 {
		if got := NewFinishTime().Choose(q, candidates); got == home {
			t.Fatal("chose the home endpoint although its queue costs more than the cached prefix saves")
		}
	}
}

// An endpoint that was slow is tried again after some idle time.
func TestSlowEndpointIsTriedAgain(t *testing.T) {
	slow, fast := link.Load{Limit: 4, ServiceUS: 50_000}, link.Load{Limit: 4, ServiceUS: 1000}
	candidates := []Candidate{{Name: "slow", Load: slow}, {Name: "fast", Load: fast}, {Name: "new", IdleTime: time.Hour}}
	for idle, want := range map[time.Duration]int{0: 1, serviceTimeDecay: 0} {
		candidates[0].IdleTime = idle
		if got := NewFinishTime().Choose(Query{}, candidates[:2]); got != want {
			t.Errorf("idle for %s: chose %s", idle, candidates[got].Name)
		}
	}
	if got := NewFinishTime().Choose(Query{}, candidates[1:]); got != 1 {
		t.Error("the unused endpoint was not chosen")
	}
}

// An estimate follows the recorded durations and drops old samples.
func TestLatencyEstimatorDropsOldSamples(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLatencyEstimator(now)
	for range 100 {
		l.Record(now, 100*time.Millisecond)
	}
	if q := l.Quantile(now, medianPercentile); q < 90*time.Millisecond || q > 110*time.Millisecond {
		t.Errorf("median %s", q)
	}
	if q := l.Quantile(now.Add(time.Minute), medianPercentile); q != 0 {
		t.Errorf("median %s after a minute without samples", q)
	}
}

// After a pause the guard renews before it returns, and only once.
func TestPauseRenewsFirst(t *testing.T) {
	now := time.Now()
	renewed := 0
	g := NewPauseGuard(now.Add(-time.Hour), func(context.Context) error { renewed++; return errors.New("store down") })
	g.Check(t.Context(), now)
	g.Check(t.Context(), now.Add(time.Millisecond))
	if renewed != 1 || g.Count() != 1 {
		t.Fatalf("%d renewals, %d pauses", renewed, g.Count())
	}
}

// The buffer never takes a token that differs from an earlier one or leaves a gap.
func TestTokenBufferNeverMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTokenBuffer()
		want := rapid.SliceOfN(rapid.StringN(1, 3, -1), 1, 20).Draw(t, "tokens")
		sent := 0
		for range rapid.IntRange(1, 30).Draw(t, "chunks") {
			first := rapid.IntRange(0, len(want)).Draw(t, "first")
			last := rapid.IntRange(first, len(want)).Draw(t, "last")
			err := b.add(link.Chunk{First: first, Tokens: want[first:last]})
			if (err != nil) != (first > sent) {
				t.Fatalf("chunk at token %d after %d tokens: %v", first, sent, err)
			}
			if err == nil {
				sent = max(sent, last)
			}
		}
		got, _, _ := b.next(0)
		if strings.Join(got, "|") != strings.Join(want[:sent], "|") {
			t.Fatalf("got tokens %q of %q", got, want)
		}
		if sent > 0 && b.add(link.Chunk{Tokens: []string{want[0] + "x"}}) == nil {
			t.Fatal("a differing token was accepted")
		}
	})
}

func FuzzDecodeBody(f *testing.F) {
	for _, seed := range []string{
		question, booking, `{"question":"q","stream":true,"max_tokens":3}`, `{"question":`, `[]`, `null`,
		`{"question":1}`, `{"max_tokens":-1}`, `{"max_tokens":1e99}`, `{"colour":1}`, question + question,
		`{"action":{"a":[1,2,{"b":"\ud800"}]}}`, "\xff\xfe", `{"question":"q"} x`, "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		const limit = 256
		b, p := DecodeBody(strings.NewReader(string(raw)), limit)
		if p != nil {
			if p.Run != contract.NotRun || p.Status < 400 || p.Status > 499 {
				t.Fatalf("refusal %+v", p)
			}
			return
		}
		if len(raw) > limit || b.MaxTokens < 0 {
			t.Fatalf("accepted %d bytes as %+v", len(raw), b)
		}
		if requestDigest("o", "p", b) == requestDigest("o2", "p", b) {
			t.Fatal("two organisations share a digest")
		}
	})
}
