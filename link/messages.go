package link

import (
	"encoding/json"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// Version is a settings version. Versions are totally ordered.
type Version = uint64

// The methods of the link protocol. Requests go from entry to agent unless
// said otherwise; both sides may send MethodSettings and MethodLeaving.
const (
	MethodHello    = "hello"
	MethodRun      = "run"
	MethodChunks   = "chunks" // notification, agent to entry
	MethodCancel   = "cancel" // notification
	MethodSettle   = "settle" // asks for, and may close, attempts
	MethodAttach   = "attach" // takes over a running attempt on a new link
	MethodPing     = "ping"
	MethodLeaving  = "leaving"  // agent to entry; answered once no run can follow
	MethodState    = "state"    // notification with a PingResult, agent to entry
	MethodSettings = "settings" // either side
	MethodClaim    = "claim"
	MethodOrder    = "order"
)

// Load is what an agent tells about its endpoint with every reply.
type Load struct {
	// Limit is how many calls the endpoint may run at once now.
	Limit int `json:"limit"`
	// InFlight is how many calls run or wait at the agent now.
	InFlight int `json:"in_flight"`
	// QueueUS is the expected wait before a new call starts, in microseconds.
	QueueUS int64 `json:"queue_us"`
	// ServiceUS is the recent mean time of one call, in microseconds.
	ServiceUS int64 `json:"service_us"`
	// Model is the model that the endpoint serves; empty means any.
	Model string `json:"model,omitempty"`
	// Cold is set while the limit still grows from the cold limit.
	Cold bool `json:"cold,omitempty"`
	// Leaving is set once the agent or its endpoint refuses new work for good.
	Leaving bool `json:"leaving,omitempty"`
	// DataCentreOut is set while the agent's data centre is taken out.
	DataCentreOut bool `json:"out,omitempty"`
	// Down is set while nobody listens at the endpoint's address.
	Down bool `json:"down,omitempty"`
}

// Free returns how many more calls the endpoint can take now.
func (l Load) Free() int { return max(l.Limit-l.InFlight, 0) }

// Suspect is a request that was in flight when an endpoint crashed.
type Suspect struct {
	// Digest is of organisation, pipeline, body and stage.
	Digest string `json:"digest"`
	// Epoch grows with each good run of the request, and overrules all counts
	// of lower epochs.
	Epoch uint64 `json:"epoch,omitempty"`
	// Crashes counts crashes with the request in flight.
	Crashes int `json:"crashes"`
	// CrashesAlone counts crashes with the request alone in flight.
	CrashesAlone int `json:"proven"`
	// ExpiresInMS is how much longer the mark stands, in milliseconds.
	ExpiresInMS int64 `json:"expires_ms"`
}

// HelloParams opens a link.
type HelloParams struct {
	Entry      string          `json:"entry"`
	EntryBoot  contract.BootID `json:"entry_boot"`
	DataCentre string          `json:"data_centre"`
	Settings   Version         `json:"settings"`
}

// HelloResult answers HelloParams.
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

// RunParams asks an agent to run one attempt of one stage.
type RunParams struct {
	Attempt contract.AttemptID `json:"attempt"`
	// AgentBoot is the boot that the attempt is meant for; another boot refuses it.
	AgentBoot    contract.BootID    `json:"agent_boot"`
	Request      contract.RequestID `json:"request"`
	Organisation string             `json:"organisation"`
	Pipeline     string             `json:"pipeline"`
	Stage        string             `json:"stage"`
	// BudgetUS is the time left for this attempt, in microseconds.
	BudgetUS    int64   `json:"budget_us"`
	TraceParent string  `json:"traceparent,omitempty"`
	Settings    Version `json:"settings"`
	// Repeatable is set for calls whose repetition does no harm.
	Repeatable bool `json:"repeatable"`
	// IdempotencyKey is the caller's idempotency key, for calls that are not repeatable.
	IdempotencyKey string `json:"key,omitempty"`
	// Digest is of organisation, pipeline, body and stage, to recognise suspects.
	Digest string `json:"digest"`
	// Mark is what the entry knows of the digest, so that the agent counts a
	// crash on top of those seen elsewhere.
	Mark *Suspect `json:"mark,omitempty"`
	// Alone asks that nothing else runs beside the attempt.
	Alone    bool           `json:"alone,omitempty"`
	Priority int            `json:"priority,omitempty"`
	Input    pipeline.Input `json:"input"`
}

// RunResult closes an attempt.
type RunResult struct {
	Attempt contract.AttemptID `json:"attempt"`
	Run     contract.RunState  `json:"run"`
	// Code is empty when the attempt succeeded.
	Code   contract.Code `json:"code,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// RetryAfterMS is when the agent expects room again, in milliseconds.
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Output       pipeline.Output `json:"output"`
	// TokenCount and Digest are of all the chunks sent for the attempt.
	TokenCount int            `json:"count,omitempty"`
	Digest     string         `json:"digest,omitempty"`
	Usage      pipeline.Usage `json:"usage"`
	Load       Load           `json:"load"`
	Settings   Version        `json:"settings"`
	Suspects   []Suspect      `json:"suspects,omitempty"`
}

// Chunk is consecutive tokens of one attempt. First numbers the first of
// them, counting from 0.
type Chunk struct {
	Attempt contract.AttemptID `json:"attempt"`
	First   int                `json:"first"`
	Tokens  []string           `json:"tokens"`
}

// ChunksParams carries the chunks of many attempts in one notification.
type ChunksParams struct {
	Chunks []Chunk `json:"chunks"`
}

// CancelParams ends an attempt whose answer nobody waits for any more.
type CancelParams struct {
	Attempt contract.AttemptID `json:"attempt"`
}

// AttemptState is what an agent knows of an attempt.
type AttemptState string

// The states of attempts.
const (
	AttemptClosed   AttemptState = "closed" // never ran, and a tombstone makes sure it never will
	AttemptRunning  AttemptState = "running"
	AttemptFinished AttemptState = "finished"
	// AttemptUnknown is for attempts of an earlier boot: it may have run.
	AttemptUnknown AttemptState = "unknown"
)

// SettleParams asks for the state of an attempt. An attempt that the agent
// has not seen gets a tombstone before the answer is sent.
type SettleParams struct {
	Attempt   contract.AttemptID `json:"attempt"`
	AgentBoot contract.BootID    `json:"agent_boot"`
	// AgeMS is an upper bound of the time since the attempt id was made, by the
	// asker's monotonic clock, in milliseconds; 0 is unknown. An agent that has
	// forgotten attempts says "closed" only for ids that are younger than those.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// SettleResult answers SettleParams. Result is set for finished attempts.
type SettleResult struct {
	State  AttemptState `json:"state"`
	Result *RunResult   `json:"result,omitempty"`
}

// AttachParams takes over a running or finished attempt: the agent sends the
// chunks from From on and answers with the attempt's RunResult.
type AttachParams struct {
	Attempt   contract.AttemptID `json:"attempt"`
	AgentBoot contract.BootID    `json:"agent_boot"`
	From      int                `json:"from"`
}

// PingParams keeps a link alive and carries what peers pass on to each other.
type PingParams struct {
	Settings Version   `json:"settings"`
	Suspects []Suspect `json:"suspects,omitempty"`
}

// PingResult answers PingParams.
type PingResult struct {
	Settings Version   `json:"settings"`
	Load     Load      `json:"load"`
	Suspects []Suspect `json:"suspects,omitempty"`
}

// SettingsParams asks the peer for the settings changes above Have.
type SettingsParams struct {
	Have Version `json:"have"`
}

// SettingsResult answers SettingsParams; Delta is a settings.Delta in JSON.
type SettingsResult struct {
	Version Version `json:"version"`
	// AgeMS is how long ago, in milliseconds, the answering side last knew
	// Version to be the latest accepted; 0 if it never did.
	AgeMS int64           `json:"age_ms,omitempty"`
	Delta json.RawMessage `json:"delta,omitempty"`
}
