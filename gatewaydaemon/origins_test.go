package gatewaydaemon

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/gateway"
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
	"github.com/azurelead/azurelead/roster"
)

// removeEngines removes the engines of a version from the list, and waits until every entry knows.
func (d *deployment) removeEngines(ids ...string) {
	d.t.Helper()
	for _, id := range ids {
		d.store.Delete(fleet.KindEndpoints, id)
	}
	for _, e := range d.entries {
		d.eventually("the engines are gone", func() bool {
			for _, id := range ids {
				if e.daemon.roster.Known(id) {
					return false
				}
			}
			return true
		})
	}
}

// restartAll ends all entries as if they were killed, and starts as many that know only what the store holds.
func (d *deployment) restartAll() {
	d.t.Helper()
	for _, e := range d.entries {
		e.end()
	}
	n := len(d.entries)
	d.entries = nil
	for range n {
		d.startEntry()
	}
	d.waitReady()
}

// end ends an entry without a grace period.
func (e *entry) end() {
	s := *e.daemon.current.Load()
	s.GracePeriod = time.Millisecond
	e.daemon.current.Store(&s)
	e.stop()
	<-e.done
}

// awaitVersionRecord waits until the store holds the versions of the engines' service.
func (d *deployment) awaitVersionRecord(versions ...string) {
	d.t.Helper()
	d.eventually("the versions are recorded", func() bool {
		recorded, err := d.entries[0].daemon.versions.list(d.t.Context(), false)
		return err == nil && slices.Equal(recorded["models"], versions)
	})
}

// All entries are restarted while the version that began a stream leaves. They must not take each other's
// ignorance as evidence that the service had one version all the time.
func TestStreamOfVanishedVersionIsRefusedAfterAllWereRestarted(t *testing.T) {
	d := newDeployment(t, 3)
	engines := d.versionedEngines("v1", "v2")
	d.awaitVersionRecord("v1", "v2")
	var ids []string
	for len(ids) < 4 {
		if id := d.startStream(d.entries[len(ids)%3], 3); sameVersion(append(versionsOf(engines, id), "v1")) {
			ids = append(ids, id)
		}
	}
	d.removeEngines("engine-v1-0", "engine-v1-1")
	d.restartAll()
	for i, id := range ids {
		r := d.resume(d.entries[i%3], id, 3)
		if r.status != http.StatusServiceUnavailable || len(versionsOf(engines, r.id)) > 0 {
			t.Errorf("%s is resumed with status %d at %v, want a refusal", id, r.status, versionsOf(engines, r.id))
		}
	}
}

// All entries are restarted, and the service has had one version all the time, as on most days. Streams go on.
func TestStreamOfOnlyVersionGoesOnAfterAllWereRestarted(t *testing.T) {
	d := newDeployment(t, 3)
	engines := d.versionedEngines("v1")
	d.awaitVersionRecord("v1")
	first := d.startStream(d.entries[0], 3)
	d.restartAll()
	for _, e := range d.entries {
		if r := d.resume(e, first, 3); r.status != http.StatusOK || !sameVersion(append(versionsOf(engines, r.id), "v1")) {
			t.Errorf("resumed with status %d at %v, want v1", r.status, versionsOf(engines, r.id))
		}
	}
}

// Two versions serve all the while, and all entries are restarted. Streams go on at the version that began them.
func TestStreamsGoOnAtTheirVersionAfterAllWereRestarted(t *testing.T) {
	d := newDeployment(t, 3)
	engines := d.versionedEngines("v1", "v2")
	d.awaitVersionRecord("v1", "v2")
	ids := make([]string, 9)
	for i := range ids {
		ids[i] = d.startStream(d.entries[i%3], 3)
	}
	store := &originRecords{store: d.entries[0].daemon.store, table: origin.New(), logger: slog.New(slog.DiscardHandler)}
	d.eventually("the origins are in the store", func() bool {
		done := make(chan struct{})
		store.read(done)
		for _, id := range ids {
			if _, found := store.table.Find(time.Now(), origin.Key(id)); !found {
				return false
			}
		}
		return true
	})
	d.restartAll()
	for i, id := range ids {
		r := d.resume(d.entries[i%3], id, 3)
		if got := versionsOf(engines, r.id); r.status != http.StatusOK || !sameVersion(append(got, versionsOf(engines, id)...)) {
			t.Errorf("%s began at %v, and is resumed with status %d at %v", id, versionsOf(engines, id), r.status, got)
		}
	}
}

