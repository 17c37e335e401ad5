// Package settings holds the fleet's settings: a tree whose levels inherit
// from the level above and override only what they must, the versioned
// snapshots of that tree, and the rules by which a process follows them
// without ever going back to an older version.
package settings

import (
	"encoding"
	"time"

	"github.com/azurelead/azurelead/pipeline"
)

// Version is a settings version. Versions are totally ordered; 0 is none.
type Version = uint64

// Duration is a time.Duration that documents write as "4s" or "250ms".
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

// RequestOverrides are the settings of requests at one level of the tree
// fleet > organisation > pipeline > stage. Nil members inherit.
type RequestOverrides struct {
	MaxDeadline  *Duration `json:"max_deadline,omitempty" yaml:"max_deadline,omitempty"`
	RetryPercent *int      `json:"retry_percent,omitempty" yaml:"retry_percent,omitempty" validate:"omitempty,min=0,max=100"`
	Hedge        *bool     `json:"hedge,omitempty" yaml:"hedge,omitempty"`
	Priority     *int      `json:"priority,omitempty" yaml:"priority,omitempty" validate:"omitempty,min=0,max=9"`
	MaxTokens    *int      `json:"max_tokens,omitempty" yaml:"max_tokens,omitempty" validate:"omitempty,min=1,max=32768"`
	MaxBodyBytes *int      `json:"max_body_bytes,omitempty" yaml:"max_body_bytes,omitempty" validate:"omitempty,min=1,max=16777216"`
}

// RequestSettings are resolved settings of one stage of one organisation.
type RequestSettings struct {
	MaxDeadline  time.Duration
	RetryPercent int
	Hedge        bool
	Priority     int
	MaxTokens    int
	MaxBodyBytes int
}

// EndpointOverrides are the settings of endpoints at one level of the tree
// fleet > data centre > pool > endpoint. Nil members inherit.
type EndpointOverrides struct {
	// ColdLimit is how many calls a cold endpoint bears at once.
	ColdLimit *int `json:"cold_limit,omitempty" yaml:"cold_limit,omitempty" validate:"omitempty,min=1,max=4096"`
	// MaxLimit bounds the limit of a warm endpoint.
	MaxLimit *int `json:"max_limit,omitempty" yaml:"max_limit,omitempty" validate:"omitempty,min=1,max=4096"`
	// RampAnswers is how many good answers raise the limit by one.
	RampAnswers *int `json:"ramp_answers,omitempty" yaml:"ramp_answers,omitempty" validate:"omitempty,min=1,max=10000"`
	// QueueLimit is how many calls may wait at the agent.
	QueueLimit *int `json:"queue_limit,omitempty" yaml:"queue_limit,omitempty" validate:"omitempty,min=0,max=4096"`
	// ChecksFence says that the engine itself refuses orders with an old fencing number.
	ChecksFence *bool `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
}

// EndpointSettings are resolved settings of one endpoint.
type EndpointSettings struct {
	ColdLimit   int
	MaxLimit    int
	RampAnswers int
	QueueLimit  int
	ChecksFence bool
}

// Stage is one stage of a pipeline as operators declare it.
type Stage struct {
	Name      string           `json:"name" yaml:"name" validate:"required"`
	Kind      pipeline.Kind    `json:"kind" yaml:"kind" validate:"required"`
	Pool      string           `json:"pool" yaml:"pool" validate:"required"`
	Model     string           `json:"model,omitempty" yaml:"model,omitempty"`
	Operation string           `json:"operation,omitempty" yaml:"operation,omitempty"`
	Once      bool             `json:"once,omitempty" yaml:"once,omitempty"` // the call may not be repeated
	Request   RequestOverrides `json:"request,omitzero" yaml:"request,omitempty"`
}

// Pipeline is a declared chain of stages.
type Pipeline struct {
	Request RequestOverrides `json:"request,omitzero" yaml:"request,omitempty"`
	Stages  []Stage          `json:"stages" yaml:"stages" validate:"required,min=1,dive"`
}

// OrganisationPipeline overrides a pipeline for one organisation.
type OrganisationPipeline struct {
	Request RequestOverrides            `json:"request,omitzero" yaml:"request,omitempty"`
	Stages  map[string]RequestOverrides `json:"stages,omitempty" yaml:"stages,omitempty" validate:"dive"`
}

// Organisation is one customer.
type Organisation struct {
	// TokenSHA256 are the hexadecimal SHA-256 digests of its bearer tokens.
	TokenSHA256 []string `json:"token_sha256" yaml:"token_sha256" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Weight is its share where organisations compete; 0 counts as 1.
	Weight    int                             `json:"weight,omitempty" yaml:"weight,omitempty" validate:"min=0,max=1000"`
	Request   RequestOverrides                `json:"request,omitzero" yaml:"request,omitempty"`
	Pipelines map[string]OrganisationPipeline `json:"pipelines,omitempty" yaml:"pipelines,omitempty" validate:"dive"`
}

