package endpoint_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/pipeline"
)

// breakingEndpoint answers every call but probes with the first bytes of an answer and closes the connection without a
// reset.
type breakingEndpoint struct {
	answer string
	bytes  atomic.Int64
}

func (b *breakingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		_, _ = io.WriteString(w, `{"boot":"b"}`)
		return
	}
	writeAndClose(w, r, b.answer[:b.bytes.Load()])
}

// writeAndClose writes the bytes as the answer and closes the connection without a reset.
func writeAndClose(w http.ResponseWriter, r *http.Request, answer string) {
	_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(c, answer)
	_ = c.Close()
}

// framings are the ways in which the end of a body is shown.
var framings = map[string]func(body string) string{
	"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
	"chunks": func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"connection": func(body string) string { return "Connection: close\r\n\r\n" + body },
}

// An endpoint closes its connection inside of an answer, at any byte. No part of it may count as a result, and half a
// refusal does not say that the call has not run.
func TestAnswerThatBreaksOff(t *testing.T) {
	const (
		step    = 3
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
		tokens  = "data: {\"index\":0,\"choices\":[{\"text\":\"hot \"}]}\n\n" +
			"data: {\"index\":1,\"choices\":[{\"text\":\"\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\ndata: [DONE]"
	)
	for _, c := range []struct {
		kind pipeline.Kind
		body string
	}{
		{pipeline.Encode, `{"vector":[0.5,1]}`},
		{pipeline.Retrieve, `{"documents":[{"id":"d"}]}`},
		{pipeline.Rerank, `{"documents":[{"id":"d"}]}`},
		{pipeline.Service, `{"booked":true}`},
		{pipeline.Service, "12500"},
		{pipeline.Generate, tokens},
	} {
		for framing, frame := range framings {
			for _, before := range []string{"", interim} {
				for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
					head := fmt.Sprintf("%sHTTP/1.1 %d %s\r\nX-Boot-Id: b\r\n", before, status, http.StatusText(status))
					if status != http.StatusOK {
						head += "X-Run-State: " + string(contract.NotRun) + "\r\n"
					}
					b := &breakingEndpoint{answer: head + frame(c.body)}
					headEnd := len(before) + strings.Index(b.answer[len(before):], "\r\n\r\n") + len("\r\n\r\n")
					driver, err := endpoint.New(c.kind, serve(t, b))
					if err != nil {
						t.Fatal(err)
					}
					for n := 0; n < len(b.answer); n += step {
						b.bytes.Store(int64(n))
						r := driver.Run(t.Context(), book("x"), func(string) {})
						switch {
						case status == http.StatusOK && r.Problem == nil && !(c.kind == pipeline.Generate && strings.Contains(b.answer[:n], "[DONE]")),
							n < headEnd && r.Problem.Run != contract.MayHaveRun, r.Crashed:
							t.Errorf("%s with status %d, end by %s, %d of %d bytes: %+v, problem %v", c.kind, status, framing, n, len(b.answer), r, r.Problem)
						}
					}
				}
			}
		}
	}
}

// An endpoint closes its connection in the head of its answer to a probe or an order, at any byte.
func TestProbeAndOrderThatBreakOff(t *testing.T) {
	const (
		step   = 3
		answer = "HTTP/1.1 200 OK\r\nX-Boot-Id: b\r\nContent-Length: 12\r\n\r\n{\"boot\":\"b\"}"
	)
	var bytes atomic.Int64
	driver, err := endpoint.NewEngine(serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeAndClose(w, r, answer[:bytes.Load()])
	})))
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n < strings.Index(answer, "{"); n += step {
		bytes.Store(int64(n))
		_, probeErr := driver.Probe(t.Context())
		_, servingErr := driver.Serving(t.Context())
		problem := driver.ApplyOrder(t.Context(), endpoint.Order{Kind: "model", Value: "m"})
		if probeErr == nil || servingErr == nil || problem == nil || problem.Run != contract.MayHaveRun {
			t.Errorf("%d of %d bytes: probe %v, serving state %v, order %v", n, len(answer), probeErr, servingErr, problem)
		}
	}
}
