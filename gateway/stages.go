package gateway

import (
	"strings"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
)

const (
	// affinityTokens of shared prompt make it worth while to ask the engine that
	// has read them.
	affinityTokens = 1024
	// tokensPerMillisecond is about how fast an engine reads a prompt.
	tokensPerMillisecond = 60
	// engineOverhead is the time to a first event besides reading the prompt.
	engineOverhead = 60 * time.Millisecond
)

// job returns the request's stages and prompt, and whether there is anything
// to decide for it.
func (q *request) job() (dispatch.Job, bool) {
	j := dispatch.Job{
		ID: q.head.AttemptID, Key: q.head.TaskKey, Rank: catalog.Rank(q.route, q.org),
		Target: q.began.Add(q.route.LatencyTarget), Deadline: q.deadline,
		Prompt: dispatch.Prompt{Service: q.service, Tokens: q.head.PromptTokens},
	}
	for _, p := range q.head.PromptPrefix {
		j.Prompt.Parts = append(j.Prompt.Parts, dispatch.Part{ID: p.ID, Tokens: p.Tokens})
	}
	tasks := 0
	for i, s := range q.route.Stages {
		n := 0
		if i < len(q.head.TaskCounts) {
			n = q.head.TaskCounts[i]
		}
		tasks += n
		j.Stages = append(j.Stages, dispatch.Stage{Service: s.Service, After: s.After, Tasks: n, ResultBytes: s.ResultBytes})
	}
	service := q.table.Services[q.service]
	return j, tasks > 0 || service != nil && service.Engine
}

// subject recognises a client that comes back: its attempt has another id.
func (q *request) subject() string {
	last := ""
	if n := len(q.head.PromptPrefix); n > 0 {
		last = q.head.PromptPrefix[n-1].ID
	}
	return strings.Join([]string{q.organisation(), q.route.Name, q.head.TaskKey, last}, "/")
}

// sharedPrefix is the part of the prompt that other requests share, and its size.
func (q *request) sharedPrefix() (key string, tokens int) {
	if len(q.head.PromptPrefix) < 2 {
		return "", 0
	}
	var ids []string
	for _, p := range q.head.PromptPrefix[:len(q.head.PromptPrefix)-1] {
		ids = append(ids, p.ID)
		tokens += p.Tokens
	}
	return strings.Join(ids, ","), tokens
}

// readTime is about how long an idle engine takes to the first event if it has
// read nothing of the prompt.
func (q *request) readTime() time.Duration {
	return engineOverhead + time.Duration(q.head.PromptTokens/tokensPerMillisecond)*time.Millisecond
}

// sharedName names the shared parts of the prompt in logs; empty for small ones.
func (q *request) sharedName() string {
	if key, tokens := q.sharedPrefix(); tokens >= affinityTokens {
		return key
	}
	return ""
}
