package endpoint

import (
	"context"

	"github.com/azurelead/azurelead/contract"
)

// Health is what an endpoint says of itself.
type Health struct {
	// Boot names the life of the endpoint's process: a new one means that it
	// restarted, and that it is cold.
	Boot contract.BootID `json:"boot"`
	// Cold is set while the endpoint bears no more than ColdLimit calls.
	Cold bool `json:"cold"`
	// ColdLimit is the limit that it declares; 0 when it declares none.
	ColdLimit int `json:"cold_limit,omitempty"`
	// InFlight counts the calls that it runs or holds in its queue. It may lag.
	InFlight int `json:"in_flight"`
}

// Prober is an Endpoint that can be asked for its health.
type Prober interface {
	// Probe asks for the endpoint's health. After an error the endpoint is
	// unreachable or answers wrongly.
	Probe(ctx context.Context) (Health, error)
}
