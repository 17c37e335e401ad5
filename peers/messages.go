// Package peers links the entries of a deployment with JSON-RPC 2.0 over TCP. The
// links carry liveness checks, each entry's view of the platform's objects, and
// the stages of requests for the entry that dispatches them.
package peers

import (
	"time"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/rollout"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/suspect"
)

// The methods of the links. The side that dialled calls them, except for methodResults.
const (
	methodHello    = "hello"
	methodPing     = "ping"
	methodStates   = "changes"
	methodPart     = "part"
	methodEndParts = "end_parts" // notification, of a peer that needs no further parts
	methodSubmit   = "submit"
	methodResults  = "made"    // notification, sent to the side that submitted the job
	methodCancel   = "cancel"  // notification
	methodRelease  = "release" // notification
	methodOrigins  = "origins"
	// methodFindOrigin asks for the origin of a stream.
	methodFindOrigin = "find_origin"
	// methodStoreOrigins passes origins of streams to the dispatcher, which writes them to the store.
	methodStoreOrigins = "store_origins"
	// methodRollouts reports on roll-outs to the dispatcher, which replies with its directions.
	methodRollouts = "rollouts"
)

// Identity identifies one incarnation of an entry.
type Identity struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	// CPU is the share of a core that the entry has.
	CPU float64 `json:"cpu"`
}

// Hello is the first message on a link, and the reply to it.
type Hello struct {
	Identity Identity `json:"identity"`
	// UptimeMS is how long the entry has run, in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	// Peers are the addresses of entries to link to: the hubs, or in a full mesh
	// all entries that the sender has links to.
	Peers []string `json:"peers"`
	// Digests describe the sender's states, so that a starting entry can fetch them
	// without waiting for a ping.
	Digests []follow.Digest `json:"digests,omitempty"`
	// SuspectParts are the marks of prompt parts that may crash endpoints.
	SuspectParts []suspect.PartMark `json:"suspect_parts,omitempty"`
	// SuspectRequests are the marks of requests that may crash endpoints.
	SuspectRequests []suspect.PartMark `json:"suspect_requests,omitempty"`
}

// Ping is the periodic liveness check of a link, and the reply to it.
type Ping struct {
	// Name is the sender's name; it is set only together with Digests or Leaving.
	Name string `json:"name,omitempty"`
	// StoreAgeMS is the time since the store last answered the sender itself, in
	// milliseconds; negative if it never has.
	StoreAgeMS int64 `json:"store_age_ms"`
	Leaving    bool  `json:"leaving,omitempty"`
	// AsksUptime is set while the sender knows the peer's start only roughly. The reply then has UptimeMS, how
	// long the peer has run, in milliseconds.
	AsksUptime bool  `json:"asks_uptime,omitempty"`
	UptimeMS   int64 `json:"uptime_ms,omitempty"`
	// DigestHash is a hash of the digests of all kinds. Digests is left out if the peer
	// last sent an equal hash, as neither side has newer states then.
	DigestHash string          `json:"mark"`
	Digests    []follow.Digest `json:"digests,omitempty"`
	// SuspectParts and SuspectRequests are those of the marks in Hello that have changed.
	SuspectParts    []suspect.PartMark `json:"suspect_parts,omitempty"`
	SuspectRequests []suspect.PartMark `json:"suspect_requests,omitempty"`
	// Notices are what endpoints demanded that the peer has not been sent on this connection. In the
	// reply, LastNotice is the number of the last of them; the next ping names it in NoticesAfter.
	Notices      []roster.Notice `json:"notices,omitempty"`
	LastNotice   uint64          `json:"last_notice,omitempty"`
	NoticesAfter uint64          `json:"notices_after,omitempty"`
}

// StatesParams requests the changes since the given positions.
type StatesParams struct {
	Since []follow.Position `json:"since"`
}

