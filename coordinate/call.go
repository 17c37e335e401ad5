package coordinate

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/stage"
	"github.com/azurelead/azurelead/upstream"
)

// runTasks makes one stage call and decodes its results. The Failure is 0 if err is nil.
func (c *Coordinator) runTasks(ctx context.Context, call dispatch.Call) ([]stage.Result, dispatch.Failure, error) {
	if !c.o.Roster.Usable(time.Now(), call.Endpoint.ID) {
		return nil, dispatch.Refused, upstream.NotSent.New("the endpoint may not get work any more")
	}
	out, err := fleet.StageRunCall(call.Endpoint.ID, call.Tasks)
	if err != nil {
		return nil, dispatch.ResponseLost, err
	}
	resp, body, err := c.send(ctx, call.Endpoint, out)
	switch {
	case upstream.NotSent.Has(err):
		return nil, dispatch.Unreachable, err
	case err != nil:
		return nil, dispatch.ResponseLost, err
	}
	if fleet.DecodeResponse(resp.StatusCode, resp.Header).NotRun {
		return nil, dispatch.Refused, upstream.Lost.New("status %d", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, dispatch.ResponseLost, upstream.Lost.New("status %d", resp.StatusCode)
	}
	results, err := fleet.DecodeStageRunResponse(body, len(call.Tasks))
	if err != nil {
		return nil, dispatch.ResponseLost, err
	}
	return results, 0, nil
}

// queryFreeMemory reads from an endpoint how much memory it has left for results and passes it to
// the dispatcher.
func (c *Coordinator) queryFreeMemory(e catalog.Endpoint) {
	if now := time.Now(); !c.o.Roster.Usable(now, e.ID) || c.o.Roster.HasRateLimit(now, e.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	_, body, err := c.send(ctx, e, fleet.ReportCall(e.ID))
	var free, limit int64
	if err == nil {
		free, limit, err = fleet.DecodeFreeBytes(body)
	}
	if err != nil {
		c.o.Logger.Info("could not read the free memory of an endpoint", "endpoint", e.ID, "error", err)
		return
	}
	c.mu.Lock()
	c.dispatcher.SetFreeMemory(time.Now(), e.Service, e.ID, free, limit)
	c.mu.Unlock()
	c.flush()
}

// FreeHandles frees results whose dispatcher was lost, at the endpoints that their handles name.
func (c *Coordinator) FreeHandles(handles []string) {
	now := time.Now()
	byAddress := make(map[string][]string)
	for _, h := range handles {
		byAddress[fleet.HandleAddress(h)] = append(byAddress[fleet.HandleAddress(h)], h)
	}
	c.mu.Lock()
	services := c.services
	c.mu.Unlock()
	for name, s := range services {
		if s.Stages == nil {
			continue
		}
		for _, e := range c.o.Roster.Endpoints(now, name) {
			if list := byAddress[e.Address]; len(list) > 0 {
				go c.freeResults(dispatch.FreeRequest{Endpoint: e, Handles: list})
			}
		}
	}
}

// logCall logs one line per call: the requests that shared it, its duration and its problems.
func (c *Coordinator) logCall(call dispatch.Call, elapsed time.Duration, results []stage.Result, err error) {
	problems := make(map[stage.Problem]int)
	for _, r := range results {
		if r.Problem != stage.NoProblem {
			problems[r.Problem]++
		}
	}
	var requests []string
	for _, t := range call.Tasks {
		if n := len(requests); n == 0 || requests[n-1] != t.AttemptID {
			requests = append(requests, t.AttemptID)
		}
	}
	attrs := []any{
		"service", call.Endpoint.Service, "endpoint", call.Endpoint.ID, "data_centre", call.Endpoint.DataCentre,
		"tasks", len(call.Tasks), "stage", call.Tasks[0].Stage, "requests", strings.Join(requests, ","), "took_ms", elapsed.Milliseconds(),
	}
	if len(problems) > 0 {
		attrs = append(attrs, "problems", problems)
	}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	c.o.Logger.Info("stage call", attrs...)
}
