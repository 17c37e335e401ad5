package link

import (
	"encoding/json"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// Version is a settings version. Versions are totally ordered.
type Version = uint64

// The methods of the link protocol. Unless noted otherwise, requests go from entry to agent. Both
// sides may send MethodSettings and MethodLeaving, but agents ignore MethodLeaving.
const (
	MethodHello    = "hello"
	MethodRun      = "run"
	MethodChunks   = "chunks" // notification, agent to entry
	MethodCancel   = "cancel" // notification
	MethodSettle   = "settle" // queries the state of an attempt and may close it
	MethodAttach   = "attach" // takes over a running attempt on a new link
	MethodPing     = "ping"
	MethodLeaving  = "leaving"  // agent to entry; answered once no further run can be sent
	MethodState    = "state"    // notification with a PingResult, agent to entry
	MethodSettings = "settings" // in both directions
	MethodClaim    = "claim"
	MethodOrder    = "order"
)

// Load is the state of an endpoint that its agent reports with every reply.
type Load struct {
	// Limit is the number of calls that the endpoint may currently run concurrently.
	Limit int `json:"limit"`
	// InFlight is the number of calls that are running or queued at the agent.
	InFlight int `json:"in_flight"`
	// QueueUS is the expected queue delay of a new call, in microseconds.
	QueueUS int64 `json:"queue_us"`
	// ServiceUS is the recent mean service time of a call, in microseconds.
	ServiceUS int64 `json:"service_us"`
	// Model is the model that the endpoint serves; empty means any.
	Model string `json:"model,omitempty"`
	// Cold is set until the limit has grown from the cold limit to its maximum.
	Cold bool `json:"cold,omitempty"`
	// Leaving is set once the agent refuses new work permanently.
	Leaving bool `json:"leaving,omitempty"`
	// DataCentreOut is set while the agent's data centre is taken out of service.
	DataCentreOut bool `json:"out,omitempty"`
	// Down is set while the endpoint does not accept connections.
	Down bool `json:"down,omitempty"`
}

// Free returns the number of further calls that the endpoint can take.
func (l Load) Free() int { return max(l.Limit-l.InFlight, 0) }

// Suspect is the mark of a request that was in flight when an endpoint crashed.
type Suspect struct {
	// Digest identifies the request: it covers organisation, pipeline, body and stage.
	Digest string `json:"digest"`
	// Epoch grows with each successful run of the request. A higher epoch overrides all counts of
	// lower ones.
	Epoch uint64 `json:"epoch,omitempty"`
	// Crashes counts the crashes with the request in flight.
	Crashes int `json:"crashes"`
	// CrashesAlone counts the crashes with no other request in flight.
	CrashesAlone int `json:"proven"`
	// ExpiresInMS is the remaining lifetime of the mark, in milliseconds.
	ExpiresInMS int64 `json:"expires_ms"`
}

// HelloParams are the parameters of the handshake that opens a link.
type HelloParams struct {
	Entry      string          `json:"entry"`
	EntryBoot  contract.BootID `json:"entry_boot"`
	DataCentre string          `json:"data_centre"`
	Settings   Version         `json:"settings"`
}

// HelloResult is the answer to HelloParams.
type HelloResult struct {
	Agent      string          `json:"agent"`
	AgentBoot  contract.BootID `json:"agent_boot"`
	Endpoint   string          `json:"endpoint"`
	Pool       string          `json:"pool"`
	Kind       pipeline.Kind   `json:"kind"`
	DataCentre string          `json:"data_centre"`
	Settings   Version         `json:"settings"`
	Load       Load            `json:"load"`
}

// RunParams asks an agent to run one attempt of a stage.
type RunParams struct {
	Attempt contract.AttemptID `json:"attempt"`
	// AgentBoot is the boot for which the attempt is meant. Any other boot refuses it.
	AgentBoot    contract.BootID    `json:"agent_boot"`
	Request      contract.RequestID `json:"request"`
	Organisation string             `json:"organisation"`
	Pipeline     string             `json:"pipeline"`
	Stage        string             `json:"stage"`
	// BudgetUS is the time left for this attempt, in microseconds.
	BudgetUS    int64   `json:"budget_us"`
	TraceParent string  `json:"traceparent,omitempty"`
	Settings    Version `json:"settings"`
	// Repeatable is set for calls that are safe to repeat.
	Repeatable bool `json:"repeatable"`
	// IdempotencyKey is the client's idempotency key, for calls that are not repeatable.
	IdempotencyKey string `json:"key,omitempty"`
	// Digest identifies the request among suspects: it covers organisation, pipeline, body and
	// stage.
	Digest string `json:"digest"`
	// Mark is the entry's mark for the digest, so that the agent adds a crash to those that others
	// have seen.
	Mark *Suspect `json:"mark,omitempty"`
	// Alone asks the agent to run no other call concurrently with the attempt.
	Alone    bool           `json:"alone,omitempty"`
	Priority int            `json:"priority,omitempty"`
	Input    pipeline.Input `json:"input"`
}

// RunResult is the final outcome of an attempt.
type RunResult struct {
	Attempt contract.AttemptID `json:"attempt"`
	Run     contract.RunState  `json:"run"`
	// Code is empty if the attempt succeeded.
	Code   contract.Code `json:"code,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// RetryAfterMS is the time after which the agent expects to have capacity again, in
	// milliseconds.
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Output       pipeline.Output `json:"output"`
	// TokenCount and Digest cover all tokens that were sent for the attempt.
	TokenCount int            `json:"count,omitempty"`
	Digest     string         `json:"digest,omitempty"`
	Usage      pipeline.Usage `json:"usage"`
	Load       Load           `json:"load"`
	Settings   Version        `json:"settings"`
	Suspects   []Suspect      `json:"suspects,omitempty"`
}

// Chunk holds consecutive tokens of one attempt. First is the index of the first of them, starting
// at 0.
type Chunk struct {
	Attempt contract.AttemptID `json:"attempt"`
	First   int                `json:"first"`
	Tokens  []string           `json:"tokens"`
}

// ChunksParams carries chunks of several attempts in one notification.
type ChunksParams struct {
	Chunks []Chunk `json:"chunks"`
}

// CancelParams cancels an attempt whose result is no longer needed.
type CancelParams struct {
	Attempt contract.AttemptID `json:"attempt"`
}

// AttemptState is the state of an attempt as its agent knows it.
type AttemptState string

// The states of attempts.
const (
	AttemptClosed   AttemptState = "closed" // never ran, and a tombstone prevents it from ever running
	AttemptRunning  AttemptState = "running"
	AttemptFinished AttemptState = "finished"
	// AttemptUnknown means that the agent has no record of the attempt, for example because it
	// belongs to an earlier boot. It may have run.
	AttemptUnknown AttemptState = "unknown"
)

// SettleParams queries the state of an attempt. An attempt that the agent has not seen gets a
// tombstone before the agent answers.
type SettleParams struct {
	Attempt   contract.AttemptID `json:"attempt"`
	AgentBoot contract.BootID    `json:"agent_boot"`
	// AgeMS is an upper bound of the time since the attempt id was created, by the caller's
	// monotonic clock, in milliseconds; 0 means unknown. An agent that has discarded records of
	// attempts answers "closed" only for ids created after the newest discarded attempt.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// SettleResult is the answer to SettleParams. Result is set for finished attempts.
type SettleResult struct {
	State  AttemptState `json:"state"`
	Result *RunResult   `json:"result,omitempty"`
}

// AttachParams takes over a running or finished attempt on a new link. The agent sends the tokens
// from index From on and answers with the attempt's RunResult.
type AttachParams struct {
	Attempt   contract.AttemptID `json:"attempt"`
	AgentBoot contract.BootID    `json:"agent_boot"`
	From      int                `json:"from"`
}

// PingParams checks that a link is alive and carries the sender's settings version and marks.
type PingParams struct {
	Settings Version   `json:"settings"`
	Suspects []Suspect `json:"suspects,omitempty"`
}

// PingResult is the answer to PingParams, and the payload of MethodState.
type PingResult struct {
	Settings Version   `json:"settings"`
	Load     Load      `json:"load"`
	Suspects []Suspect `json:"suspects,omitempty"`
}

// SettingsParams asks the peer for the settings changes after version Have.
type SettingsParams struct {
	Have Version `json:"have"`
}

// SettingsResult is the answer to SettingsParams. Delta is a settings.Delta in JSON.
type SettingsResult struct {
	Version Version `json:"version"`
	// AgeMS is the time since the answering side last knew Version to be the latest accepted one,
	// in milliseconds; 0 if it never did. Receivers ignore ages that are not positive.
	AgeMS int64           `json:"age_ms,omitempty"`
	Delta json.RawMessage `json:"delta,omitempty"`
}
