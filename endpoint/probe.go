package endpoint

import (
	"context"

	"github.com/azurelead/azurelead/contract"
)

// Health is the state that an endpoint reports.
type Health struct {
	// Boot identifies one run of the endpoint's process. A new value means that the endpoint has
	// restarted and is cold.
	Boot contract.BootID `json:"boot"`
	// Cold is set while the endpoint must not be given more than ColdLimit calls at a time.
	Cold bool `json:"cold"`
	// ColdLimit is the limit that the endpoint declares; 0 if it declares none.
	ColdLimit int `json:"cold_limit,omitempty"`
	// InFlight is the number of calls that the endpoint runs or holds in its queue. It may be out
	// of date.
	InFlight int `json:"in_flight"`
}

// Prober is an Endpoint whose health can be queried.
type Prober interface {
	// Probe returns the endpoint's health. An error means that the endpoint is unreachable or that
	// its response is invalid.
	Probe(ctx context.Context) (Health, error)
}
