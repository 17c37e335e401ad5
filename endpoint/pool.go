package endpoint

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// Pool drives one member of a pool of encoders, retrievers or rerankers.
type Pool struct {
	*caller
	path string
}

var (
	_ Endpoint = (*Pool)(nil)
	_ Prober   = (*Pool)(nil)
)

// NewPool returns a driver of a pool member that does kind.
func NewPool(kind pipeline.Kind, o Options) (*Pool, error) {
	paths := map[pipeline.Kind]string{
		pipeline.Encode: "/encode", pipeline.Retrieve: "/retrieve", pipeline.Rerank: "/rerank",
	}
	path, ok := paths[kind]
	if !ok {
		return nil, Error.New("%q is not a kind of pool", kind)
	}
	c, err := newCaller(o)
	if err != nil {
		return nil, err
	}
	return &Pool{caller: c, path: path}, nil
}

// poolCall is the body of every call of a pool.
type poolCall struct {
	Text      string              `json:"text"`
	Vector    []float32           `json:"vector,omitempty"`
	Documents []pipeline.Document `json:"documents,omitempty"`
}

// poolAnswer is the answer of every call of a pool.
type poolAnswer struct {
	Vector    []float32           `json:"vector"`
	Documents []pipeline.Document `json:"documents"`
}

// Run implements Endpoint. It emits nothing.
func (p *Pool) Run(ctx context.Context, call Call, _ func(string)) Result {
	started := time.Now()
	body := poolCall{Text: call.Input.Text, Vector: call.Input.Vector, Documents: call.Input.Documents}
	var a poolAnswer
	if bad := p.postJSON(ctx, p.path, call.Attempt, body, &a); bad != nil {
		bad.Usage.EndpointUS = time.Since(started).Microseconds()
		return *bad
	}
	if p.path == "/encode" && len(a.Vector) == 0 {
		return *failed(contract.CodeEndpointFailed, contract.MayHaveRun, "the answer has no vector")
	}
	return Result{
		Output: pipeline.Output{Vector: a.Vector, Documents: a.Documents},
		Usage:  pipeline.Usage{EndpointUS: time.Since(started).Microseconds()},
	}
}
