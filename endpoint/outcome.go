package endpoint

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// connectionWatch sees whether a call ever had a connection: before that, no
// byte of it can have left.
type connectionWatch struct{ connected bool }

func (w *connectionWatch) watch(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { w.connected = true }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

// run returns whether a call that failed with err may have run.
func (w *connectionWatch) run(err error) contract.RunState {
	// The transport sends a call anew only when nothing of it was written, so
	// that a failed dial at the end means that nothing ever was.
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return contract.NotRun
	}
	if !w.connected {
		return contract.NotRun
	}
	return contract.MayHaveRun
}

func failed(code contract.Code, run contract.RunState, format string, args ...any) *Result {
	return &Result{Problem: contract.NewProblem(code, run, format, args...)}
}

// refused is the result of a call that the endpoint answered with an error.
func refused(resp *http.Response) *Result {
	run := statedRun(resp.Header)
	r := failed(codeOf(resp.StatusCode), run, "status %d: %s", resp.StatusCode, explanation(resp.Body))
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		r.Problem.After(time.Duration(seconds) * time.Second)
	}
	return r
}

// statedRun returns what the endpoint says about the run; an endpoint that
// says nothing may have run the call.
func statedRun(h http.Header) contract.RunState {
	switch run := contract.RunState(h.Get(headerRunState)); run {
	case contract.NotRun, contract.Ran:
		return run
	}
	return contract.MayHaveRun
}

func codeOf(status int) contract.Code {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return contract.CodeOverloaded
	case status >= 400 && status < 500:
		return contract.CodeRejected
	}
	return contract.CodeEndpointFailed
}

func explanation(body io.Reader) string {
	var e struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&e); err != nil {
		return "no explanation"
	}
	return e.Error
}
