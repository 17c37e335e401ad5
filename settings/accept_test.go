package settings

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/platform"
)

func mustAccept(t testing.TB, store platform.Store, base Version, id ChangeID, edit EditFunc) Outcome {
	t.Helper()
	out := Accept(t.Context(), store, base, edit, id, "test")
	if out.State != Accepted {
		t.Fatalf("change %s: %s %v", id, out.State, out.Err)
	}
	return out
}

func replaceWith(d Document) EditFunc { return func(Document) (Document, error) { return d, nil } }

func setOutOfService(dc string, out bool) EditFunc {
	return func(d Document) (Document, error) {
		c := d.DataCentres[dc]
		c.Out = out
		d.DataCentres[dc] = c
		return d, nil
	}
}

func setWeight(org string, w int) EditFunc {
	return func(d Document) (Document, error) {
		o := d.Organisations[org]
		o.Weight = w
		d.Organisations[org] = o
		return d, nil
	}
}

func setPriority(p int) EditFunc {
	return func(d Document) (Document, error) { d.Request.Priority = &p; return d, nil }
}

func testDocument(organisations int) Document {
	d := Document{
		Pipelines:     map[string]Pipeline{"p": {Stages: []Stage{{Name: "s", Kind: "encode", Pool: "x"}}}},
		Organisations: map[string]Organisation{},
		DataCentres:   map[string]DataCentre{"a": {Region: "r"}, "b": {Region: "r"}},
	}
	for i := range organisations {
		name := fmt.Sprintf("o%d", i)
		d.Organisations[name] = Organisation{TokenSHA256: []string{TokenDigest(name)}}
	}
	return d
}

