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

// connTrace records whether a call obtained a connection. Without one, no byte of the call was sent.
type connTrace struct{ connected bool }

// attach returns r with the trace added to its context.
func (t *connTrace) attach(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.connected = true }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

// runState returns whether a call that failed with err may have run.
func (t *connTrace) runState(err error) contract.RunState {
	// The transport only retries a call of which nothing has been written. If its last attempt
	// failed to dial, no byte of the call was ever sent.
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return contract.NotRun
	}
	if !t.connected {
		return contract.NotRun
	}
	return contract.MayHaveRun
}

// failed returns the Result of a failed call.
func failed(code contract.Code, run contract.RunState, format string, args ...any) *Result {
	return &Result{Problem: contract.NewProblem(code, run, format, args...)}
}

// statusFailed returns the Result of a call to which the endpoint responded with an error status.
func statusFailed(resp *http.Response) *Result {
	run := reportedRunState(resp.Header)
	r := failed(codeForStatus(resp.StatusCode), run, "status %d: %s", resp.StatusCode, errorMessage(resp.Body))
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		r.Problem.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return r
}

// reportedRunState returns the run state that the endpoint states, or MayHaveRun if it states none.
func reportedRunState(h http.Header) contract.RunState {
	switch run := contract.RunState(h.Get(headerRunState)); run {
	case contract.NotRun, contract.Ran:
		return run
	}
	return contract.MayHaveRun
}

// codeForStatus maps the status of an error response to a problem code.
func codeForStatus(status int) contract.Code {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return contract.CodeOverloaded
	case status >= 400 && status < 500:
		return contract.CodeRejected
	}
	return contract.CodeEndpointFailed
}

func errorMessage(body io.Reader) string {
	var resp struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&resp); err != nil {
		return "no explanation"
	}
	return resp.Error
}
