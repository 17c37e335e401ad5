package gateway

import (
	"strings"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/placement"
	"github.com/azurelead/azurelead/roster"
)

const (
	// affinityTokens of shared prompt make it worth while to ask the engine that
	// has read them.
	affinityTokens = 1024
	// tokensPerMillisecond is about how fast an engine reads a prompt.
	tokensPerMillisecond = 60
	// missShare of the requests find the shared parts of their prompt not read.
	missShare = 0.3
	// engineOverhead is the time to a first event besides reading the prompt.
	engineOverhead = 60 * time.Millisecond
	// missPenalty is what reading the shared parts again costs besides its time.
	missPenalty = 150 * time.Millisecond
	// awayPenalty is what a model engine in another data centre costs, as time.
	awayPenalty = 4 * time.Millisecond
)

// job returns the request's stages, and whether there is anything to do.
func (q *request) job() (dispatch.Job, bool) {
	j := dispatch.Job{
		ID: q.head.Attempt, Key: q.head.TaskKey, Rank: catalog.Rank(q.route, q.org),
		Target: q.began.Add(q.route.Target), Deadline: q.deadline, Tail: q.tail(),
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
	if tasks == 0 {
		return j, false
	}
	j.Places = q.places()
	return j, true
}

// subject recognises a client that comes back: its attempt has another id.
func (q *request) subject() string {
	last := ""
	if n := len(q.head.Prefix); n > 0 {
		last = q.head.Prefix[n-1].ID
	}
	return strings.Join([]string{q.organisation(), q.route.Name, q.head.TaskKey, last}, "/")
}

// sharedPrefix is the part of the prompt that other requests share, and its size.
func (q *request) sharedPrefix() (key string, tokens int) {
	if len(q.head.Prefix) < 2 {
		return "", 0
	}
	var ids []string
	for _, p := range q.head.Prefix[:len(q.head.Prefix)-1] {
		ids = append(ids, p.ID)
		tokens += p.Tokens
	}
	return strings.Join(ids, ","), tokens
}

// tail is the expected time from the results of the stages to the first event.
func (q *request) tail() time.Duration {
	_, shared := q.sharedPrefix()
	read := float64(max(q.head.PromptTokens-shared, 0)) + missShare*float64(shared)
	return engineOverhead + time.Duration(read/tokensPerMillisecond*float64(time.Millisecond))
}

// places lists the data centres whose engines may serve the request.
func (q *request) places() []dispatch.Place {
	candidates := q.g.o.Roster.Candidates(time.Now(), q.service, q.regions())
	key, shared := q.sharedPrefix()
	if shared < affinityTokens {
		return q.nearPlaces(candidates)
	}
	var list []dispatch.Place
	miss := missPenalty + time.Duration(float64(shared)/tokensPerMillisecond*float64(time.Millisecond))
	for i, c := range placement.ByPrefix(key, candidates) {
		if hasPlace(list, c.DataCentre) {
			continue
		}
		p := dispatch.Place{DataCentre: c.DataCentre}
		if i > 0 {
			p.Penalty = miss
		}
		list = append(list, p)
	}
	return list
}

func (q *request) nearPlaces(candidates []roster.Candidate) []dispatch.Place {
	var list []dispatch.Place
	for _, c := range candidates {
		if hasPlace(list, c.DataCentre) {
			continue
		}
		p := dispatch.Place{DataCentre: c.DataCentre}
		if c.DataCentre != q.g.o.DataCentre {
			p.Penalty = awayPenalty
		}
		list = append(list, p)
	}
	return list
}

func hasPlace(list []dispatch.Place, dataCentre string) bool {
	for _, p := range list {
		if p.DataCentre == dataCentre {
			return true
		}
	}
	return false
}
