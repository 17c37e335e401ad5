package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/retrybudget"
	"github.com/azurelead/azurelead/roster"
)

// endlessStages are stages that end only with their request.
type endlessStages struct{}

func (endlessStages) Submit(ctx context.Context, _ dispatch.Job, _ string) (peers.Outcome, JobResults, error) {
	<-ctx.Done()
	return peers.Outcome{}, nil, ctx.Err()
}

// A stream that waits for its stages must be refused in time for the answer to reach the client before it leaves.
func TestWaitingStreamIsRefusedBeforeClientLeaves(t *testing.T) {
	const deadline = 20 * time.Second
	for _, c := range []struct {
		name   string
		target time.Duration
		// start is how long the entry does not know the platform's state.
		start time.Duration
		want  time.Duration
	}{
		{"client leaves before the deadline", time.Second, 0, 4*time.Second - answerMargin},
		{"client waits until the deadline", deadline, 0, deadline - answerMargin},
		{"the deadline is near", 0, 0, time.Second - 100*time.Millisecond},
		{"the entry has just started", time.Second, 400 * time.Millisecond, 4*time.Second - answerMargin},
	} {
		synctest.Test(t, func(t *testing.T) {
			table := catalog.Compile(&catalog.Configuration{
				Version: 1, Services: map[string]*catalog.Service{"llm": {Name: "llm", Engine: true}},
				Routes: []catalog.Route{{
					Name: "r", Host: "example.com", PathPrefix: "/", Kind: catalog.Streaming, Timeout: deadline, LatencyTarget: c.target,
					Services: []catalog.WeightedService{{Service: "llm", Weight: 1}},
				}},
			})
			g := New(Options{
				Table: func() *catalog.Table { return table }, Roster: roster.New(nil), Stages: endlessStages{},
				RetryBudgets: &retrybudget.Set{}, RetryPercent: func() int { return 0 }, Logger: slog.New(slog.DiscardHandler),
				AwaitState: func(context.Context) { time.Sleep(c.start) },
			})
			r := httptest.NewRequest(http.MethodPost, "/x", nil)
			fleet.SetAttemptID(r.Header, "id")
			if c.target == 0 {
				r.Header.Set("Azurelead-Timeout-Ms", "1000")
			}
			w := httptest.NewRecorder()
			start := time.Now()
			g.ServeHTTP(w, r)
			if took := time.Since(start); w.Code != http.StatusServiceUnavailable || took != c.want {
				t.Errorf("%s: status %d after %v, want 503 after %v", c.name, w.Code, took, c.want)
			}
		})
	}
}
