package settings

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
)

// versionChain is a sequence of accepted versions, each with its manifest, its document and a
// follower that can offer it.
type versionChain struct {
	store     *platform.Memory
	manifests []platform.Object
	documents []Document
	peers     []*Follower // peers[i] holds version i+1
}

// newVersionChain accepts n changes that in turn modify a value, add an organisation and remove it.
func newVersionChain(t testing.TB, n int) *versionChain {
	c := &versionChain{store: platform.NewMemory(platform.MemoryOptions{})}
	for i := range n {
		edit := setWeight("o0", i+1)
		switch {
		case i == 0:
			edit = replaceWith(testDocument(2))
		case i%3 == 0:
			edit = func(d Document) (Document, error) { delete(d.Organisations, "o1"); return d, nil }
		case i%3 == 2:
			edit = func(d Document) (Document, error) {
				d.Organisations["o1"] = Organisation{TokenSHA256: []string{TokenDigest("o1")}, Weight: i}
				return d, nil
			}
		}
		mustAccept(t, c.store, 0, ChangeID(fmt.Sprint(i)), edit)
		o, err := c.store.Get(t.Context(), ManifestKey)
		if err != nil {
			t.Fatal(err)
		}
		f := NewFollower(FollowerOptions{Store: c.store})
		if err := f.watch(t.Context(), time.Millisecond); err != nil {
			t.Fatal(err)
		}
		c.manifests, c.peers = append(c.manifests, o), append(c.peers, f)
		c.documents = append(c.documents, f.Current().Document)
	}
	return c
}

func (c *versionChain) offer(i int, have Version) link.SettingsResult {
	res, err := c.peers[i].ChangesSince(have)
	if err != nil {
		panic(err)
	}
	return res
}

// TestVersionNeverDecreases offers old and new versions to a follower by peers and watches in any
// order, some of them corrupt. The version must never decrease, and the document served must
// always be the accepted one of that version.
func TestVersionNeverDecreases(t *testing.T) {
	const n = 12
	c := newVersionChain(t, n)
	rapid.Check(t, func(rt *rapid.T) {
		f := NewFollower(FollowerOptions{Store: c.store})
		last := Version(0)
		for range rapid.IntRange(1, 30).Draw(rt, "offers") {
			i := rapid.IntRange(0, n-1).Draw(rt, "version")
			switch rapid.IntRange(0, 3).Draw(rt, "by") {
			case 0:
				have := rapid.SampledFrom([]Version{0, f.Version()}).Draw(rt, "have")
				_ = f.applyResult(c.offer(i, have), time.Now())
			case 1:
				_ = f.applyManifest(t.Context(), c.manifests[i], time.Now())
			case 2:
				res := c.offer(i, f.Version())
				res.Delta = corruptDelta(rt, res.Delta)
				_ = f.applyResult(res, time.Now())
			case 3: // an answer read while a newer version came into force
				_ = f.install(c.peers[i].current.Load().deltaSince(0))
			}
			v := f.Version()
			if v < last {
				rt.Fatalf("version went from %d back to %d", last, v)
			}
			last = v
			if v == 0 {
				continue
			}
			if diff := cmp.Diff(c.documents[v-1], f.Current().Document); diff != "" {
				rt.Fatalf("document of version %d differs from the accepted one: %s", v, diff)
			}
		}
	})
}

// corruptDelta removes or modifies one object of a delta.
func corruptDelta(rt *rapid.T, raw json.RawMessage) json.RawMessage {
	var d Delta
	if json.Unmarshal(raw, &d) != nil || len(d.Changed) == 0 {
		return raw
	}
	n := rapid.SampledFrom(sortedKeys(d.Changed)).Draw(rt, "object")
	if rapid.Bool().Draw(rt, "drop") {
		delete(d.Changed, n)
	} else {
		d.Changed[n] = Content{Ref: d.Changed[n].Ref, Value: json.RawMessage(`{}`)}
	}
	return mustMarshal(d)
}

// TestStartDuringOutage starts a process while the store is down. It must take the highest
// version among its peers, regardless of their order, and must not count as fresh on the answer
// of a peer that never confirmed its version.
func TestStartDuringOutage(t *testing.T) {
	c := newVersionChain(t, 5)
	synctest.Test(t, func(t *testing.T) {
		c.store.SetFaults(platform.Faults{Down: true})
		ctx, cancel := context.WithCancel(t.Context())
		f := NewFollower(FollowerOptions{Store: c.store})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		for _, i := range []int{1, 4, 2} {
			f.ObserveVersion(c.peers[i].Version(), func(_ context.Context, have Version) (link.SettingsResult, error) {
				res := c.offer(i, have)
				res.AgeMS = 0
				return res, nil
			})
		}
		synctest.Wait()
		if f.Version() != 5 {
			t.Errorf("installed version %d, want 5, the highest of the peers", f.Version())
		}
		if f.Fresh(time.Hour) {
			t.Error("fresh without a confirmation")
		}
		c.store.SetFaults(platform.Faults{})
		// Allow for the longest retry interval with its jitter, then two watches: the second one
		// ends before the confirmation of the first is older than both.
		time.Sleep(2*maxRetryInterval + 2*defaultWatchTimeout)
		if !f.Fresh(2 * defaultWatchTimeout) {
			t.Errorf("age is %s after the store came back", f.Age())
		}
		cancel()
		<-done
	})
}

