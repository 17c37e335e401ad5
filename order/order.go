// Package order brings model engines to the models, adapters, versions and
// roles that the settings ask for, and keeps them there. One process at a time
// does this, under a lease whose generation is the fencing number of its
// orders; every order passes through the agent of its engine, which refuses
// older numbers.
package order

import (
	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
)

// Error is the class of this package's errors.
var Error = errs.Class("order")

// Kind is what an order changes.
type Kind string

// The kinds of orders.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	ChangeRole  Kind = "change_role"
)

// Role is what part of generation an engine does.
type Role string

// The roles of engines.
const (
	RoleAny     Role = ""
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Target is what an engine serves or shall serve.
type Target struct {
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role,omitempty"`
}

// sameWeights reports whether both serve the same version of the same model.
func (t Target) sameWeights(o Target) bool { return t.Model == o.Model && t.Version == o.Version }

func (t Target) hasAdapter(name string) bool {
	for _, a := range t.Adapters {
		if a == name {
			return true
		}
	}
	return false
}

// Order asks one engine for one change.
type Order struct {
	ID string `json:"id"`
	// Fence is the generation of the lease under which the order was issued.
	Fence uint64 `json:"fence"`
	// SettingsVersion is the version of the settings that the order carries out.
	SettingsVersion uint64 `json:"settings"`
	Instance        string `json:"instance"`
	// AgentBoot is the life of the agent whose report the order rests on.
	AgentBoot contract.BootID `json:"agent_boot"`
	Kind      Kind            `json:"kind"`
	Target    Target          `json:"target"`
	// Adapter is the adapter to load, for LoadAdapter.
	Adapter string `json:"adapter,omitempty"`
}

// disrupts reports whether the engine must be drained before the order.
func (o Order) disrupts() bool { return o.Kind != LoadAdapter }

// Report is what an agent tells of its engine.
type Report struct {
	Instance  string          `json:"instance"`
	AgentBoot contract.BootID `json:"agent_boot"`
	Serving   Target          `json:"serving"`
	// PendingTarget is what the engine will serve once it has carried out its
	// present order; nil when it carries out none.
	PendingTarget *Target `json:"becoming,omitempty"`
	// Cold is set while the engine's limit still grows from the cold limit.
	Cold bool `json:"cold,omitempty"`
	// Leaving is set once the agent or its engine refuses new work for good.
	Leaving  bool `json:"leaving,omitempty"`
	InFlight int  `json:"in_flight"`
	Limit    int  `json:"limit"`
}

// busy reports whether the engine carries out an order.
func (r Report) busy() bool { return r.PendingTarget != nil }

// target returns what the engine serves, or will serve when it is busy.
func (r Report) target() Target {
	if r.busy() {
		return *r.PendingTarget
	}
	return r.Serving
}

// bears reports whether the engine takes the load that comes to it: a cold
// engine does so while it still has free slots.
func (r Report) bears() bool {
	return !r.busy() && (!r.Cold || r.InFlight < r.Limit)
}

// DesiredModel is what the settings want of one model in one pool of a data centre.
type DesiredModel struct {
	Target Target
	// MinCopies and MaxCopies bound the number of engines.
	MinCopies int
	MaxCopies int
	// TargetUtilisation is the share of the copies' slots that may be in use
	// before another copy is loaded, in percent. A high value saves cost, a
	// low one saves waiting.
	TargetUtilisation int
}
