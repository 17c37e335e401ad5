package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
)

// OrderError is the class of errors of Engine.Serving.
var OrderError = errs.Class("engine orders")

// maxStateBytes limits the size of the state that an engine reports.
const maxStateBytes = 64 << 10

// Order is a change of what an engine serves, as encoded in the engine protocol.
type Order struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
	// Fence is the fencing number; some engines refuse numbers below one that they have seen.
	Fence uint64 `json:"fence"`
}

// ServingState describes what an engine serves.
type ServingState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// ApplyOrder sends an order and returns when the engine has carried it out. It returns a problem if
// the engine refuses the order or does not respond.
func (e *Engine) ApplyOrder(ctx context.Context, o Order) *contract.Problem {
	resp, failure := e.post(ctx, "/orders", "", o)
	if failure != nil {
		return failure.Problem
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return nil
}

// Serving returns what the engine currently serves.
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&s)
	return s, OrderError.Wrap(err)
}
