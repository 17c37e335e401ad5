package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/platform/fleet"
)

const (
	// minAffinityTokens is the size of a shared prompt prefix from which it pays to prefer the
	// engine that has it cached.
	minAffinityTokens = 1024
	// prefillTokensPerMillisecond is the approximate rate at which an engine reads a prompt.
	prefillTokensPerMillisecond = 60
	// firstEventOverhead is the approximate time to the first event in addition to reading the
	// prompt.
	firstEventOverhead = 60 * time.Millisecond
)

// stageJob returns the job with the request's stages and prompt, and reports whether it has to be
// submitted: it has tasks, or its engine is chosen by the dispatcher from those that were not tried.
func (q *request) stageJob(tried map[string]bool) (dispatch.Job, bool) {
	f := q.filter()
	j := dispatch.Job{
		ID: q.headers.AttemptID, Key: q.headers.TaskKey, Rank: catalog.Rank(q.route, q.org),
		Target: q.waitingSince().Add(q.route.LatencyTarget), Deadline: q.nextEventDeadline(),
		Prompt: dispatch.Prompt{
			Service: q.service, Tokens: q.headers.PromptTokens, Version: f.Version, Excluded: f.Excluded, Tried: slices.Sorted(maps.Keys(tried)),
		},
	}
	for _, p := range q.headers.PromptPrefix {
		j.Prompt.Parts = append(j.Prompt.Parts, dispatch.Part{ID: p.ID, Tokens: p.Tokens})
	}
	if len(j.Prompt.Parts) > dispatch.MaxParts {
		q.gw.promptLimits.exceeded(q, trackedParts)
	}
	j.Prompt = j.Prompt.Bounded()
	tasks := 0
	for i, s := range q.route.Stages {
		n := 0
		if i < len(q.headers.TaskCounts) {
			n = q.headers.TaskCounts[i]
		}
		tasks += n
		j.Stages = append(j.Stages, dispatch.Stage{Service: s.Service, After: s.After, Tasks: n, ResultBytes: s.ResultBytes})
	}
	service := q.table.Services[q.service]
	return j, tasks > 0 || service != nil && service.Engine
}

// waitingSince returns when the client began to wait for the next event: when the last one was sent, or when the
// request's body had arrived.
func (q *request) waitingSince() time.Time {
	if !q.hasBegun() && !q.arrivedAt.IsZero() {
		return q.arrivedAt
	}
	return q.started.Add(time.Duration(q.lastEventAfter.Load()))
}

// hasBegun reports whether an event has been sent to the client.
func (q *request) hasBegun() bool { return q.lastEventAfter.Load() > 0 }

// clientPatience returns how long the client of a stream waits for an event. It is 0 for other requests.
func (q *request) clientPatience() time.Duration {
	if q.route == nil || q.route.Kind != catalog.Streaming {
		return 0
	}
	return fleet.ClientPatience(q.route.LatencyTarget, q.route.EventGapTarget)
}

// nextEventDeadline returns when the next event has to reach the client. Clients abandon a stream
// that stays silent long before the deadline of a long one.
func (q *request) nextEventDeadline() time.Time {
	abandoned := q.waitingSince().Add(q.clientPatience() - deadlineMargin)
	if q.route.Kind == catalog.Streaming && abandoned.Before(q.deadline) {
		return abandoned
	}
	return q.deadline
}

// sessionKey identifies a client that retries, as its next attempt has another ID.
func (q *request) sessionKey() string {
	lastPart := ""
	if n := len(q.headers.PromptPrefix); n > 0 {
		lastPart = q.headers.PromptPrefix[n-1].ID
	}
	return strings.Join([]string{q.organisationName(), q.route.Name, q.headers.TaskKey, lastPart}, "/")
}

// sharedPrefix returns a key for the part of the prompt that other requests share, and its size in
// tokens. The last part of the prefix is taken to be the request's own.
func (q *request) sharedPrefix() (key string, tokens int) {
	ids := q.sharedParts()
	for _, p := range q.headers.PromptPrefix[:len(ids)] {
		tokens += p.Tokens
	}
	return strings.Join(ids, ","), tokens
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share: all but the last.
func (q *request) sharedParts() []string {
	var ids []string
	for _, p := range q.headers.PromptPrefix[:max(len(q.headers.PromptPrefix)-1, 0)] {
		ids = append(ids, p.ID)
	}
	return ids
}

// prefillTime estimates the time to the first event of an idle engine that has none of the prompt
// cached.
func (q *request) prefillTime() time.Duration {
	return firstEventOverhead + time.Duration(q.headers.PromptTokens/prefillTokensPerMillisecond)*time.Millisecond
}

// sharedPrefixName returns the key of the shared prefix for logs, or "" if the prefix is smaller
// than minAffinityTokens.
func (q *request) sharedPrefixName() string {
	if key, tokens := q.sharedPrefix(); tokens >= minAffinityTokens {
		return key
	}
	return ""
}
