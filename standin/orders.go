package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetVersion  OrderKind = "set_version"
	ChangeRole  OrderKind = "change_role"
)

// Order is a request to change what an engine serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Value is the new model, adapter, version or role, depending on Kind.
	Value string `json:"value"`
	// Fence is the fencing number of the lease under which the order was issued.
	Fence uint64 `json:"fence"`
}

// OrderStats counts the orders that an engine received. HighestFence is the
// highest fencing number that it accepted.
type OrderStats struct {
	Accepted     int    `json:"accepted"`
	Refused      int    `json:"refused"`
	HighestFence uint64 `json:"highest"`
	// Stale counts accepted orders with a fencing number below the highest.
	Stale   int     `json:"stale"`
	Serving Serving `json:"serving"`
}

// Serving describes what an engine serves.
type Serving struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// apply changes what is served as the order requests. Loading a model resets the
// version and the adapters.
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

// orders accepts the orders to an engine, with or without a check of their
// fencing numbers.
type orders struct {
	checkFence bool
	loadTime   time.Duration
	// onLoad is called after each load of a model or version, because the engine
	// is cold then.
	onLoad func()

	mu    sync.Mutex
	stats OrderStats
}

func newOrders(checkFence bool, loadTime time.Duration, onLoad func()) *orders {
	return &orders{checkFence: checkFence, loadTime: loadTime, onLoad: onLoad}
}

// accept applies an order and reports whether it was accepted.
func (o *orders) accept(order Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	stale := order.Fence < o.stats.HighestFence
	if stale && o.checkFence {
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

// getServing responds with what the engine serves.
func (o *orders) getServing(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.snapshot().Serving)
}

func (o *orders) postOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	if !o.accept(order) {
		refuse(w, http.StatusConflict, "the fencing number is old")
		return
	}
	if order.Kind != ChangeRole && sleep(r.Context(), o.loadTime) != nil {
		return
	}
	if order.Kind == LoadModel || order.Kind == SetVersion {
		o.onLoad()
	}
	writeJSON(w, http.StatusOK, o.snapshot())
}
