package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
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

// A request whose body is complete only after a stop has begun to refuse requests is refused.
func TestRequestReadDuringStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		gate := make(chan struct{})
		h.updateAgents("generate", func(a *fakeAgent) { a.gate = gate })
		var wg sync.WaitGroup
		wg.Go(func() { h.post(t.Context(), testRequest{pipeline: "ask", body: question}) })
		body, upload := io.Pipe()
		rec := httptest.NewRecorder()
		wg.Go(func() {
			r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/ask/runs", body)
			r.Header.Set(HeaderDeadline, "20000")
			r.Header.Set("Authorization", "Bearer "+token)
			h.e.Handler().ServeHTTP(rec, r)
		})
		synctest.Wait()
		wg.Go(func() {
			if err := h.e.Shutdown(t.Context()); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(time.Second)
		_, _ = io.WriteString(upload, `{"question":"cold water"}`)
		_ = upload.Close()
		synctest.Wait()
		close(gate)
		wg.Wait()
		if p := decode[ProblemReport](t, rec); p.Code != contract.CodeShuttingDown || p.Run != contract.NotRun {
			t.Errorf("%s", rec.Body)
		}
	})
}
