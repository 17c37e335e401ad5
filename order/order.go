// Package order reconciles model engines with the models, adapters, versions and
// roles that the settings specify. One process at a time issues orders to the
// engines. It holds a lease, and the lease's generation is the fencing number of
// its orders. Every order is sent to the agent of the engine, which refuses orders
// with a lower fencing number than one that it has seen.
package order

import (
	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
)

// Error is the class of this package's errors.
var Error = errs.Class("order")

// Kind is the kind of change that an order makes.
type Kind string

// The kinds of orders.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	ChangeRole  Kind = "change_role"
)

// Role is the phase of generation that an engine runs.
type Role string

// The roles of engines.
const (
	RoleAny     Role = ""
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Target is the model, adapters and role that an engine serves or is to serve.
type Target struct {
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role,omitempty"`
}

// sameWeights reports whether both targets have the same version of the same model.
func (t Target) sameWeights(o Target) bool { return t.Model == o.Model && t.Version == o.Version }

func (t Target) hasAdapter(name string) bool {
	for _, a := range t.Adapters {
		if a == name {
			return true
		}
	}
	return false
}

// Order instructs one engine to make one change.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing number: the generation of the lease under which the order was issued.
	Fence uint64 `json:"fence"`
	// SettingsVersion is the version of the settings that the order implements.
	SettingsVersion uint64 `json:"settings"`
	Instance        string `json:"instance"`
	// AgentBoot identifies the boot of the agent whose report the order is based on.
	AgentBoot contract.BootID `json:"agent_boot"`
	Kind      Kind            `json:"kind"`
	Target    Target          `json:"target"`
	// Adapter is the adapter to load. It is set only for LoadAdapter.
	Adapter string `json:"adapter,omitempty"`
}

// needsDrain reports whether the engine must be drained before it carries out the order.
func (o Order) needsDrain() bool { return o.Kind != LoadAdapter }

// Report is an agent's report on its engine.
type Report struct {
	Instance  string          `json:"instance"`
	AgentBoot contract.BootID `json:"agent_boot"`
	Serving   Target          `json:"serving"`
	// PendingTarget is what the engine will serve after the order that it is carrying
	// out. It is nil if it is carrying out none.
	PendingTarget *Target `json:"becoming,omitempty"`
	// Cold is set while the engine's concurrency limit is still growing from the cold limit.
	Cold bool `json:"cold,omitempty"`
	// Leaving is set once the agent permanently refuses new work.
	Leaving  bool `json:"leaving,omitempty"`
	InFlight int  `json:"in_flight"`
	Limit    int  `json:"limit"`
}

// busy reports whether the engine is carrying out an order.
func (r Report) busy() bool { return r.PendingTarget != nil }

// target returns what the engine serves, or will serve after the order in progress.
func (r Report) target() Target {
	if r.busy() {
		return *r.PendingTarget
	}
	return r.Serving
}

// acceptsLoad reports whether the engine can take its share of the load. A cold engine
// can while it has free slots.
func (r Report) acceptsLoad() bool {
	return !r.busy() && (!r.Cold || r.InFlight < r.Limit)
}

// DesiredModel is what the settings specify for one model in one pool of a data centre.
type DesiredModel struct {
	Target Target
	// MinCopies and MaxCopies bound the number of engines that serve the model.
	MinCopies int
	MaxCopies int
	// TargetUtilisation is the percentage of the copies' slots that may be in use
	// before another copy is loaded. A higher value reduces cost, a lower value reduces
	// queueing.
	TargetUtilisation int
}
