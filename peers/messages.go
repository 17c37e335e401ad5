// Package peers links the entries of a deployment with JSON-RPC 2.0 over TCP:
// who is alive, what each believes of the platform's objects, and the stages of
// requests on their way to the entry that dispatches them.
package peers

import (
	"time"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/link"
)

// The methods of the links. Calls go from the side that dialled, but for made.
const (
	methodHello   = "hello"
	methodPing    = "ping"
	methodStates  = "changes"
	methodSubmit  = "submit"
	methodResults = "made"    // notification, to the side that submitted
	methodCancel  = "cancel"  // notification
	methodRelease = "release" // notification
)

// Identity names one incarnation of an entry.
type Identity struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	// CPU is the share of a core that the entry has.
	CPU float64 `json:"cpu"`
}

// Hello opens a link and is its answer.
type Hello struct {
	Identity Identity `json:"identity"`
	// UptimeMS is how long the entry has run.
	UptimeMS int64 `json:"uptime_ms"`
	// Peers are the addresses of entries to link to: the hubs, or where all link
	// to all those that the sender has links to.
	Peers []string `json:"peers"`
	// Digests say what the sender knows, so that one that starts need not wait for
	// a ping to be told.
	Digests []follow.Digest `json:"digests,omitempty"`
}

// Ping keeps a link alive and is its answer.
type Ping struct {
	// Name is the sender's; it comes with digests.
	Name string `json:"name,omitempty"`
	// StoreAgeMS is how long ago the store answered the sender itself; negative
	// if it never has.
	StoreAgeMS int64 `json:"store_age_ms"`
	Leaving    bool  `json:"leaving,omitempty"`
	// DigestHash sums up the digests of all kinds: where both have the same, neither
	// tells more.
	DigestHash string          `json:"mark"`
	Digests    []follow.Digest `json:"digests,omitempty"`
	// Suspects are requests that crashed endpoints.
	Suspects []link.Suspect `json:"suspects,omitempty"`
}

// StatesParams asks for what changed since kinds were known.
type StatesParams struct {
	Since []follow.Position `json:"since"`
}

// Job is a request's stages on their way to the dispatcher. Times are durations
// from the moment of sending, so that no two clocks are compared.
type Job struct {
	ID         string           `json:"id"`
	Key        string           `json:"key"`
	Stages     []dispatch.Stage `json:"stages"`
	Rank       int              `json:"rank"`
	TargetMS   int64            `json:"target_ms"`
	DeadlineMS int64            `json:"deadline_ms"`
	Prompt     dispatch.Prompt  `json:"prompt"`
	// Subject recognises a client that comes back after a refusal.
	Subject string `json:"subject"`
	// PriorResults are results that a dispatcher before this one had made.
	PriorResults []dispatch.StageResults `json:"made,omitempty"`
	// Name and Incarnation are of the entry that submits the job.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// JobResults tells of results that were made for a job.
type JobResults struct {
	ID      string                  `json:"id"`
	Results []dispatch.StageResults `json:"made"`
}

// NewJob returns the message of a job.
func NewJob(now time.Time, j dispatch.Job, subject string, self Identity) Job {
	return Job{
		ID: j.ID, Key: j.Key, Stages: j.Stages, Rank: j.Rank, Prompt: j.Prompt, Subject: subject, PriorResults: j.PriorResults,
		Name: self.Name, Incarnation: self.Incarnation,
		TargetMS:   j.Target.Sub(now).Milliseconds(),
		DeadlineMS: j.Deadline.Sub(now).Milliseconds(),
	}
}

// Dispatch returns the job of a message that arrived now.
func (j Job) Dispatch(now time.Time) dispatch.Job {
	return dispatch.Job{
		ID: j.ID, Key: j.Key, Stages: j.Stages, Rank: j.Rank, Prompt: j.Prompt, PriorResults: j.PriorResults,
		Target:   now.Add(time.Duration(j.TargetMS) * time.Millisecond),
		Deadline: now.Add(time.Duration(j.DeadlineMS) * time.Millisecond),
	}
}

// Outcome is the answer to a job.
type Outcome struct {
	// Handles are the results that the request reads.
	Handles []string `json:"handles,omitempty"`
	// Engine is the one to ask; empty when none is known.
	Engine string `json:"engine,omitempty"`
	// FetchFrom is the address of an engine that has read parts of the prompt.
	FetchFrom string `json:"fetch_from,omitempty"`
	// Refused is set when no work was done.
	Refused      bool   `json:"refused,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Problem      string `json:"problem,omitempty"`
	// ForecastMS is how long the stages were expected to take.
	ForecastMS int64 `json:"forecast_ms,omitempty"`
	// TimeToFirstEventMS is the expected time from the results to the first event.
	TimeToFirstEventMS int64 `json:"tail_ms,omitempty"`
	// Dispatcher is the name of the entry that had the job; the one that asked
	// fills it in.
	Dispatcher string `json:"-"`
}

// JobParams names a job in notifications.
type JobParams struct {
	ID string `json:"id"`
	// EngineFailed is set when the job's engine broke off.
	EngineFailed bool `json:"engine_failed,omitempty"`
}
