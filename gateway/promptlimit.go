package gateway

import (
	"time"

	"golang.org/x/time/rate"
)

// promptLimit is a limit of prompts that clients may exceed.
type promptLimit string

const (
	// trackedParts is the number of parts of a prompt that are tracked. A prompt of more is served.
	trackedParts promptLimit = "parts"
	// cachedTokens is the length of a prompt that an engine can hold. No engine serves a longer one.
	cachedTokens promptLimit = "length"
)

// promptLogInterval is the least time between two log lines about prompts that exceed a limit.
const promptLogInterval = 10 * time.Second

// promptLimits counts and logs the prompts that exceed a limit.
type promptLimits struct {
	opts Options
	log  rate.Sometimes
}

func newPromptLimits(opts Options) *promptLimits {
	return &promptLimits{opts: opts, log: rate.Sometimes{Interval: promptLogInterval}}
}

// exceeded records that the prompt of a request exceeds a limit.
func (p *promptLimits) exceeded(q *request, limit promptLimit) {
	p.opts.Metrics.LimitedPrompts.WithLabelValues(string(limit)).Inc()
	p.log.Do(func() {
		p.opts.Logger.Warn("prompt exceeds a limit", "limit", string(limit), "organisation", q.organisationName(), "route", q.route.Name,
			"parts", len(q.headers.PromptPrefix), "tokens", q.headers.PromptTokens)
	})
}
