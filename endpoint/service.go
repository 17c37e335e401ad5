package endpoint

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/azurelead/azurelead/pipeline"
)

// Service drives one instance of an application service.
type Service struct{ *caller }

var (
	_ Endpoint = (*Service)(nil)
	_ Prober   = (*Service)(nil)
)

// NewService returns a driver of a service instance.
func NewService(o Options) (*Service, error) {
	c, err := newCaller(o)
	if err != nil {
		return nil, err
	}
	return &Service{caller: c}, nil
}

// Run implements Endpoint. It emits nothing.
func (s *Service) Run(ctx context.Context, call Call, _ func(string)) Result {
	started := time.Now()
	body := call.Input.Body
	if len(body) == 0 {
		body = json.RawMessage("{}")
	}
	var answer json.RawMessage
	path := "/op/" + url.PathEscape(call.Input.Operation)
	if bad := s.postJSON(ctx, path, call.Attempt, body, &answer); bad != nil {
		bad.Usage.EndpointUS = time.Since(started).Microseconds()
		return *bad
	}
	return Result{
		Output: pipeline.Output{Body: answer},
		Usage:  pipeline.Usage{EndpointUS: time.Since(started).Microseconds()},
	}
}
