package endpoint_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/standin"
)

const tokenCount = 40

// serve serves a simulated endpoint until the test ends.
func serve(t *testing.T, h http.Handler) endpoint.Options {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return endpoint.Options{URL: server.URL}
}

func newEngine(t *testing.T, o standin.EngineOptions) (*standin.Engine, *endpoint.Engine) {
	t.Helper()
	e := standin.NewEngine(o)
	driver, err := endpoint.NewEngine(serve(t, e.Handler()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Close)
	return e, driver
}

func newService(t *testing.T, o standin.ServiceOptions) (*standin.Service, *endpoint.Service) {
	t.Helper()
	s := standin.NewService(o)
	driver, err := endpoint.NewService(serve(t, s.Handler()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Close)
	return s, driver
}

func generate(prompt string) endpoint.Call {
	return endpoint.Call{
		Attempt: contract.NewAttemptID(),
		Input:   pipeline.Input{Prompt: prompt, MaxTokens: tokenCount},
	}
}

func book(reference string) endpoint.Call {
	body, _ := json.Marshal(map[string]string{"reference": reference})
	return endpoint.Call{
		Attempt: contract.NewAttemptID(),
		Input:   pipeline.Input{Operation: "book", Body: body},
	}
}

func collect(into *[]string) func(string) {
	return func(token string) { *into = append(*into, token) }
}

func TestEngineEmitsAllTokens(t *testing.T) {
	e, driver := newEngine(t, standin.EngineOptions{})
	call := generate("which anode fits the 300 litre tank?")
	var got []string
	r := driver.Run(t.Context(), call, collect(&got))
	if r.Problem != nil {
		t.Fatal(r.Problem)
	}
	if diff := cmp.Diff(standin.AnswerTokens(call.Input.Prompt, tokenCount), got); diff != "" {
		t.Fatal(diff)
	}
	if r.Usage.GeneratedTokens != len(got) || r.Usage.PromptTokens == 0 {
		t.Fatalf("unexpected usage: %+v", r.Usage)
	}
	if n := e.RunsOfAttempt(string(call.Attempt)); n != 1 {
		t.Fatalf("the attempt ran %d times, want 1", n)
	}
}

// TestCutStreamIsResumed guards against a resume that repeats or skips a token or that runs the call
// a second time.
func TestCutStreamIsResumed(t *testing.T) {
	e, driver := newEngine(t, standin.EngineOptions{})
	e.SetFaults(standin.EngineFaults{CutNext: 1, CutAfter: 7})
	call := generate("how is the thermostat reset?")
	var got []string
	r := driver.Run(t.Context(), call, collect(&got))
	if r.Problem != nil {
		t.Fatal(r.Problem)
	}
	if diff := cmp.Diff(standin.AnswerTokens(call.Input.Prompt, tokenCount), got); diff != "" {
		t.Fatal(diff)
	}
	if n := e.RunsOfAttempt(string(call.Attempt)); n != 1 {
		t.Fatalf("the attempt ran %d times, want 1", n)
	}
}

// TestCrashIsDistinguishedFromCutConnection checks that a call that crashes the endpoint's process is
// reported as a crash, and a connection that breaks while the process keeps running is not.
func TestCrashIsDistinguishedFromCutConnection(t *testing.T) {
	_, driver := newEngine(t, standin.EngineOptions{DownFor: time.Minute})
	r := driver.Run(t.Context(), generate("poison "+standin.CrashMarker), func(string) {})
	if r.Problem == nil || r.Problem.Run != contract.MayHaveRun || !r.Crashed {
		t.Fatalf("call that crashes the engine: result %+v, problem %v", r, r.Problem)
	}
	s, service := newService(t, standin.ServiceOptions{})
	s.SetFaults(standin.WorkerFaults{FailAfterNext: 1})
	r = service.Run(t.Context(), book("cut"), nil)
	if r.Problem == nil || r.Problem.Run != contract.MayHaveRun || r.Crashed {
		t.Fatalf("call with a cut connection: result %+v, problem %v", r, r.Problem)
	}
	if n := s.RunsOfReference("cut"); n != 1 {
		t.Fatalf("the call ran %d times, want 1", n)
	}
}

// TestRunStateMatchesService causes each kind of failure of a service call, and checks the run state
// and the code that the driver reports and the number of runs that the service counts.
func TestRunStateMatchesService(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   standin.WorkerFaults
		runState contract.RunState
		code     contract.Code
		runs     int
	}{
		{"refused", standin.WorkerFaults{RefuseNext: 1}, contract.NotRun, contract.CodeOverloaded, 0},
		{"connection lost before the run", standin.WorkerFaults{FailBeforeNext: 1}, contract.MayHaveRun, contract.CodeEndpointFailed, 0},
		{"connection lost after the run", standin.WorkerFaults{FailAfterNext: 1}, contract.MayHaveRun, contract.CodeEndpointFailed, 1},
		{"error", standin.WorkerFaults{FailAll: true}, contract.MayHaveRun, contract.CodeEndpointFailed, 1},
		{"hangs", standin.WorkerFaults{HangNext: 1}, contract.MayHaveRun, contract.CodeDeadlineExceeded, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, driver := newService(t, standin.ServiceOptions{})
			s.SetFaults(c.faults)
			ctx := t.Context()
			if c.faults.HangNext > 0 {
				timeoutCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
				defer cancel()
				ctx = timeoutCtx
			}
			r := driver.Run(ctx, book(c.name), nil)
			if r.Problem == nil || r.Problem.Run != c.runState || r.Problem.Code != c.code {
				t.Fatalf("unexpected problem: %v", r.Problem)
			}
			if n := s.RunsOfReference(c.name); n != c.runs {
				t.Fatalf("the call ran %d times, want %d", n, c.runs)
			}
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	driver, err := endpoint.NewService(endpoint.Options{URL: "http://" + addr})
	if err != nil {
		t.Fatal(err)
	}
	r := driver.Run(t.Context(), book("x"), nil)
	if r.Problem == nil || r.Problem.Run != contract.NotRun || r.Crashed {
		t.Fatalf("refused connection: result %+v, problem %v", r, r.Problem)
	}
}
