// Package endpoint has the drivers of the back ends that run calls: model engines, encoders,
// retrievers, rerankers and application services, each with its own protocol.
package endpoint

import (
	"context"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// Call is a call to an endpoint.
type Call struct {
	Attempt  contract.AttemptID
	Priority int
	Input    pipeline.Input
}

// Result is the outcome of a call. Problem is nil on success.
type Result struct {
	Output  pipeline.Output
	Usage   pipeline.Usage
	Problem *contract.Problem
	// Crashed is set if the endpoint crashed while the call was running.
	Crashed bool
}

// Endpoint runs calls. Run passes generated tokens to emit in order as they arrive. It honours the
// cancellation and the deadline of ctx.
type Endpoint interface {
	Run(ctx context.Context, call Call, emit func(token string)) Result
}
