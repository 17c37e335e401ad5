package gateway

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// Clients abandon a silent stream after a few times its latency target. A burst on a route with a long
// deadline must not be admitted to stages that end after that.
func TestStagesEndBeforeClientsLeave(t *testing.T) {
	const deadline = 20 * time.Second
	cases := []struct {
		name  string
		route catalog.Route
		want  time.Duration
	}{
		{"a multiple of the latency target", catalog.Route{Kind: catalog.Streaming, LatencyTarget: 1800 * time.Millisecond}, 7200*time.Millisecond - deadlineMargin},
		{"a multiple of the gap target", catalog.Route{Kind: catalog.Streaming, LatencyTarget: 500 * time.Millisecond, EventGapTarget: 400 * time.Millisecond}, 3200*time.Millisecond - deadlineMargin},
		{"at least two seconds", catalog.Route{Kind: catalog.Streaming}, 2*time.Second - deadlineMargin},
		{"the deadline is sooner", catalog.Route{Kind: catalog.Streaming, LatencyTarget: 6 * time.Second}, deadline},
		{"no stream", catalog.Route{Kind: catalog.Idempotent, LatencyTarget: time.Second}, deadline},
	}
	for _, c := range cases {
		started := time.Now()
		q := &request{started: started, deadline: started.Add(deadline), route: &c.route, table: catalog.Compile(&catalog.Configuration{})}
		if j, _ := q.stageJob(nil); j.Deadline.Sub(started) != c.want {
			t.Errorf("%s: the job's deadline is after %v, want %v", c.name, j.Deadline.Sub(started), c.want)
		}
	}
}
