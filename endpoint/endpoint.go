// Package endpoint talks to the back ends that do the work: model engines,
// encoders, retrievers, rerankers and application services, each by its
// published protocol.
package endpoint

import (
	"context"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// Call is one call of an endpoint.
type Call struct {
	Attempt  contract.AttemptID
	Priority int
	Input    pipeline.Input
}

// Result is the outcome of one call. Problem is nil on success.
type Result struct {
	Output  pipeline.Output
	Usage   pipeline.Usage
	Problem *contract.Problem
	// Crashed is set when the endpoint died while the call ran.
	Crashed bool
}

// Endpoint runs calls. Run reports tokens to emit in order as they arrive and
// honours ctx for cancellation and deadline.
type Endpoint interface {
	Run(ctx context.Context, call Call, emit func(token string)) Result
}
