package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
)

// OrderError is the class of failures to read what an engine serves.
var OrderError = errs.Class("engine orders")

// Order is an order to an engine in the engines' protocol.
type Order struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
	// Fence is the fencing number; some engines refuse old ones.
	Fence uint64 `json:"fence"`
}

// ServingState is what an engine serves.
type ServingState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// ApplyOrder gives one order and returns when it is in force. It returns a problem
// when the engine refused it or did not answer.
func (e *Engine) ApplyOrder(ctx context.Context, o Order) *contract.Problem {
	resp, bad := e.post(ctx, "/orders", "", o)
	if bad != nil {
		return bad.Problem
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	return nil
}

// Serving asks what the engine serves now.
func (e *Engine) Serving(ctx context.Context) (ServingState, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/orders", nil)
	if err != nil {
		return ServingState{}, OrderError.Wrap(err)
	}
	resp, err := e.http.Do(r)
	if err != nil {
		return ServingState{}, OrderError.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ServingState{}, OrderError.New("the engine answered %s", resp.Status)
	}
	var s ServingState
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&s)
	return s, OrderError.Wrap(err)
}
