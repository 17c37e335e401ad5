package order

import (
	"context"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
)

// setVersionOrder is the kind of engine order that sets the version of a loaded model.
const setVersionOrder = "set_version"

// HTTPEngine is an Engine that carries out orders over the engines' HTTP protocol.
type HTTPEngine struct{ Driver *endpoint.Engine }

// Apply implements Engine. If an order is carried out only in part, the engine's next
// report shows this, and the holder of the lease orders the rest.
func (e HTTPEngine) Apply(ctx context.Context, o Order) *contract.Problem {
	for _, engineOrder := range engineOrders(o) {
		if p := e.Driver.ApplyOrder(ctx, engineOrder); p != nil {
			return p
		}
	}
	return nil
}

// engineOrders translates an order into orders of the engines' protocol.
func engineOrders(o Order) []endpoint.Order {
	newOrder := func(kind, value string) endpoint.Order {
		return endpoint.Order{Kind: kind, Value: value, Fence: o.Fence}
	}
	switch o.Kind {
	case LoadAdapter:
		return []endpoint.Order{newOrder(string(LoadAdapter), o.Adapter)}
	case ChangeRole:
		return []endpoint.Order{newOrder(string(ChangeRole), string(o.Target.Role))}
	}
	orders := []endpoint.Order{newOrder(string(LoadModel), o.Target.Model)}
	if o.Target.Version != "" {
		orders = append(orders, newOrder(setVersionOrder, o.Target.Version))
	}
	if o.Target.Role != RoleAny {
		orders = append(orders, newOrder(string(ChangeRole), string(o.Target.Role)))
	}
	return orders
}

// Serving implements Engine.
func (e HTTPEngine) Serving(ctx context.Context) (Target, error) {
	s, err := e.Driver.Serving(ctx)
	if err != nil {
		return Target{}, Error.Wrap(err)
	}
	return Target{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: Role(s.Role)}, nil
}
