package peers

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// resultJobs is a JobHandler that reports some results before each job ends.
type resultJobs struct {
	JobHandler
	results []dispatch.StageResults
}

func (j resultJobs) Admit(job Job) func(context.Context, func([]dispatch.StageResults)) Outcome {
	return func(_ context.Context, onResults func([]dispatch.StageResults)) Outcome {
		for _, m := range j.results {
			onResults([]dispatch.StageResults{m})
		}
		return Outcome{Engine: "engine of " + job.ID}
	}
}

// The submitter of a job receives its results before the outcome, and no results of other
// jobs.
func TestSubmitterReceivesResults(t *testing.T) {
	meshes, members := largeMesh(t, 2)
	results := []dispatch.StageResults{
		{Endpoint: "i-1", Stage: 0, Tasks: []int{1, 0}, Handles: []string{"a", "b"}},
		{Endpoint: "i-2", Stage: 1, Tasks: []int{2}, Handles: []string{"c"}},
	}
	meshes[1].o.Jobs = resultJobs{results: results}
	meshes[0].Add(t.Context(), []string{members[1].Address})
	await(t, "the entries to be linked", func() bool { return len(meshes[0].LivePeers()) == 1 })
	meshes[0].mu.Lock()
	l := meshes[0].links[members[1].Address]
	link := &Link{Peer: l.identity, conn: l.conn, mesh: meshes[0], peer: l}
	meshes[0].mu.Unlock()
	var got []dispatch.StageResults
	meshes[0].setResultHandler("other", func([]dispatch.StageResults) { t.Error("received results of another job") })
	o, err := link.Submit(t.Context(), Job{ID: "job"}, func(results []dispatch.StageResults) { got = append(got, results...) })
	if err != nil || o.Engine != "engine of job" {
		t.Fatalf("%+v, %v", o, err)
	}
	if diff := cmp.Diff(results, got); diff != "" {
		t.Error(diff)
	}
	if len(meshes[0].resultHandlers) != 1 {
		t.Errorf("%d result handlers are registered, want only that of the other job", len(meshes[0].resultHandlers))
	}
}

// A reset breaks a link that carries many jobs. Each job asks for the dispatcher again
// before the ping loop has noticed. It must wait for the link to be redialled: with the
// broken link it would fail a second time and move its work to another entry.
func TestBrokenLinkIsNotReturnedAgain(t *testing.T) {
	near, far := net.Pipe()
	m := New(Options{Self: Identity{Name: "self", CPU: 0.1}, Started: time.Now(), Logger: slog.New(slog.DiscardHandler)})
	conn := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(near), notificationHandler{m})
	m.links["a"] = &peerLink{
		address: "a", conn: conn, identity: Identity{Name: "a", CPU: 1}, started: startedAt(time.Now().Add(-time.Minute)), pingRequests: make(chan struct{}, 1),
	}
	link, _ := m.electDispatcher(nil)
	if link == nil {
		t.Fatal("no link to the dispatcher")
	}
	_ = far.Close()
	if _, err := link.Submit(t.Context(), Job{ID: "job"}, func([]dispatch.StageResults) {}); err == nil {
		t.Fatal("a job succeeded over a broken link")
	}
	if again, reconnecting := m.electDispatcher(nil); again != nil || !reconnecting {
		t.Errorf("link %+v, reconnecting %v; want no link while reconnecting", again, reconnecting)
	}
}

// An incarnation is known to be down if its entry does not answer or another incarnation
// runs. An entry without a link, or with a link that is being redialled, is not.
func TestKnownDown(t *testing.T) {
	m := New(Options{})
	conn := &jsonrpc2.Conn{}
	for name, l := range map[string]*peerLink{
		"alive": {conn: conn}, "silent": {}, "reset": {reconnecting: true}, "anew": {conn: conn},
	} {
		l.identity = Identity{Name: name, Incarnation: "1"}
		m.links[name] = l
	}
	m.links["anew"].identity.Incarnation = "2"
	for name, want := range map[string]bool{"alive": false, "silent": true, "reset": false, "anew": true, "unknown": false} {
		if got := m.KnownDown(name, "1"); got != want {
			t.Errorf("%s: known to be down: %v", name, got)
		}
	}
}

// Entries that restart together dial each other before all of them listen. An entry that is dialled
// by a peer must dial it back at once instead of pausing first: until both links are there, the two
// may elect different dispatchers.
func TestDialledEntryDialsBack(t *testing.T) {
	meshes, members := largeMesh(t, 2)
	meshes[0].redialDelay = time.Hour
	address := fleettest.FreeAddress() // the peer does not listen yet
	meshes[1].o.Self.Address = address
	meshes[0].Add(t.Context(), []string{address})
	time.Sleep(100 * time.Millisecond) // the dial has failed
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go meshes[1].Serve(t.Context(), l)
	meshes[1].Add(t.Context(), []string{members[0].Address})
	await(t, "the entry to dial back", func() bool { return len(meshes[0].LivePeers()) == 1 })
}
