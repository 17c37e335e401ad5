package standin

import (
	"net/http"
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
	Accepted int    `json:"accepted"`
	Refused  int    `json:"refused"`
	Highest  uint64 `json:"highest"`
	// Stale counts accepted orders with a number below the highest.
	Stale int `json:"stale"`
	// State holds the last accepted value of each kind.
	State map[OrderKind]string `json:"state"`
}

// orders takes an engine's orders, with or without a check of their number.
type orders struct {
	checks   bool
	loadTime time.Duration

	mu    sync.Mutex
	stats OrderStats
}

func newOrders(checks bool, loadTime time.Duration) *orders {
	return &orders{checks: checks, loadTime: loadTime, stats: OrderStats{State: map[OrderKind]string{}}}
}

// take accepts or refuses one order.
func (o *orders) take(order Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	stale := order.Fence < o.stats.Highest
	if stale && o.checks {
		o.stats.Refused++
		return false
	}
	if stale {
		o.stats.Stale++
	}
	o.stats.Accepted++
	o.stats.Highest = max(o.stats.Highest, order.Fence)
	o.stats.State[order.Kind] = order.Value
	return true
}

func (o *orders) snapshot() OrderStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.stats
	s.State = make(map[OrderKind]string, len(o.stats.State))
	for k, v := range o.stats.State {
		s.State[k] = v
	}
	return s
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
	writeJSON(w, http.StatusOK, o.snapshot())
}
