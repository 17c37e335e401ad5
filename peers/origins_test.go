package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/roster"
)

// linkedMeshes starts n entries in a full mesh and waits until they are linked.
func linkedMeshes(t *testing.T, n int) []*Mesh {
	t.Helper()
	meshes, members := largeMesh(t, n)
	for _, m := range meshes {
		m.SetMembers(t.Context(), members)
	}
	awaitLinked(t, meshes)
	return meshes
}

func awaitLinked(t *testing.T, meshes []*Mesh) {
	t.Helper()
	await(t, "the entries to be linked", func() bool {
		for _, m := range meshes {
			if len(m.LivePeers()) != len(meshes)-1 {
				return false
			}
		}
		return true
	})
}

// The origin of a stream is found at any entry, also after the entry at which the stream began and one holder
// have lost it.
func TestOriginOutlivesItsEntry(t *testing.T) {
	meshes := linkedMeshes(t, 6)
	for i := range 20 {
		r := origin.Record{Key: origin.Key(fmt.Sprint("stream ", i)), Service: "llm", Version: "v1"}
		first := meshes[i%len(meshes)]
		first.AnnounceOrigins([]origin.Record{r})
		holders := func() (list []*Mesh) {
			for _, m := range meshes {
				if _, found := m.o.Origins.Find(time.Now(), r.Key); found {
					list = append(list, m)
				}
			}
			return list
		}
		await(t, "the holders to know the origin", func() bool { return len(holders()) == originHolders })
		holders()[0].o.Origins.End(r.Key) // as after a restart
		for _, m := range meshes {
			if _, found := m.o.Origins.Find(time.Now(), r.Key); found {
				continue
			}
			if got := m.FindOrigin(t.Context(), FindOriginParams{Key: r.Key, Service: "llm"}); got.Record == nil || *got.Record != r {
				t.Errorf("%s finds %+v for %+v", m.o.Self.Name, got.Record, r)
			}
		}
	}
}

// A client may take its stream up elsewhere as soon as it has the first event. The origin was announced before that, but
// the holders had not read it yet.
func TestAnnouncedOriginIsKnown(t *testing.T) {
	meshes := linkedMeshes(t, 3)
	meshes[0].announceTimeout = time.Hour
	for i := range 100 {
		r := origin.Record{Key: origin.Key(fmt.Sprint("stream ", i)), Service: "llm", Version: "v1"}
		meshes[0].AnnounceOrigins([]origin.Record{r})
		if !slices.ContainsFunc(meshes, func(m *Mesh) bool {
			_, found := m.o.Origins.Find(time.Now(), r.Key)
			return found
		}) {
			t.Fatalf("no peer knows stream %d", i)
		}
	}
}

// The first event of a stream does not wait for holders that hang.
func TestAnnouncementEndsWhileHoldersHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := New(Options{Logger: slog.New(slog.DiscardHandler)})
		var told atomic.Int32
		for i := range originHolders {
			near, far := net.Pipe()
			jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(far), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
				func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
					told.Add(1)
					<-ctx.Done()
					return nil, nil
				})))
			name := fmt.Sprint("e", i)
			m.links[name] = &peerLink{
				address: name, identity: Identity{Name: name},
				conn: jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(near), notificationHandler{m}),
			}
		}
		start := time.Now()
		m.AnnounceOrigins([]origin.Record{{Key: "a", Service: "llm", Version: "v1"}})
		if took := time.Since(start); took > announceTimeout || told.Load() != originHolders {
			t.Errorf("took %v and told %d peers, want at most %v and %d", took, told.Load(), announceTimeout, originHolders)
		}
		time.Sleep(pingTimeout)
	})
}

// A reset breaks all links at the moment at which a client resumes its stream. The search waits for the
// links to be redialled.
func TestOriginIsFoundWhileLinksAreRedialled(t *testing.T) {
	meshes := linkedMeshes(t, 3)
	r := origin.Record{Key: origin.Key("stream"), Service: "llm", Version: "v1"}
	meshes[1].o.Origins.Begin(time.Now(), r)
	for range 5 {
		awaitLinked(t, meshes)
		meshes[0].mu.Lock()
		for _, l := range meshes[0].links {
			if l.conn != nil {
				_ = l.conn.Close()
			}
		}
		meshes[0].mu.Unlock()
		if got := meshes[0].FindOrigin(t.Context(), FindOriginParams{Key: r.Key, Service: "llm"}); got.Record == nil {
			t.Error("the origin is not found")
		}
	}
}

// A peer that has seen several versions says so, although it does not know the stream.
func TestPeerKnowsOfMixedVersions(t *testing.T) {
	meshes := linkedMeshes(t, 2)
	now := time.Now()
	list := []catalog.Endpoint{{ID: "a", Service: "llm", Version: "v1"}, {ID: "b", Service: "llm", Version: "v2"}}
	meshes[1].o.Roster.SetEndpoints(now, list, roster.Continuous)
	meshes[1].o.Roster.SetEndpoints(now, list[1:], roster.Continuous)
	for service, want := range map[string]bool{"llm": true, "other": false} {
		got := meshes[0].FindOrigin(t.Context(), FindOriginParams{Key: origin.Key("unknown"), Service: service})
		if got.Record != nil || got.Mixed != want {
			t.Errorf("%s: %+v, want mixed %t", service, got, want)
		}
	}
}

// A search says how many peers have not answered, so that their silence is not taken for ignorance.
func TestSearchCountsSilentPeers(t *testing.T) {
	meshes := linkedMeshes(t, 4)
	p := FindOriginParams{Key: origin.Key("unknown"), Service: "llm"}
	if got := meshes[0].FindOrigin(t.Context(), p); got.Answered != 3 || got.Silent != 0 {
		t.Errorf("%+v, want 3 answers", got)
	}
	meshes[0].mu.Lock()
	for _, l := range meshes[0].links {
		if l.identity.Name != meshes[1].o.Self.Name {
			l.conn = nil // down
		}
	}
	meshes[0].mu.Unlock()
	if got := meshes[0].FindOrigin(t.Context(), p); got.Answered != 1 || got.Silent != 2 {
		t.Errorf("%+v, want 1 answer and 2 silent peers", got)
	}
}

func TestOriginHoldersAreInDifferentDataCentres(t *testing.T) {
	peersIn := func(dataCentres ...string) (list []originPeer) {
		for i, dc := range dataCentres {
			list = append(list, originPeer{Identity: Identity{Name: fmt.Sprint("e", i), DataCentre: dc}})
		}
		return list
	}
	cases := []struct {
		name  string
		peers []originPeer
		// distinct is the number of data centres of the holders, other than that of the entry.
		holders, distinct int
	}{
		{"alone", nil, 0, 0},
		{"one peer, same data centre", peersIn("own"), 1, 0},
		{"one peer elsewhere among many", peersIn("own", "own", "own", "a"), 2, 1},
		{"two data centres", peersIn("a", "a", "a", "own"), 2, 1},
		{"many data centres", peersIn("own", "a", "a", "b", "c", "c"), 2, 2},
	}
	for _, c := range cases {
		for i := range 20 {
			distinct := map[string]bool{}
			holders := originHoldersFor(fmt.Sprint(i), "own", c.peers)
			for _, h := range holders {
				if h.DataCentre != "own" {
					distinct[h.DataCentre] = true
				}
			}
			if len(holders) != c.holders || len(distinct) != c.distinct {
				t.Errorf("%s: holders %+v, want %d in %d other data centres", c.name, holders, c.holders, c.distinct)
			}
		}
	}
}
