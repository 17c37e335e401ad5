package entry

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/telemetry"
)

// Error is the class of this package's errors.
var Error = errs.Class("entry")

// Link is the part of a link to an agent that an entry uses. *link.Client implements it.
type Link interface {
	Peer() link.HelloResult
	Load() link.Load
	Run(ctx context.Context, p link.RunParams, onChunk func(link.Chunk)) (link.RunResult, error)
	Attach(ctx context.Context, p link.AttachParams, onChunk func(link.Chunk)) (link.RunResult, error)
	Settle(ctx context.Context, p link.SettleParams) (link.SettleResult, error)
	Call(ctx context.Context, method string, params, result any) error
	Leaving() <-chan struct{}
	Done() <-chan struct{}
	Close() error
}

var _ Link = (*link.Client)(nil)

// Dialer opens a link to the agent at addr.
type Dialer func(ctx context.Context, addr string) (Link, error)

// LinkDialer returns a Dialer that opens links with link.Dial.
func LinkDialer(o link.ClientOptions) Dialer {
	if o.Monitor == nil {
		o.Monitor = link.NewMonitor()
	}
	return func(ctx context.Context, addr string) (Link, error) {
		c, err := link.Dial(ctx, addr, o)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// Suspects records which requests were in flight when an endpoint crashed.
type Suspects interface {
	// Verdict returns the verdict on a request digest and how long it remains valid.
	Verdict(digest string) (suspect.Verdict, time.Duration)
	// Merge adds the marks that an agent reported.
	Merge(marks []link.Suspect)
	// Cleared records that a request ran without a crash.
	Cleared(digest string)
}

type noSuspects struct{}

func (noSuspects) Verdict(string) (suspect.Verdict, time.Duration) { return suspect.Allowed, 0 }
func (noSuspects) Merge([]link.Suspect)                            {}
func (noSuspects) Cleared(string)                                  {}

// Defaults of Options.
const (
	DefaultSubsetSize          = 4
	DefaultRemoteSubsetSize    = 1
	DefaultRefreshInterval     = 5 * time.Second
	DefaultRecoveryTimeout     = 500 * time.Millisecond
	DefaultDeregistrationDelay = 200 * time.Millisecond
)

// Options configures an Entry. Zero fields take defaults; Settings, Directory
// and Dial are required.
type Options struct {
	Name       string
	DataCentre string
	Settings   settings.Source
	Directory  platform.Directory
	Dial       Dialer
	// Claims is required for pipelines with a stage that may not be repeated.
	// Without it their requests are refused as not run.
	Claims   claim.Claims
	Suspects Suspects
	// Chooser picks endpoints. The default is NewOccupancy.
	Chooser Chooser
	// Renew updates the settings after a pause of the process.
	Renew func(ctx context.Context) error
	// SubsetSize is how many agents of each pool in the entry's own data centre it
	// keeps links to.
	SubsetSize int
	// RemoteSubsetSize is how many agents of each pool it keeps links to in each other
	// data centre of its region. It links to more where there are too few entries to
	// reach every agent.
	RemoteSubsetSize int
	// SeedAgents are the addresses of agents to link to until the platform's instance
	// list has been read once. They allow a start while the platform is down.
	SeedAgents []string
	// RefreshInterval is the time between reads of the platform's instance list.
	RefreshInterval time.Duration
	// RecoveryTimeout bounds how long an attempt whose link was lost waits for a new one if another
	// attempt could replace it.
	RecoveryTimeout time.Duration
	// DeregistrationDelay is how long the load balancer may still send requests after
	// readiness has been turned off.
	DeregistrationDelay time.Duration
	// NoCoalescing runs identical requests separately, as a baseline for comparisons.
	NoCoalescing bool
	// NoShares disables the organisations' fair shares, as a baseline.
	NoShares bool
	// NoEarlyRefusal runs requests that are not expected to finish in time, as a baseline.
	NoEarlyRefusal bool
	// UnboundedRetries disables the retry budget, as a baseline.
	UnboundedRetries bool
	Registry         prometheus.Registerer
	Readiness        *telemetry.Readiness
	Logger           *slog.Logger
}

func (o *Options) setDefaults() {
	o.SubsetSize = cmp.Or(o.SubsetSize, DefaultSubsetSize)
	o.RemoteSubsetSize = cmp.Or(o.RemoteSubsetSize, DefaultRemoteSubsetSize)
	o.RefreshInterval = cmp.Or(o.RefreshInterval, DefaultRefreshInterval)
	o.RecoveryTimeout = cmp.Or(o.RecoveryTimeout, DefaultRecoveryTimeout)
	o.DeregistrationDelay = cmp.Or(o.DeregistrationDelay, DefaultDeregistrationDelay)
	if o.Suspects == nil {
		o.Suspects = noSuspects{}
	}
	if o.Chooser == nil {
		o.Chooser = NewOccupancy()
	}
	if o.Renew == nil {
		o.Renew = func(context.Context) error { return nil }
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Readiness == nil {
		o.Readiness = &telemetry.Readiness{}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

func (o *Options) check() error {
	var group errs.Group
	if o.Settings == nil {
		group.Add(Error.New("Settings is required"))
	}
	if o.Directory == nil {
		group.Add(Error.New("Directory is required"))
	}
	if o.Dial == nil {
		group.Add(Error.New("Dial is required"))
	}
	return group.Err()
}
