package entry

import (
	"encoding/json"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
)

// StageReport describes the outcome and the cost of one stage.
type StageReport struct {
	Stage string            `json:"stage"`
	Kind  pipeline.Kind     `json:"kind"`
	Run   contract.RunState `json:"run"`
	Code  contract.Code     `json:"code,omitempty"`
	// Attempts counts the calls that were sent, including retries, redirects and hedges.
	Attempts int `json:"attempts"`
	// Retries counts the attempts after a failed one.
	Retries int `json:"retries,omitempty"`
	// Redirects counts the attempts after an agent refused one as not run.
	Redirects int `json:"redirects,omitempty"`
	// Hedges counts the attempts that were sent in parallel to a slow one.
	Hedges int `json:"hedges,omitempty"`
	// Replayed is set if the outcome is that of an earlier request with the same key.
	Replayed   bool           `json:"replayed,omitempty"`
	Endpoint   string         `json:"endpoint,omitempty"`
	DurationUS int64          `json:"duration_us"`
	Usage      pipeline.Usage `json:"usage"`
}

// ServiceResult is the result of a service stage.
type ServiceResult struct {
	Stage     string          `json:"stage"`
	Operation string          `json:"operation"`
	Body      json.RawMessage `json:"body"`
}

// Answer is the complete answer to a request.
type Answer struct {
	RequestID contract.RequestID `json:"request_id"`
	Pipeline  string             `json:"pipeline"`
	// Answer is the text of the last generate stage. Streams omit it, because they have
	// sent its tokens already.
	Answer  string          `json:"answer,omitempty"`
	Results []ServiceResult `json:"results,omitempty"`
	// Count and Digest are of the answer's tokens in order.
	Count  int    `json:"count"`
	Digest string `json:"digest"`
	// Joined is set if the request shared the run of an earlier one.
	Joined bool              `json:"joined,omitempty"`
	Run    contract.RunState `json:"run"`
	Stages []StageReport     `json:"stages"`
	Cost   pipeline.Usage    `json:"cost"`
}

// ProblemReport is a problem with the reports of the stages up to it.
type ProblemReport struct {
	*contract.Problem
	Stages []StageReport `json:"stages,omitempty"`
}

// requestRunState returns whether a request ran. If the pipeline has stages that may
// not be repeated, only those count: the caller needs to know whether the booking was
// made, not whether the question was encoded. Otherwise all stages count.
func requestRunState(p settings.Pipeline, reports []StageReport) contract.RunState {
	onlyOnce := hasOnceStage(p)
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
