package endpoint

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// Pool is the driver of one member of a pool of encoders, retrievers or rerankers.
type Pool struct {
	*client
	path string
}

var (
	_ Endpoint = (*Pool)(nil)
	_ Prober   = (*Pool)(nil)
)

// NewPool returns a driver of a pool member that runs stages of the given kind.
func NewPool(kind pipeline.Kind, o Options) (*Pool, error) {
	paths := map[pipeline.Kind]string{
		pipeline.Encode: "/encode", pipeline.Retrieve: "/retrieve", pipeline.Rerank: "/rerank",
	}
	path, ok := paths[kind]
	if !ok {
		return nil, Error.New("%q is not a kind of pool", kind)
	}
	c, err := newClient(o)
	if err != nil {
		return nil, err
	}
	return &Pool{client: c, path: path}, nil
}

// poolRequest is the body of every call to a pool member.
type poolRequest struct {
	Text      string              `json:"text"`
	Vector    []float32           `json:"vector,omitempty"`
	Documents []pipeline.Document `json:"documents,omitempty"`
}

// poolResponse is the body of every successful response of a pool member.
type poolResponse struct {
	Vector    []float32           `json:"vector"`
	Documents []pipeline.Document `json:"documents"`
}

// Run implements Endpoint. It emits no tokens.
func (p *Pool) Run(ctx context.Context, call Call, _ func(string)) Result {
	start := time.Now()
	body := poolRequest{Text: call.Input.Text, Vector: call.Input.Vector, Documents: call.Input.Documents}
	var response poolResponse
	if failure := p.postJSON(ctx, p.path, call.Attempt, body, &response); failure != nil {
		failure.Usage.EndpointUS = time.Since(start).Microseconds()
		return *failure
	}
	if p.path == "/encode" && len(response.Vector) == 0 {
		return *failed(contract.CodeEndpointFailed, contract.MayHaveRun, "the answer has no vector")
	}
	return Result{
		Output: pipeline.Output{Vector: response.Vector, Documents: response.Documents},
		Usage:  pipeline.Usage{EndpointUS: time.Since(start).Microseconds()},
	}
}
