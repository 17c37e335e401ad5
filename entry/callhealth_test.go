package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// An agent whose calls all failed got as many as a sound one.
func TestAgentWhoseCallsFailIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		failing := h.agent("generate-1")
		failing.work = func(context.Context, link.RunParams) link.RunResult {
			return link.RunResult{Run: contract.MayHaveRun, Code: contract.CodeEndpointFailed}
		}
		lost := 0
		for range 200 {
			if rec := h.post(t.Context(), testRequest{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
				lost++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if n := failing.totalRuns(); n > 10 || lost > 10 {
			t.Errorf("%d of 200 calls reached the failing agent and %d requests failed, want at most 10", n, lost)
		}
	})
}

func TestCallHealth(t *testing.T) {
	const failed = contract.CodeEndpointFailed
	for _, c := range []struct {
		name  string
		codes []contract.Code
		want  time.Duration
	}{
		{"one failure", []contract.Code{failed}, 0},
		{"two failures", []contract.Code{failed, failed}, minAvoidance},
		{"many in flight at once", []contract.Code{failed, failed, failed, failed, failed}, minAvoidance},
		{"an answer between them", []contract.Code{failed, "", failed}, 0},
		{"an answer after them", []contract.Code{failed, failed, ""}, 0},
		{"others between them", []contract.Code{failed, contract.CodeOverloaded, contract.CodeCancelled, failed}, minAvoidance},
		{"calls that are late", []contract.Code{contract.CodeDeadlineExceeded, contract.CodeDeadlineExceeded}, 0},
	} {
		var h callHealth
		now := time.Unix(1000, 0)
		for _, code := range c.codes {
			h.record(now, code)
		}
		if got := max(h.avoidUntil.Sub(now), 0); got != c.want {
			t.Errorf("%s: avoided for %v, want %v", c.name, got, c.want)
		}
	}
}
