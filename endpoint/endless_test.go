package endpoint_test

import (
	"net/http"
	"testing"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/memorybudget/budgettest"
	"github.com/azurelead/azurelead/pipeline"
)

// Answers that had no end were bounded one by one, and took the memory of the agent together.
func TestEndlessAnswersStayWithinMemory(t *testing.T) {
	const calls, limitMB = 64, 100
	for name, a := range map[string]budgettest.Answer{
		"body":          {Start: "HTTP/1.1 200 OK\r\n\r\n\"", Bytes: 15 << 20},
		"stated length": {Start: "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n\"", Bytes: 15 << 20},
		"head":          {Start: "HTTP/1.1 200 OK\r\n", InHead: true, Bytes: 9 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			url, liveHeapMB := budgettest.Serve(t, http.MethodPost, a, calls)
			driver, err := endpoint.NewService(endpoint.Options{URL: url})
			if err != nil {
				t.Fatal(err)
			}
			for range calls {
				go driver.Run(t.Context(), endpoint.Call{Attempt: contract.NewAttemptID(), Input: pipeline.Input{Operation: "book"}}, nil)
			}
			if mb := liveHeapMB(); mb > limitMB {
				t.Errorf("%d MB of live heap for %d calls, limit %d MB", mb, calls, limitMB)
			} else {
				t.Logf("%d MB of live heap", mb)
			}
		})
	}
}