// TestAnswerAgeCountsFromRequest pauses a process between sending a request and reading the
// answer. The age in the answer must count from the request, otherwise an outdated answer would
// count as fresh.
func TestAnswerAgeCountsFromRequest(t *testing.T) {
	c := newVersionChain(t, 2)
	synctest.Test(t, func(t *testing.T) {
		const pause = 40 * time.Second
		f := NewFollower(FollowerOptions{FetchFromPeer: func(_ context.Context, have Version) (link.SettingsResult, error) {
			res := c.offer(1, have)
			res.AgeMS = 200
			time.Sleep(pause) // the answer is buffered meanwhile
			return res, nil
		}})
		if f.Age() != math.MaxInt64 {
			t.Fatalf("age is %s before the first confirmation", f.Age())
		}
		if err := f.Renew(t.Context(), time.Second); !AgeUnknown.Has(err) {
			t.Fatalf("renewal with an outdated answer: %v", err)
		}
		if f.Age() < pause {
			t.Fatalf("age is %s after a pause of %s", f.Age(), pause)
		}
	})
}

// TestRestoredStoreDoesNotConfirm restores an older manifest in the store. The follower must keep
// its version, not count as fresh, and not watch in a tight loop.
func TestRestoredStoreDoesNotConfirm(t *testing.T) {
	c := newVersionChain(t, 4)
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(FollowerOptions{Store: c.store})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(time.Second)
		if _, err := c.store.Put(ctx, ManifestKey, c.manifests[1].Value, c.manifests[3].Version); err != nil {
			t.Fatal(err)
		}
		before := c.store.Calls()
		time.Sleep(time.Minute)
		if f.Version() != 4 || f.Fresh(30*time.Second) {
			t.Errorf("version %d, age %s", f.Version(), f.Age())
		}
		if watches := c.store.Calls().Watches - before.Watches; watches > int64(time.Minute/defaultWatchTimeout)+3 {
			t.Errorf("%d watches in a minute", watches)
		}
		// Further changes of the restored state reach the version in force here with different
		// content, and then exceed it.
		held := f.Current()
		mustAccept(t, c.store, 0, "again-3", setWeight("o0", 90))
		mustAccept(t, c.store, 0, "again-4", setWeight("o0", 91))
		time.Sleep(10 * time.Second)
		if f.Current() != held || f.Fresh(30*time.Second) {
			t.Errorf("version %d, age %s with another version 4 in the store", f.Version(), f.Age())
		}
		mustAccept(t, c.store, 0, "again-5", setWeight("o0", 92))
		time.Sleep(time.Minute)
		if f.Version() != 5 || !f.Fresh(30*time.Second) || f.Current().Document.Organisations["o0"].Weight != 92 {
			t.Errorf("version %d, age %s after the store exceeded the version", f.Version(), f.Age())
		}
		cancel()
		<-done
	})
}

// TestFewProcessesWatch checks that a fixed number of the data centre's instances watch the
// store, and that only one watcher changes when another one leaves.
func TestFewProcessesWatch(t *testing.T) {
	names := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
	watching := func(names []string) (chosen []string) {
		for _, n := range names {
			f := NewFollower(FollowerOptions{Instance: n, Candidates: func() []string { return names }})
			if f.isWatcher() {
				chosen = append(chosen, n)
			}
		}
		return chosen
	}
	first := watching(names)
	if len(first) != defaultWatchers {
		t.Fatalf("%v watch", first)
	}
	after := watching(without(names, first[0]))
	if len(after) != defaultWatchers || len(without(after, first[1])) != 1 {
		t.Fatalf("%v watched; after the first left, %v", first, after)
	}
}

// TestOutdatedPeerDoesNotConfirm checks that the answer of a peer at an older version does not
// confirm the version in force here, which contradicts it.
func TestOutdatedPeerDoesNotConfirm(t *testing.T) {
	c := newVersionChain(t, 3)
	f := NewFollower(FollowerOptions{})
	if err := f.applyResult(c.offer(2, 0), time.Now().Add(-time.Hour)); err != nil {
		t.Fatal(err)
	}
	before := f.Age()
	for _, res := range []link.SettingsResult{{}, {Version: 2, AgeMS: 1}, {Version: 3}} {
		if err := f.applyResult(res, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if f.Age() < before {
		t.Fatalf("age fell from %s to %s", before, f.Age())
	}
}

// TestRenewDoesNotWaitForFrozenPeer renews after a pause while the peer is still frozen. The
// store alone must confirm the version within the caller's deadline.
func TestRenewDoesNotWaitForFrozenPeer(t *testing.T) {
	c := newVersionChain(t, 2)
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(FollowerOptions{Store: c.store, FetchFromPeer: func(ctx context.Context, _ Version) (link.SettingsResult, error) {
			<-ctx.Done()
			return link.SettingsResult{}, ctx.Err()
		}})
		if err := f.applyResult(c.offer(0, 0), time.Now()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		if err := f.Renew(ctx, time.Second); err != nil || f.Version() != 2 {
			t.Fatalf("version %d, %v", f.Version(), err)
		}
	})
}

func without(names []string, name string) []string {
	var out []string
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}
