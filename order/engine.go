package order

import (
	"context"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
)

// setVersion is the engines' own order for the version of a loaded model.
const setVersion = "set_version"

// HTTPEngine carries orders out by the engines' protocol.
type HTTPEngine struct{ Driver *endpoint.Engine }

// Apply implements Engine. An order that is only half done shows in the
// engine's next report, and the holder of the lease orders the rest.
func (e HTTPEngine) Apply(ctx context.Context, o Order) *contract.Problem {
	for _, step := range steps(o) {
		if p := e.Driver.ApplyOrder(ctx, step); p != nil {
			return p
		}
	}
	return nil
}

// steps translates an order into those that engines know.
func steps(o Order) []endpoint.Order {
	step := func(kind, value string) endpoint.Order {
		return endpoint.Order{Kind: kind, Value: value, Fence: o.Fence}
	}
	switch o.Kind {
	case LoadAdapter:
		return []endpoint.Order{step(string(LoadAdapter), o.Adapter)}
	case ChangeRole:
		return []endpoint.Order{step(string(ChangeRole), string(o.Target.Role))}
	}
	out := []endpoint.Order{step(string(LoadModel), o.Target.Model)}
	if o.Target.Version != "" {
		out = append(out, step(setVersion, o.Target.Version))
	}
	if o.Target.Role != RoleAny {
		out = append(out, step(string(ChangeRole), string(o.Target.Role)))
	}
	return out
}

// Serving implements Engine.
func (e HTTPEngine) Serving(ctx context.Context) (Target, error) {
	s, err := e.Driver.Serving(ctx)
	if err != nil {
		return Target{}, Error.Wrap(err)
	}
	return Target{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: Role(s.Role)}, nil
}
