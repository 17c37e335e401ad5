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
)

// tellingJobs tells of some results before each job ends.
type tellingJobs struct {
	JobHandler
	made []dispatch.StageResults
}

func (j tellingJobs) Submit(_ context.Context, job Job, told func([]dispatch.StageResults)) Outcome {
	for _, m := range j.made {
		told([]dispatch.StageResults{m})
	}
	return Outcome{Engine: "engine of " + job.ID}
}

// Who submits a job is told of its results before the outcome, and of no other
// job's.
func TestSubmitterIsToldOfResults(t *testing.T) {
	meshes, members := largeMesh(t, 2)
	made := []dispatch.StageResults{
		{Endpoint: "i-1", Stage: 0, Tasks: []int{1, 0}, Handles: []string{"a", "b"}},
		{Endpoint: "i-2", Stage: 1, Tasks: []int{2}, Handles: []string{"c"}},
	}
	meshes[1].o.Jobs = tellingJobs{made: made}
	meshes[0].Add(t.Context(), []string{members[1].Address})
	await(t, "the entries are linked", func() bool { return len(meshes[0].LivePeers()) == 1 })
	meshes[0].mu.Lock()
	l := meshes[0].links[members[1].Address]
	link := &Link{Peer: l.identity, conn: l.conn, mesh: meshes[0], peer: l}
	meshes[0].mu.Unlock()
	var got []dispatch.StageResults
	meshes[0].setResultHandler("other", func([]dispatch.StageResults) { t.Error("another job was told of") })
	o, err := link.Submit(t.Context(), Job{ID: "job"}, func(made []dispatch.StageResults) { got = append(got, made...) })
	if err != nil || o.Engine != "engine of job" {
		t.Fatalf("%+v, %v", o, err)
	}
	if diff := cmp.Diff(made, got); diff != "" {
		t.Error(diff)
	}
	if len(meshes[0].resultHandlers) != 1 {
		t.Errorf("%d jobs are still waited for", len(meshes[0].resultHandlers))
	}
}

// The load: a reset cuts a link with many jobs on it at once. Each asks for the
// dispatcher again before anything else has noticed: it is to wait for the link to
// be dialled anew, not to be given the one that was cut and take its work to
// another entry after failing twice.
func TestLinkThatFailedIsNotGivenOutAgain(t *testing.T) {
	near, far := net.Pipe()
	m := New(Options{Self: Identity{Name: "self", CPU: 0.1}, Started: time.Now(), Logger: slog.New(slog.DiscardHandler)})
	conn := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(near), notificationHandler{m})
	m.links["a"] = &peerLink{
		address: "a", conn: conn, identity: Identity{Name: "a", CPU: 1}, started: time.Now().Add(-time.Minute), pingRequests: make(chan struct{}, 1),
	}
	link, _ := m.electDispatcher(nil)
	if link == nil {
		t.Fatal("no link to the dispatcher")
	}
	_ = far.Close()
	if _, err := link.Submit(t.Context(), Job{ID: "job"}, func([]dispatch.StageResults) {}); err == nil {
		t.Fatal("a job over a link that was cut")
	}
	if again, relinking := m.electDispatcher(nil); again != nil || !relinking {
		t.Errorf("link %+v, dialled anew: %v", again, relinking)
	}
}

// A process is gone if it does not answer or another one runs in its place; of an
// entry without a link nothing is known, and a link that is dialled anew tells nothing.
func TestGone(t *testing.T) {
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
			t.Errorf("%s: gone %v", name, got)
		}
	}
}