// Job carries the stages of a request to the dispatcher. Its times are durations
// from the moment of sending, so that the clocks of two entries are never compared.
type Job struct {
	// ID is the attempt id of the request, Run the number of its earlier jobs.
	ID         string           `json:"id"`
	Run        int              `json:"run,omitempty"`
	Key        string           `json:"key"`
	Stages     []dispatch.Stage `json:"stages"`
	Rank       int              `json:"rank"`
	TargetMS   int64            `json:"target_ms"`
	DeadlineMS int64            `json:"deadline_ms"`
	Prompt     dispatch.Prompt  `json:"prompt"`
	// Subject identifies a client that retries after a refusal.
	Subject string `json:"subject"`
	// PriorResults are the results that were produced under an earlier dispatcher.
	PriorResults []dispatch.StageResults `json:"made,omitempty"`
	// Name and Incarnation identify the entry that submits the job.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// JobResults reports results that were produced for a job.
type JobResults struct {
	ID      string                  `json:"id"`
	Run     int                     `json:"run,omitempty"`
	Results []dispatch.StageResults `json:"made"`
}

// RolloutReports are an entry's reports on the roll-outs that are undecided.
type RolloutReports struct {
	// Incarnation identifies the entry's process.
	Incarnation string           `json:"incarnation"`
	Reports     []rollout.Report `json:"reports"`
}

// RolloutDirections are the reply to RolloutReports.
type RolloutDirections struct {
	Directions []rollout.Direction `json:"directions,omitempty"`
}

// NewJob returns the message for a job that is sent at the time now.
func NewJob(now time.Time, j dispatch.Job, subject string, self Identity) Job {
	return Job{
		ID: j.ID, Run: j.Run, Key: j.Key, Stages: j.Stages, Rank: j.Rank, Prompt: j.Prompt, Subject: subject, PriorResults: j.PriorResults,
		Name: self.Name, Incarnation: self.Incarnation,
		TargetMS:   j.Target.Sub(now).Milliseconds(),
		DeadlineMS: j.Deadline.Sub(now).Milliseconds(),
	}
}

// JobID returns the id of the job at the dispatcher.
func (j Job) JobID() string { return dispatch.JobID(j.ID, j.Run) }

// Dispatch returns the dispatcher's form of a job that was received at the time now.
func (j Job) Dispatch(now time.Time) dispatch.Job {
	return dispatch.Job{
		ID: j.ID, Run: j.Run, Key: j.Key, Stages: j.Stages, Rank: j.Rank, Prompt: j.Prompt.Bounded(), PriorResults: j.PriorResults,
		Target:   now.Add(time.Duration(j.TargetMS) * time.Millisecond),
		Deadline: now.Add(time.Duration(j.DeadlineMS) * time.Millisecond),
	}
}

// Outcome is the reply to a job.
type Outcome struct {
	// Handles identify the results that the request reads.
	Handles []string `json:"handles,omitempty"`
	// Engine is the engine to send the request to; empty if none is known.
	Engine string `json:"engine,omitempty"`
	// FetchFrom is the address of an engine that has already read parts of the prompt.
	FetchFrom string `json:"fetch_from,omitempty"`
	// TurnBooked is set if the engine has a limit and the dispatcher has booked a turn for the request,
	// which comes after StartAfterMS, in milliseconds.
	TurnBooked   bool  `json:"turn_booked,omitempty"`
	StartAfterMS int64 `json:"start_after_ms,omitempty"`
	// Refused is set if the job was not admitted; no work was done then.
	Refused      bool   `json:"refused,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Problem      string `json:"problem,omitempty"`
	// Moved is set if the job is to be submitted to the dispatcher that is elected now, with the
	// results that were reported. Leaving is set with it if the sender is shutting down. Problem is
	// set as well, for entries that do not know Moved.
	Moved   bool `json:"moved,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// ForecastMS is the expected duration of the stages, in milliseconds.
	ForecastMS int64 `json:"forecast_ms,omitempty"`
	// TimeToFirstEventMS is the expected time from the results to the first event, in
	// milliseconds.
	TimeToFirstEventMS int64 `json:"tail_ms,omitempty"`
	// Dispatcher is the name of the entry that dispatched the job. The submitting
	// entry fills it in.
	Dispatcher string `json:"-"`
}

// MovedOutcome returns the outcome of a job that another entry is to dispatch.
func MovedOutcome(leaving bool) Outcome {
	return Outcome{Moved: true, Leaving: leaving, Problem: "another entry dispatches"}
}

// JobParams are the parameters of notifications about a job.
type JobParams struct {
	ID  string `json:"id"`
	Run int    `json:"run,omitempty"`
	// EngineFailed is set in a release if the engine that the dispatcher chose failed.
	EngineFailed bool `json:"engine_failed,omitempty"`
	// EngineLoad is set in a release if the engine has stated how fast it works: its requests and its work factor. It is
	// short, as it is sent for each request.
	EngineLoad []float64 `json:"load,omitempty"`
	// InputsRead is set in a release if the engine has fetched the results but has not sent its first
	// event yet; another release follows.
	InputsRead bool `json:"inputs_read,omitempty"`
}