// DesiredModel is a model that engines of a pool shall serve.
type DesiredModel struct {
	Model    string   `json:"model" yaml:"model" validate:"required"`
	Version  string   `json:"version,omitempty" yaml:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty" validate:"dive,required"`
	// Role is what part of generation the engines do; empty means all of it.
	Role string `json:"role,omitempty" yaml:"role,omitempty" validate:"omitempty,oneof=prefill decode"`
	// MinCopies and MaxCopies bound the number of engines; a MaxCopies of 0 is no bound.
	MinCopies int `json:"min_copies" yaml:"min_copies" validate:"min=0,max=4096"`
	MaxCopies int `json:"max_copies,omitempty" yaml:"max_copies,omitempty" validate:"min=0,max=4096"`
	// TargetUtilisation is the share of the copies' slots that may be in use
	// before another copy is loaded, in percent; 0 keeps MinCopies. A high
	// value saves cost, a low one saves waiting.
	TargetUtilisation int `json:"target_utilisation,omitempty" yaml:"target_utilisation,omitempty" validate:"min=0,max=100"`
}

// Pool overrides endpoint settings for the endpoints of one pool in one data centre.
type Pool struct {
	// Models are the models that the pool's engines shall serve. Without any,
	// no order is given to the pool's engines.
	Models    []DesiredModel               `json:"models,omitempty" yaml:"models,omitempty" validate:"dive"`
	Endpoint  EndpointOverrides            `json:"endpoint,omitzero" yaml:"endpoint,omitempty"`
	Endpoints map[string]EndpointOverrides `json:"endpoints,omitempty" yaml:"endpoints,omitempty" validate:"dive"`
}

// DataCentre is one data centre.
type DataCentre struct {
	Region string `json:"region,omitempty" yaml:"region,omitempty"`
	// Out takes the data centre out of service: it gets no new work.
	Out      bool              `json:"out,omitempty" yaml:"out,omitempty"`
	Endpoint EndpointOverrides `json:"endpoint,omitzero" yaml:"endpoint,omitempty"`
	Pools    map[string]Pool   `json:"pools,omitempty" yaml:"pools,omitempty" validate:"dive"`
}

// Document is the whole tree.
type Document struct {
	Request  RequestOverrides  `json:"request,omitzero" yaml:"request,omitempty"`
	Endpoint EndpointOverrides `json:"endpoint,omitzero" yaml:"endpoint,omitempty"`
	// MaxLoads bounds the models being loaded in the whole fleet at once, so
	// that they stay under the weight store's rate; 0 counts as 1.
	MaxLoads      int                     `json:"max_loads,omitempty" yaml:"max_loads,omitempty" validate:"min=0,max=1000"`
	Pipelines     map[string]Pipeline     `json:"pipelines,omitempty" yaml:"pipelines,omitempty" validate:"dive"`
	Organisations map[string]Organisation `json:"organisations,omitempty" yaml:"organisations,omitempty" validate:"dive"`
	DataCentres   map[string]DataCentre   `json:"data_centres,omitempty" yaml:"data_centres,omitempty" validate:"dive"`
}

// Snapshot is one accepted version of the tree. Snapshots are immutable.
type Snapshot struct {
	Version  Version
	Document Document

	tokens tokenIndex
}
