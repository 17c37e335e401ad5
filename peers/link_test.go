package peers

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/azurelead/azurelead/dispatch"
)

// tellingJobs tells of some results before each job ends.
type tellingJobs struct {
	Jobs
	made []dispatch.Made
}

func (j tellingJobs) Submit(_ context.Context, job Job, told func([]dispatch.Made)) Outcome {
	for _, m := range j.made {
		told([]dispatch.Made{m})
	}
	return Outcome{Engine: "engine of " + job.ID}
}

// Who submits a job is told of its results before the outcome, and of no other
// job's.
func TestSubmitterIsToldOfResults(t *testing.T) {
	meshes, members := largeMesh(t, 2)
	made := []dispatch.Made{
		{Endpoint: "i-1", Stage: 0, Tasks: []int{1, 0}, Handles: []string{"a", "b"}},
		{Endpoint: "i-2", Stage: 1, Tasks: []int{2}, Handles: []string{"c"}},
	}
	meshes[1].o.Jobs = tellingJobs{made: made}
	meshes[0].Add(t.Context(), []string{members[1].Address})
	await(t, "the entries are linked", func() bool { return len(meshes[0].Living()) == 1 })
	meshes[0].mu.Lock()
	l := meshes[0].links[members[1].Address]
	link := &Link{Peer: l.identity, conn: l.conn, mesh: meshes[0], peer: l}
	meshes[0].mu.Unlock()
	var got []dispatch.Made
	meshes[0].tell("other", func([]dispatch.Made) { t.Error("another job was told of") })
	o, err := link.Submit(t.Context(), Job{ID: "job"}, func(made []dispatch.Made) { got = append(got, made...) })
	if err != nil || o.Engine != "engine of job" {
		t.Fatalf("%+v, %v", o, err)
	}
	if diff := cmp.Diff(made, got); diff != "" {
		t.Error(diff)
	}
	if len(meshes[0].submitted) != 1 {
		t.Errorf("%d jobs are still waited for", len(meshes[0].submitted))
	}
}
