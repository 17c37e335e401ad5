package endpoint

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/azurelead/azurelead/pipeline"
)

// Service is the driver of one instance of an application service.
type Service struct{ *client }

var (
	_ Endpoint = (*Service)(nil)
	_ Prober   = (*Service)(nil)
)

// NewService returns a driver of a service instance.
func NewService(o Options) (*Service, error) {
	c, err := newClient(o)
	if err != nil {
		return nil, err
	}
	return &Service{client: c}, nil
}

// Run implements Endpoint. It emits no tokens.
func (s *Service) Run(ctx context.Context, call Call, _ func(string)) Result {
	start := time.Now()
	body := call.Input.Body
	if len(body) == 0 {
		body = json.RawMessage("{}")
	}
	var response json.RawMessage
	path := "/op/" + url.PathEscape(call.Input.Operation)
	if failure := s.postJSON(ctx, path, call.Attempt, body, &response); failure != nil {
		failure.Usage.EndpointUS = time.Since(start).Microseconds()
		return *failure
	}
	return Result{
		Output: pipeline.Output{Body: response},
		Usage:  pipeline.Usage{EndpointUS: time.Since(start).Microseconds()},
	}
}
