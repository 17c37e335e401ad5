// Package settings implements the fleet's settings: a tree whose levels inherit the values of the
// level above and override some of them, the versioned snapshots of that tree, and the rules by
// which a process follows new versions without ever returning to an older one.
package settings

import (
	"encoding"
	"time"

	"github.com/azurelead/azurelead/pipeline"
)

// Version is a settings version. Versions are totally ordered; 0 means none.
type Version = uint64

// Duration is a time.Duration that is written as "4s" or "250ms" in documents.
type Duration time.Duration

var _ encoding.TextMarshaler = Duration(0)

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// RequestOverrides are the request settings at one level of the tree fleet > organisation >
// pipeline > stage. Nil members inherit the value of the level above.
type RequestOverrides struct {
	MaxDeadline  *Duration `json:"max_deadline,omitempty" yaml:"max_deadline,omitempty"`
	RetryPercent *int      `json:"retry_percent,omitempty" yaml:"retry_percent,omitempty" validate:"omitempty,min=0,max=100"`
	Hedge        *bool     `json:"hedge,omitempty" yaml:"hedge,omitempty"`
	Priority     *int      `json:"priority,omitempty" yaml:"priority,omitempty" validate:"omitempty,min=0,max=9"`
	MaxTokens    *int      `json:"max_tokens,omitempty" yaml:"max_tokens,omitempty" validate:"omitempty,min=1,max=32768"`
	MaxBodyBytes *int      `json:"max_body_bytes,omitempty" yaml:"max_body_bytes,omitempty" validate:"omitempty,min=1,max=16777216"`
}

// RequestSettings are the resolved request settings of a stage for an organisation.
type RequestSettings struct {
	MaxDeadline  time.Duration
	RetryPercent int
	Hedge        bool
	Priority     int
	MaxTokens    int
	MaxBodyBytes int
}

// EndpointOverrides are the endpoint settings at one level of the tree fleet > data centre > pool
// > endpoint. Nil members inherit the value of the level above.
type EndpointOverrides struct {
	// ColdLimit is the maximum number of concurrent calls at a cold endpoint.
	ColdLimit *int `json:"cold_limit,omitempty" yaml:"cold_limit,omitempty" validate:"omitempty,min=1,max=4096"`
	// MaxLimit is the upper bound of the concurrency limit of a warm endpoint.
	MaxLimit *int `json:"max_limit,omitempty" yaml:"max_limit,omitempty" validate:"omitempty,min=1,max=4096"`
	// RampAnswers is the number of successful answers that raise the limit by one.
	RampAnswers *int `json:"ramp_answers,omitempty" yaml:"ramp_answers,omitempty" validate:"omitempty,min=1,max=10000"`
	// QueueLimit is the maximum number of calls queued at the agent.
	QueueLimit *int `json:"queue_limit,omitempty" yaml:"queue_limit,omitempty" validate:"omitempty,min=0,max=4096"`
	// ChecksFence states that the engine itself rejects orders with an outdated fencing number.
	ChecksFence *bool `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
}

// EndpointSettings are the resolved settings of an endpoint.
type EndpointSettings struct {
	ColdLimit   int
	MaxLimit    int
	RampAnswers int
	QueueLimit  int
	ChecksFence bool
}

// Stage is a stage of a pipeline as declared by operators.
type Stage struct {
	Name      string           `json:"name" yaml:"name" validate:"required"`
	Kind      pipeline.Kind    `json:"kind" yaml:"kind" validate:"required"`
	Pool      string           `json:"pool" yaml:"pool" validate:"required"`
	Model     string           `json:"model,omitempty" yaml:"model,omitempty"`
	Operation string           `json:"operation,omitempty" yaml:"operation,omitempty"`
	Once      bool             `json:"once,omitempty" yaml:"once,omitempty"` // the call must not be repeated
	Request   RequestOverrides `json:"request,omitzero" yaml:"request,omitempty"`
}

// Pipeline is a declared sequence of stages.
type Pipeline struct {
	Request RequestOverrides `json:"request,omitzero" yaml:"request,omitempty"`
	Stages  []Stage          `json:"stages" yaml:"stages" validate:"required,min=1,dive"`
}

// OrganisationPipeline overrides settings of a pipeline for one organisation.
type OrganisationPipeline struct {
	Request RequestOverrides            `json:"request,omitzero" yaml:"request,omitempty"`
	Stages  map[string]RequestOverrides `json:"stages,omitempty" yaml:"stages,omitempty" validate:"dive"`
}

// Organisation is a customer.
type Organisation struct {
	// TokenSHA256 are the hexadecimal SHA-256 digests of the organisation's bearer tokens.
	TokenSHA256 []string `json:"token_sha256" yaml:"token_sha256" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Weight is the organisation's share when organisations compete for capacity; 0 counts as 1.
	Weight    int                             `json:"weight,omitempty" yaml:"weight,omitempty" validate:"min=0,max=1000"`
	Request   RequestOverrides                `json:"request,omitzero" yaml:"request,omitempty"`
	Pipelines map[string]OrganisationPipeline `json:"pipelines,omitempty" yaml:"pipelines,omitempty" validate:"dive"`
}

