package entry

import (
	"encoding/json"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
)

// StageReport tells a caller what became of one stage, and what it cost.
type StageReport struct {
	Stage string            `json:"stage"`
	Kind  pipeline.Kind     `json:"kind"`
	Run   contract.RunState `json:"run"`
	Code  contract.Code     `json:"code,omitempty"`
	// Attempts counts the calls handed to links, with retries, redirects and hedges.
	Attempts int `json:"attempts"`
	// Retries counts attempts after one that failed.
	Retries int `json:"retries,omitempty"`
	// Redirects counts attempts after an agent refused one as not run.
	Redirects int `json:"redirects,omitempty"`
	// Hedges counts attempts that were sent beside a slow one.
	Hedges int `json:"hedges,omitempty"`
	// Replayed is set when the outcome is that of an earlier request with the same key.
	Replayed   bool           `json:"replayed,omitempty"`
	Endpoint   string         `json:"endpoint,omitempty"`
	DurationUS int64          `json:"duration_us"`
	Usage      pipeline.Usage `json:"usage"`
}

// ServiceResult is the result of one service stage.
type ServiceResult struct {
	Stage     string          `json:"stage"`
	Operation string          `json:"operation"`
	Body      json.RawMessage `json:"body"`
}

// Answer is the whole answer to a request.
type Answer struct {
	RequestID contract.RequestID `json:"request_id"`
	Pipeline  string             `json:"pipeline"`
	// Answer is the text of the last generate stage; streams leave it out,
	// because its tokens were sent before.
	Answer  string          `json:"answer,omitempty"`
	Results []ServiceResult `json:"results,omitempty"`
	// Count and Digest are of the answer's tokens in order.
	Count  int    `json:"count"`
	Digest string `json:"digest"`
	// Joined is set when the run was shared with an earlier request.
	Joined bool              `json:"joined,omitempty"`
	Run    contract.RunState `json:"run"`
	Stages []StageReport     `json:"stages"`
	Cost   pipeline.Usage    `json:"cost"`
}

// ProblemReport is a problem together with the stages run before it.
type ProblemReport struct {
	*contract.Problem
	Stages []StageReport `json:"stages,omitempty"`
}

// requestRun states whether a request ran. Where stages may not be repeated,
// the state is of those alone: a caller asks whether the booking was made, not
// whether the question was encoded. Else it is of all stages.
func requestRun(p settings.Pipeline, reports []StageReport) contract.RunState {
	onlyOnce := once(p)
	run := contract.NotRun
	for i, r := range reports {
		if !onlyOnce || p.Stages[i].Once {
			run = run.LeastCertain(r.Run)
		}
	}
	return run
}

func totalUsage(reports []StageReport) pipeline.Usage {
	var u pipeline.Usage
	for _, r := range reports {
		u = addUsage(u, r.Usage)
	}
	return u
}

func addUsage(a, b pipeline.Usage) pipeline.Usage {
	return pipeline.Usage{
		PromptTokens:    a.PromptTokens + b.PromptTokens,
		CachedTokens:    a.CachedTokens + b.CachedTokens,
		GeneratedTokens: a.GeneratedTokens + b.GeneratedTokens,
		EndpointUS:      a.EndpointUS + b.EndpointUS,
	}
}