// The objects of a dispatcher that is gone are read, and deleted by the next one when streams can no longer ask for
// them.
func TestOriginsLeftInTheStoreAreReadAndDeleted(t *testing.T) {
	store := fleettest.NewStore()
	t.Cleanup(store.Close)
	newRecords := func(prefix string) *originRecords {
		return &originRecords{
			store: fleet.NewStore(store.Address(), newStoreTransport()), table: origin.New(), logger: slog.New(slog.DiscardHandler),
			prefix: prefix, expiries: make(map[string]time.Time),
		}
	}
	want := []origin.Record{{Key: "a", Service: "llm", Version: "v1"}, {Key: "b", Service: "llm", Version: "v2"}, {Key: "c", Service: "other", Version: "v1"}}
	former, next := newRecords("former"), newRecords("next")
	for i := range want { // one object each
		former.take(want[i : i+1])
		former.write(t.Context())
	}
	next.recall(t.Context())
	for _, r := range want {
		if got, found := next.table.Find(time.Now(), r.Key); !found || got != r {
			t.Errorf("found %+v, %t, want %+v", got, found, r)
		}
	}
	now := time.Now()
	next.adopt(t.Context())
	next.deleteExpired(t.Context(), now)
	if n := len(store.Names(fleet.KindOrigins)); n != len(want) {
		t.Errorf("%d objects are left at once, want %d", n, len(want))
	}
	next.deleteExpired(t.Context(), now.Add(2*origin.TTL))
	if names := store.Names(fleet.KindOrigins); len(names) > 0 {
		t.Errorf("%v are left after their TTL", names)
	}
}

// An entry has just started and no peer answers. What it does not know is no evidence that the service had one version.
func TestUnknownVersionHistoryIsNoEvidence(t *testing.T) {
	cases := []struct {
		name      string
		recorded  map[string][]string // nil if the store does not answer
		ambiguous bool
	}{
		{"no record read", nil, true},
		{"no entry ran before", map[string][]string{}, false},
		{"one version", map[string][]string{"models": {"v1"}}, false},
		{"two versions", map[string][]string{"models": {"v0", "v1"}}, true},
	}
	for _, c := range cases {
		now := time.Now()
		r := roster.New(nil)
		r.SetEndpoints(now, []catalog.Endpoint{{ID: "a", Service: "models", Version: "v1"}}, roster.Continuous)
		if c.recorded != nil {
			r.RestoreVersions(now, origin.TTL, c.recorded)
		}
		o := &streamOrigins{
			table: origin.New(), roster: r, mesh: peers.New(peers.Options{Logger: slog.New(slog.DiscardHandler)}),
			versions: &versionHistory{read: make(chan struct{})}, lastStoreResponse: time.Now,
		}
		o.records = &originRecords{store: fleet.NewStore("127.0.0.1:1", http.DefaultTransport), table: o.table, logger: slog.New(slog.DiscardHandler)}
		got := o.Find(t.Context(), "unknown", "models")
		if got.Known || got.Ambiguous != c.ambiguous {
			t.Errorf("%s: an unknown stream is %+v, want ambiguous %t", c.name, got, c.ambiguous)
		}
		if !c.ambiguous && got.OnlyVersion != "v1" {
			t.Errorf("%s: an unknown stream is of the only version %q, want v1", c.name, got.OnlyVersion)
		}
	}
}

// A stream began at a version that is not known yet at the entry at which its client resumes it. The entry has run for long
// enough to know the versions of the last minute, and must not take the stream for one of the version it knows.
func TestStreamOfVersionThatEntryLacksIsNotOfTheOnlyOne(t *testing.T) {
	d := newDeployment(t, 3)
	engines := d.versionedEngines("v1", "v2")
	first := d.startStream(d.entries[0], 3)
	began, known := "v1", "v2"
	if !slices.Contains(versionsOf(engines, first), began) {
		began, known = known, began
	}
	entry := *d.entries[2].daemon.origins
	entry.table, entry.roster = origin.New(), roster.New(nil)
	entry.roster.SetEndpoints(time.Now().Add(-2*origin.TTL), []catalog.Endpoint{{ID: "a", Service: "models", Version: known}}, roster.Continuous)
	if got := entry.Find(t.Context(), first, "models"); !got.Known || got.Version != began {
		t.Errorf("the origin is %+v, want %s", got, began)
	}
}

