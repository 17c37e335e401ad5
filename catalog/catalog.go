// Package catalog holds what the operators declare and what the platform lists:
// routes, services, organisations and endpoints. Its types are plain values; a
// configuration is compiled once and never changes afterwards.
package catalog

import "time"

// Kind says what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once is for requests that may run at most once per attempt of the client.
	Once
	// Streaming answers are series of numbered events; the request may run
	// again only where the route is resumable.
	Streaming
)

// Stage is work that is done before a request itself may run.
type Stage struct {
	Service string
	// After lists the stages whose results this one reads.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// WeightedService is a service with its share of a route's requests.
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
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream,
	// that the operators aim for.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between events that is still on time.
	EventGapTarget time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxAttempts bounds the endpoints that one request may run on.
	MaxAttempts int
	Stages      []Stage
	Public      bool
	// Sticky is set where requests share parts of prompts.
	Sticky    bool
	Resumable bool
	// Regions are the only ones that may serve the route; all if empty.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// StageLimits bounds what one endpoint of a stage service takes.
type StageLimits struct {
	// Slots is the number of calls in progress at the same time.
	Slots int
	// Batch is the number of tasks in one call.
	Batch int
	// CallTime and TaskTime are the approximate durations of a call and of each
	// of its tasks.
	CallTime time.Duration
	TaskTime time.Duration
	// ResultMemory is the memory for results, in bytes.
	ResultMemory int64
	// ResultTTL is how long a result is kept that nobody frees.
	ResultTTL time.Duration
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is what an endpoint takes from all callers; 0 is no bound.
	MaxConnections int
	// ColdPeriod is how long an endpoint stays cold after its start.
	ColdPeriod time.Duration
	// ColdRate is how many requests a second a cold endpoint bears; 0 is no bound.
	ColdRate float64
	// Stages is set for services that do stages.
	Stages *StageLimits
	// Engine is set for services of model engines.
	Engine bool
	// KVCacheTokens is the memory of one engine, in tokens.
	KVCacheTokens int
	// TokenFetchTime is how long an engine takes to fetch one token's memory from
	// another one; 0 if engines cannot.
	TokenFetchTime time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int
	Regions  []string
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one accepted version of what the operators declare.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Organisations []Organisation
	Limits        Limits
}

// EndpointState is what an endpoint says of itself.
type EndpointState int

// The states of endpoints.
const (
	Ready EndpointState = iota
	Draining
)

// Endpoint is one server as the platform lists it.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	State      EndpointState
	Slots      int
	// ColdRemaining is how much longer the endpoint was cold when it said so.
	ColdRemaining time.Duration
	// Incarnation is the Unix millisecond of its start; 0 when not told.
	Incarnation int64
}