// DesiredModel is a model that the engines of a pool have to serve.
type DesiredModel struct {
	Model    string   `json:"model" yaml:"model" validate:"required"`
	Version  string   `json:"version,omitempty" yaml:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty" validate:"dive,required"`
	// Role is the phase of generation that the engines run; empty means all phases.
	Role string `json:"role,omitempty" yaml:"role,omitempty" validate:"omitempty,oneof=prefill decode"`
	// MinCopies and MaxCopies bound the number of engines that serve the model; a MaxCopies of 0
	// means unbounded.
	MinCopies int `json:"min_copies" yaml:"min_copies" validate:"min=0,max=4096"`
	MaxCopies int `json:"max_copies,omitempty" yaml:"max_copies,omitempty" validate:"min=0,max=4096"`
	// TargetUtilisation is the percentage of the copies' slots that may be in use before another
	// copy is loaded; 0 keeps the number of copies at MinCopies. A high value reduces cost, a low
	// value reduces queue delay.
	TargetUtilisation int `json:"target_utilisation,omitempty" yaml:"target_utilisation,omitempty" validate:"min=0,max=100"`
}

// Pool overrides endpoint settings for the endpoints of a pool in a data centre.
type Pool struct {
	// Models are the models that the pool's engines have to serve. Without any, the engines get
	// no orders.
	Models    []DesiredModel               `json:"models,omitempty" yaml:"models,omitempty" validate:"dive"`
	Endpoint  EndpointOverrides            `json:"endpoint,omitzero" yaml:"endpoint,omitempty"`
	Endpoints map[string]EndpointOverrides `json:"endpoints,omitempty" yaml:"endpoints,omitempty" validate:"dive"`
}

// DataCentre contains the settings of a data centre.
type DataCentre struct {
	Region string `json:"region,omitempty" yaml:"region,omitempty"`
	// Out takes the data centre out of service: it gets no new work.
	Out      bool              `json:"out,omitempty" yaml:"out,omitempty"`
	Endpoint EndpointOverrides `json:"endpoint,omitzero" yaml:"endpoint,omitempty"`
	Pools    map[string]Pool   `json:"pools,omitempty" yaml:"pools,omitempty" validate:"dive"`
}

// Document is the whole settings tree.
type Document struct {
	Request  RequestOverrides  `json:"request,omitzero" yaml:"request,omitempty"`
	Endpoint EndpointOverrides `json:"endpoint,omitzero" yaml:"endpoint,omitempty"`
	// MaxLoads bounds the number of models being loaded in the whole fleet at the same time, so
	// that the loads stay within the rate of the weight store; 0 counts as 1.
	MaxLoads      int                     `json:"max_loads,omitempty" yaml:"max_loads,omitempty" validate:"min=0,max=1000"`
	Pipelines     map[string]Pipeline     `json:"pipelines,omitempty" yaml:"pipelines,omitempty" validate:"dive"`
	Organisations map[string]Organisation `json:"organisations,omitempty" yaml:"organisations,omitempty" validate:"dive"`
	DataCentres   map[string]DataCentre   `json:"data_centres,omitempty" yaml:"data_centres,omitempty" validate:"dive"`
}

// Snapshot is an accepted version of the tree. Snapshots are immutable.
type Snapshot struct {
	Version  Version
	Document Document

	tokens tokenIndex
}
