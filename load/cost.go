package load

import (
	"sort"

	"github.com/azurelead/azurelead/entry"
)

// StageCost is what one stage cost over a run. Joined callers cost nothing:
// the run that they share counts once, for its first caller.
type StageCost struct {
	Stage           string  `json:"stage"`
	Calls           int     `json:"calls"`
	Attempts        int     `json:"attempts"`
	Retries         int     `json:"retries"`
	Redirects       int     `json:"redirects"`
	Hedges          int     `json:"hedges"`
	EndpointSeconds float64 `json:"endpoint_seconds"`
	PromptTokens    int     `json:"prompt_tokens"`
	CachedTokens    int     `json:"cached_tokens"`
	GeneratedTokens int     `json:"generated_tokens"`
	// Wasted is the part spent on requests that were not answered in time.
	WastedSeconds float64   `json:"wasted_seconds"`
	WastedTokens  int       `json:"wasted_tokens"`
	Duration      Quantiles `json:"duration"`
}

// FleetStats is what the stand-ins themselves counted over a whole run, its warm-up
// included.
type FleetStats struct {
	// GeneratedTokens counts every token that an engine made, CancelledTokens
	// those of calls that did not come to their end.
	GeneratedTokens int64 `json:"generated_tokens"`
	CancelledTokens int64 `json:"cancelled_tokens"`
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	// Crashes counts endpoints that fell over, Refused their own refusals.
	Crashes int `json:"crashes"`
	Refused int `json:"refused"`
	// ColdMarks counts how often agents took their endpoint for cold, by reason.
	ColdMarks map[string]int `json:"cold_turns,omitempty"`
	// RepeatedReferences counts bookings that a service ran more than once.
	RepeatedReferences int `json:"repeated_references"`
	ServiceRuns        int `json:"service_runs"`
	// PlatformReads and PlatformWrites count calls of the platform.
	PlatformReads  int64 `json:"platform_reads"`
	PlatformWrites int64 `json:"platform_writes"`
}

// costs sums the stages of all requests.
func costs(samples []Sample) []StageCost {
	byStage := make(map[string]*stageSum)
	for _, s := range samples {
		if s.Joined {
			continue
		}
		for _, r := range s.Stages {
			sum, ok := byStage[r.Stage]
			if !ok {
				sum = &stageSum{cost: StageCost{Stage: r.Stage}}
				byStage[r.Stage] = sum
			}
			sum.add(r, s.Outcome == OutcomeOnTime)
		}
	}
	var out []StageCost
	for _, sum := range byStage {
		out = append(out, sum.done())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Stage < out[j].Stage })
	return out
}

// stageSum adds up one stage.
type stageSum struct {
	cost      StageCost
	durations []int64
}

const microsecondsPerSecond = 1e6

func (s *stageSum) add(r entry.StageReport, useful bool) {
	c := &s.cost
	c.Calls++
	c.Attempts += r.Attempts
	c.Retries += r.Retries
	c.Redirects += r.Redirects
	c.Hedges += r.Hedges
	seconds := float64(r.Usage.EndpointUS) / microsecondsPerSecond
	c.EndpointSeconds += seconds
	c.PromptTokens += r.Usage.PromptTokens
	c.CachedTokens += r.Usage.CachedTokens
	c.GeneratedTokens += r.Usage.GeneratedTokens
	if !useful {
		c.WastedSeconds += seconds
		c.WastedTokens += r.Usage.GeneratedTokens
	}
	if r.Code == "" {
		s.durations = append(s.durations, r.DurationUS)
	}
}

func (s *stageSum) done() StageCost {
	s.cost.Duration = timesOfMicroseconds(s.durations)
	return s.cost
}
