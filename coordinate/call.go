package coordinate

import (
	"net/http"
	"time"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/stage"
	"github.com/azurelead/azurelead/upstream"
)

// stageRun sends one call and reads its results.
func (c *Coordinator) stageRun(call dispatch.Call) ([]stage.Result, dispatch.Failure, error) {
	if !c.o.Roster.Usable(time.Now(), call.Endpoint.ID) {
		return nil, dispatch.Refused, upstream.NotSent.New("the endpoint may not get work any more")
	}
	out, err := fleet.StageRun(call.Endpoint.ID, call.Tasks)
	if err != nil {
		return nil, dispatch.Lost, err
	}
	resp, body, err := c.send(call.Endpoint, out, call.Timeout)
	switch {
	case upstream.NotSent.Has(err):
		return nil, dispatch.Unreachable, err
	case err != nil:
		return nil, dispatch.Lost, err
	}
	if fleet.DecodeResponse(resp.StatusCode, resp.Header).NotRun {
		return nil, dispatch.Refused, upstream.Lost.New("status %d", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, dispatch.Lost, upstream.Lost.New("status %d", resp.StatusCode)
	}
	results, err := fleet.DecodeStageRun(body, len(call.Tasks))
	if err != nil {
		return nil, dispatch.Lost, err
	}
	return results, 0, nil
}
