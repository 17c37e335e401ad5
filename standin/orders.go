package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetVersion  OrderKind = "set_version"
	ChangeRole  OrderKind = "change_role"
)

// Order is an order to an engine.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
	// Fence is the fencing number of the lease under which it was issued.
	Fence uint64 `json:"fence"`
}

// OrderStats tells which orders an engine took.
type OrderStats struct {
	Accepted     int    `json:"accepted"`
	Refused      int    `json:"refused"`
	HighestFence uint64 `json:"highest"`
	// Stale counts accepted orders with a number below the highest.
	Stale   int     `json:"stale"`
	Serving Serving `json:"serving"`
}

// Serving is what an engine serves.
type Serving struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// apply changes what is served. Another model comes without adapters.
func (s *Serving) apply(o Order) {
	switch o.Kind {
	case LoadModel:
		*s = Serving{Model: o.Value, Role: s.Role}
	case SetVersion:
		s.Version = o.Value
	case LoadAdapter:
		s.Adapters = append(slices.Clone(s.Adapters), o.Value)
	case ChangeRole:
		s.Role = o.Value
	}
}

// orders takes an engine's orders, with or without a check of their number.
type orders struct {
	checks   bool
	loadTime time.Duration
	// loaded runs after each load of a model or version, which leaves an
	// engine cold.
	loaded func()

	mu    sync.Mutex
	stats OrderStats
}

func newOrders(checks bool, loadTime time.Duration, loaded func()) *orders {
	return &orders{checks: checks, loadTime: loadTime, loaded: loaded}
}

// take accepts or refuses one order.
func (o *orders) take(order Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	stale := order.Fence < o.stats.HighestFence
	if stale && o.checks {
		o.stats.Refused++
		return false
	}
	if stale {
		o.stats.Stale++
	}
	o.stats.Accepted++
	o.stats.HighestFence = max(o.stats.HighestFence, order.Fence)
	o.stats.Serving.apply(order)
	return true
}

func (o *orders) snapshot() OrderStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stats
}

// report answers what the engine serves.
func (o *orders) report(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.snapshot().Serving)
}

func (o *orders) serve(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	if !o.take(order) {
		refuse(w, http.StatusConflict, "the fencing number is old")
		return
	}
	if order.Kind != ChangeRole && pause(r.Context(), o.loadTime) != nil {
		return
	}
	if order.Kind == LoadModel || order.Kind == SetVersion {
		o.loaded()
	}
	writeJSON(w, http.StatusOK, o.snapshot())
}
