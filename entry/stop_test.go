package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// Requests that a stop cannot wait for are answered before it ends, with what is known of their run.
func TestShutdownAnswersRequestsItCannotAwait(t *testing.T) {
	for _, stream := range []string{"", `,"stream":true`} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, nil)
			gate := make(chan struct{})
			defer close(gate)
			h.updateAgents("generate", func(a *fakeAgent) { a.gate = gate })
			answered := make(chan *httptest.ResponseRecorder, 1)
			go func() {
				answered <- h.post(t.Context(), testRequest{pipeline: "ask", body: `{"question":"no hot water"` + stream + `}`})
			}()
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if err := h.e.Shutdown(ctx); err == nil {
				t.Error("a stop that ended requests returned no error")
			}
			synctest.Wait()
			select {
			case rec := <-answered:
				if p := decode[ProblemReport](t, rec); p.Code != contract.CodeShuttingDown || p.Run != contract.MayHaveRun {
					t.Errorf("%s", rec.Body)
				}
			default:
				t.Error("the stop ended before the request was answered")
				<-answered
			}
		})
	}
}