// An entry that has been cut off does not learn of a new version: what it does not know is no evidence.
func TestIgnoranceOfCutOffEntryIsNoEvidence(t *testing.T) {
	cases := []struct {
		name             string
		answered, silent int
		storeSilence     time.Duration
		current          bool
	}{
		{"follows the store", 0, 0, time.Second, true},
		{"follows the store, peers are down", 0, 3, time.Second, true},
		{"alone, store away", 0, 0, 3 * time.Second, false},
		{"cut off from all", 0, 3, 3 * time.Second, false},
		{"store away", 3, 0, 3 * time.Second, true},
		{"store away, one peer down", 2, 1, 3 * time.Second, true},
		{"store away, two peers down", 1, 2, 3 * time.Second, false},
	}
	now := time.Now()
	for _, c := range cases {
		o := &streamOrigins{lastStoreResponse: func() time.Time { return now.Add(-c.storeSilence) }}
		if got := o.isCurrent(now, peers.OriginSearch{Answered: c.answered, Silent: c.silent}); got != c.current {
			t.Errorf("%s: current %t, want %t", c.name, got, c.current)
		}
	}

	r := roster.New(nil)
	r.SetEndpoints(now.Add(-2*origin.TTL), []catalog.Endpoint{{ID: "a", Service: "models", Version: "v1"}}, roster.Continuous)
	cutOff := &streamOrigins{
		table: origin.New(), roster: r, mesh: peers.New(peers.Options{Logger: slog.New(slog.DiscardHandler)}),
		lastStoreResponse: func() time.Time { return now.Add(-3 * time.Second) },
	}
	cutOff.records = &originRecords{store: fleet.NewStore("127.0.0.1:1", http.DefaultTransport), table: cutOff.table, logger: slog.New(slog.DiscardHandler)}
	if got := cutOff.Find(t.Context(), "unknown", "models"); !got.Ambiguous {
		t.Errorf("at an entry that is cut off an unknown stream is %+v, want it ambiguous", got)
	}
}

// A client takes its stream up before the holders know its origin. They know it a moment later, but were asked once.
func TestSearchOutlastsAnnouncement(t *testing.T) {
	known := gateway.Origin{Record: origin.Record{Key: "a", Service: "llm", Version: "v1"}, Known: true}
	ambiguous := gateway.Origin{Ambiguous: true}
	cases := []struct {
		name string
		// settled is when the origin is not ambiguous any more, patience when the client leaves.
		settled, patience time.Duration
		result, want      gateway.Origin
		took              time.Duration
	}{
		{"known at once", 0, time.Second, known, known, 0},
		{"of the only version", 0, time.Second, gateway.Origin{}, gateway.Origin{}, 0},
		{"known a moment later", 20 * time.Millisecond, time.Second, known, known, 25 * time.Millisecond},
		{"known after the next write", 300 * time.Millisecond, time.Second, known, known, 375 * time.Millisecond},
		{"lost", time.Hour, time.Second, known, ambiguous, 375 * time.Millisecond},
		{"lost, and the client leaves", time.Hour, 100 * time.Millisecond, known, ambiguous, 100 * time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), c.patience)
			defer cancel()
			got := searchAgain(ctx, func() gateway.Origin {
				if time.Since(start) < c.settled {
					return ambiguous
				}
				return c.result
			})
			if took := time.Since(start); got != c.want || took != c.took {
				t.Errorf("%s: %+v after %v, want %+v after %v", c.name, got, took, c.want, c.took)
			}
		})
	}
}

// A stream begins shortly after a release has ended, and its entry dies. Origins were searched for during the minute
// after a release, but not announced in it.
func TestStreamThatBeganAfterReleaseIsTakenUp(t *testing.T) {
	d := newDeployment(t, 3)
	engines := d.versionedEngines("v1", "v2")
	d.removeEngines("engine-v1-0", "engine-v1-1")
	for i := range 6 {
		first := d.startStream(d.entries[i%3], 3)
		d.entries[i%3].forget(first)
		r := d.resume(d.entries[(i+1)%3], first, 3)
		if got := versionsOf(engines, r.id); r.status != http.StatusOK || !sameVersion(append(got, "v2")) {
			t.Errorf("%s is resumed with status %d at %v, want v2", first, r.status, got)
		}
	}
}

// Streams begin at a steady rate while two versions serve. Their origins must be in the store soon: all entries may be
// killed, and a stream that is not in the store then is refused when its client takes it up.
func TestOriginsAreInTheStoreSoon(t *testing.T) {
	store := fleettest.NewStore()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(store.Close)
		const streams, target = 60, 100 * time.Millisecond
		newRecords := func() *originRecords {
			return &originRecords{
				store: fleet.NewStore(store.Address(), store.Transport()), table: origin.New(), logger: slog.New(slog.DiscardHandler), prefix: "writer",
				expiries: make(map[string]time.Time), usesHubs: func() bool { return false }, dispatcher: func(context.Context) *peers.Link { return nil },
			}
		}
		writer, reader := newRecords(), newRecords()
		go writer.run(t.Context())
		begun := make(map[string]time.Time)
		var ages []time.Duration
		for tick := 0; len(ages) < streams; tick++ {
			if key := strconv.Itoa(tick); tick%20 == 0 && tick/20 < streams {
				begun[key] = time.Now()
				writer.add([]origin.Record{{Key: key, Service: "models", Version: "v1"}})
			}
			time.Sleep(time.Millisecond)
			reader.read(make(chan struct{}))
			for key, at := range begun {
				if _, found := reader.table.Find(time.Now(), key); found {
					ages = append(ages, time.Since(at))
					delete(begun, key)
				}
			}
		}
		slices.Sort(ages)
		if median := ages[streams/2]; median > target {
			t.Errorf("half of the origins are in the store after %v, want %v", median, target)
		}
	})
}