func TestConflictingEditsAreRejectedWithPath(t *testing.T) {
	store := platform.NewMemory(platform.MemoryOptions{})
	base := mustAccept(t, store, 0, "first", replaceWith(testDocument(2))).Version
	mustAccept(t, store, base, "a", setPriority(3))
	mustAccept(t, store, base, "b", setOutOfService("a", true))
	out := Accept(t.Context(), store, base, setPriority(4), "c", "test")
	want := []Conflict{{Path: "request.priority", Current: "3", Proposed: "4"}}
	if diff := cmp.Diff(want, out.Conflicts); out.State != Conflicted || diff != "" {
		t.Fatalf("%s: %s", out.State, diff)
	}
	// Removing an object that another change modified is a conflict as well.
	removeDC := func(d Document) (Document, error) { delete(d.DataCentres, "a"); return d, nil }
	if out := Accept(t.Context(), store, base, removeDC, "d", "test"); out.State != Conflicted {
		t.Fatalf("removal of a changed object: %s", out.State)
	}
	s, err := Load(t.Context(), store, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := s.Snapshot()
	if err != nil || !got.OutOfService("a") || got.ResolveRequest("o0", "p", "s").Priority != 3 {
		t.Fatalf("an accepted change is missing: %v %+v", err, got.Document)
	}
}

func TestLostAnswerIsResolvedByReading(t *testing.T) {
	store := platform.NewMemory(platform.MemoryOptions{})
	mustAccept(t, store, 0, "first", replaceWith(testDocument(1)))
	lossyStore := &hookedStore{Store: store, afterManifestPut: func() error {
		store.SetFaults(platform.Faults{Down: true})
		return platform.Unavailable.New("answer lost and store unavailable")
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if out := Accept(ctx, lossyStore, 0, setWeight("o0", 7), "w", "test"); out.State != OutcomeUnknown {
		t.Fatalf("outcome %s, want unknown", out.State)
	}
	store.SetFaults(platform.Faults{})
	mustAccept(t, store, 0, "other", setWeight("o0", 8))
	if out := mustAccept(t, store, 0, "w", setWeight("o0", 7)); out.Version != 2 {
		t.Fatalf("determined version %d, want 2", out.Version)
	}
	s, _ := Load(t.Context(), store, nil)
	if d, _ := s.Document(); d.Organisations["o0"].Weight != 8 {
		t.Fatal("the accepted change was applied again")
	}
}

// hookedStore calls afterManifestPut after each successful write of the manifest and returns its
// error.
type hookedStore struct {
	platform.Store
	afterManifestPut func() error
}

func (h *hookedStore) Put(ctx context.Context, key string, value json.RawMessage, ifVersion uint64) (uint64, error) {
	v, err := h.Store.Put(ctx, key, value, ifVersion)
	if err == nil && key == ManifestKey {
		err = h.afterManifestPut()
	}
	return v, err
}

// shortTimeoutStore gives each call a random timeout, often less than the store's delay, so that
// writes take effect after their caller has given up.
type shortTimeoutStore struct {
	platform.Store
	rng *rand.Rand
}

func (p *shortTimeoutStore) randomTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	time.Sleep(time.Duration(p.rng.IntN(30_000)) * time.Microsecond)
	return context.WithTimeout(ctx, time.Duration(5+p.rng.IntN(20))*time.Millisecond)
}

func (p *shortTimeoutStore) Put(ctx context.Context, key string, value json.RawMessage, ifVersion uint64) (uint64, error) {
	ctx, cancel := p.randomTimeout(ctx)
	defer cancel()
	return p.Store.Put(ctx, key, value, ifVersion)
}

func (p *shortTimeoutStore) Get(ctx context.Context, key string) (platform.Object, error) {
	ctx, cancel := p.randomTimeout(ctx)
	defer cancel()
	return p.Store.Get(ctx, key)
}

// TestConcurrentOperators runs operators concurrently against a store that loses answers, applies
// writes late and serves stale reads. Every accepted change must be in the manifest exactly once,
// with its value in force until a later accepted change of the same path; a change that was not
// accepted must not be in the manifest.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		operators := rapid.IntRange(2, 4).Draw(rt, "operators")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runRace(t, seed, operators) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runRace(t *testing.T, seed uint64, operators int) error {
	store := platform.NewMemory(platform.MemoryOptions{Seed: seed})
	mustAccept(t, store, 0, "first", replaceWith(testDocument(operators)))
	mustAccept(t, store, 0, "second", setOutOfService("a", true)) // so that a stale read still returns a tree
	store.SetFaults(platform.Faults{
		Delay: 10 * time.Millisecond, LateWrites: true, LoseProbability: 0.2, StaleProbability: 0.2})
	results := make([][]Outcome, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			operatorStore := &shortTimeoutStore{Store: store, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
			results[i] = runOperator(t.Context(), operatorStore, i)
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // late writes take effect
	store.SetFaults(platform.Faults{})
	s, err := Load(t.Context(), store, nil)
	if err != nil {
		return err
	}
	return checkOutcomes(s, results)
}

func runOperator(ctx context.Context, store platform.Store, i int) []Outcome {
	var outs []Outcome
	for k := 1; k <= 4; k++ {
		edit := setWeight(fmt.Sprintf("o%d", i), k)
		if k%2 == 0 {
			edit = setPriority(i)
		}
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		outs = append(outs, Accept(ctx, store, 0, edit, ChangeID(fmt.Sprintf("%d-%d", i, k)), "test"))
		cancel()
	}
	return outs
}

func checkOutcomes(s *StoredTree, results [][]Outcome) error {
	versionOf := map[ChangeID]Version{}
	for i, c := range s.Manifest.Changes {
		if _, duplicate := versionOf[c.ID]; duplicate || c.Version != Version(i+1) {
			return fmt.Errorf("change %s: version %d at index %d, duplicate %v", c.ID, c.Version, i, duplicate)
		}
		versionOf[c.ID] = c.Version
	}
	d, err := s.Document()
	if err != nil {
		return err
	}
	for i, outs := range results {
		weight := 0
		for k, out := range outs {
			v, found := versionOf[out.ID]
			if found != (out.State == Accepted) && out.State != OutcomeUnknown || found && out.State == Accepted && v != out.Version {
				return fmt.Errorf("change %s: %s version %d, in manifest %v version %d", out.ID, out.State, out.Version, found, v)
			}
			if found && k%2 == 0 {
				weight = k + 1
			}
		}
		if got := d.Organisations[fmt.Sprintf("o%d", i)].Weight; got != weight {
			return fmt.Errorf("weight of o%d is %d, want %d: an accepted change was reverted", i, got, weight)
		}
	}
	return nil
}

func TestGarbageCollectionKeepsWritersAndHistory(t *testing.T) {
	store := platform.NewMemory(platform.MemoryOptions{})
	mustAccept(t, store, 0, "first", replaceWith(testDocument(2)))
	before, _ := Load(t.Context(), store, nil)
	// Garbage is collected between the writes of this operator's objects and its manifest.
	gcStore := &collectingStore{Store: store}
	if out := Accept(t.Context(), gcStore, 0, setWeight("o0", 5), "w", "test"); out.State != Accepted {
		t.Fatal(out.State, out.Err)
	}
	for k := range maxHistory + 40 {
		mustAccept(t, store, 0, ChangeID(fmt.Sprint(k)), setWeight("o1", k+1))
	}
	s, err := Load(t.Context(), store, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.DocumentAt(t.Context(), store, s.Manifest.oldestVersion()); err != nil {
		t.Fatalf("oldest version of the history: %v", err)
	}
	if _, err := s.DocumentAt(t.Context(), store, before.Manifest.Version); !Outdated.Has(err) {
		t.Fatalf("version before the history: %v", err)
	}
	n, err := CollectGarbage(t.Context(), store, s)
	all, _ := store.List(t.Context(), "settings/")
	if err != nil || len(all) > len(s.Manifest.liveKeys())+1 {
		t.Fatalf("%d deleted, %d remaining, %d live: %v", n, len(all), len(s.Manifest.liveKeys()), err)
	}
}

// collectingStore collects garbage with the manifest in force before each of its writes.
type collectingStore struct{ platform.Store }

func (c *collectingStore) Put(ctx context.Context, key string, value json.RawMessage, ifVersion uint64) (uint64, error) {
	if s, err := Load(ctx, c.Store, nil); err == nil {
		if _, err := CollectGarbage(ctx, c.Store, s); err != nil {
			return 0, err
		}
	}
	return c.Store.Put(ctx, key, value, ifVersion)
}

// TestLargeChangeIsLeftOutOfHistory checks that the history does not list the objects of a large
// change, so that the manifest that every watcher reads stays small. A follower at an earlier
// version reads the index instead.
func TestLargeChangeIsLeftOutOfHistory(t *testing.T) {
	store := platform.NewMemory(platform.MemoryOptions{})
	mustAccept(t, store, 0, "small", replaceWith(testDocument(1)))
	f := NewFollower(FollowerOptions{Store: store})
	if err := f.watch(t.Context(), time.Millisecond); err != nil {
		t.Fatal(err)
	}
	mustAccept(t, store, 0, "large", replaceWith(testDocument(3*maxListedObjects)))
	mustAccept(t, store, 0, "after", setWeight("o7", 7))
	s, err := Load(t.Context(), store, nil)
	if err != nil || len(mustMarshal(s.Manifest)) > maxListedObjects*100 {
		t.Fatalf("manifest of %d bytes, %v", len(mustMarshal(s.Manifest)), err)
	}
	if _, err := s.DocumentAt(t.Context(), store, 1); !Outdated.Has(err) {
		t.Fatalf("version before the large change: %v", err)
	}
	if err := f.watch(t.Context(), time.Millisecond); err != nil || f.Current().Document.Organisations["o7"].Weight != 7 {
		t.Fatalf("follower that was at a version before the large change has version %d, %v", f.Version(), err)
	}
}
