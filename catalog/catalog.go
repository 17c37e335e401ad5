// Package catalog holds the routes, services and organisations that the operators declare and the
// endpoints that the platform lists. Its types are plain values; a configuration is compiled once
// and does not change afterwards.
package catalog

import (
	"slices"
	"time"
)

// Kind says whether the requests of a route may be repeated.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once is the kind of requests that may run at most once per attempt of the client.
	Once
	// Streaming requests are answered with a series of numbered events. They may run again only if
	// the route is resumable.
	Streaming
)

// Stage is work that is done before the request itself may run.
type Stage struct {
	Service string
	// After lists the indices of the stages whose results this stage reads.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// WeightedService is a service that serves a share of a route's requests, in proportion to its
// weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time from the arrival of a request to the end of its response.
	Timeout time.Duration
	// LatencyTarget is the operators' target for the time to the response, or to the first event of
	// a stream.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between two events of a stream that is within the
	// operators' target.
	EventGapTarget time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxAttempts bounds the number of endpoints that one request may run on.
	MaxAttempts int
	Stages      []Stage
	Public      bool
	// Sticky is set if requests share parts of their prompts.
	Sticky    bool
	Resumable bool
	// Regions are the regions whose endpoints may serve the route; all regions if empty.
	Regions []string
}

// MayUse reports whether the route sends requests to a service.
func (r *Route) MayUse(service string) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service })
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// StageLimits bounds the load of one endpoint of a stage service.
type StageLimits struct {
	// Slots is the maximum number of calls in progress.
	Slots int
	// Batch is the maximum number of tasks in one call.
	Batch int
	// CallTime is the approximate fixed duration of a call, TaskTime the additional duration of
	// each of its tasks.
	CallTime time.Duration
	TaskTime time.Duration
	// ResultMemory is the memory for results, in bytes.
	ResultMemory int64
	// ResultTTL is how long an endpoint keeps a result that is not freed.
	ResultTTL time.Duration
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that an endpoint accepts from all callers
	// together; 0 means no limit.
	MaxConnections int
	// ColdPeriod is how long an endpoint stays cold after its start.
	ColdPeriod time.Duration
	// ColdRate is the number of requests per second that a cold endpoint can handle; 0 means no
	// limit.
	ColdRate float64
	// Stages is set for stage services.
	Stages *StageLimits
	// Engine is set for services of model engines.
	Engine bool
	// KVCacheTokens is the capacity of the KV cache of one engine, in tokens.
	KVCacheTokens int
	// TokenFetchTime is how long an engine takes to fetch the KV cache of one token from another
	// engine; 0 if it cannot fetch.
	TokenFetchTime time.Duration
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int
	Regions  []string
}

// Limits bounds the requests and connections of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one accepted version of the operators' declarations.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Organisations []Organisation
	Limits        Limits
}

// EndpointState is the state that an endpoint reports about itself.
type EndpointState int

// The states of endpoints.
const (
	Ready EndpointState = iota
	Draining
)

// Endpoint is one server that the platform lists.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	State      EndpointState
	Slots      int
	// ColdRemaining is how much longer the endpoint was going to be cold when its record was
	// written.
	ColdRemaining time.Duration
	// Incarnation is the start time of the endpoint in Unix milliseconds; 0 if it is not reported.
	Incarnation int64
	// Version is the version of the endpoint's software. What two versions write does not fit together.
	Version string
}
