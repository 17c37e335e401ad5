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

// Link is what an entry uses of a link to an agent; *link.Client is one.
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

// LinkDialer returns a Dialer that opens real links.
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

// Suspects keeps the marks of requests that were in flight at crashes.
type Suspects interface {
	// Verdict returns the verdict on a digest and how long it still stands.
	Verdict(digest string) (suspect.Verdict, time.Duration)
	// Merge takes in the marks that an agent reported.
	Merge(marks []link.Suspect)
	// Cleared records a good run of a request.
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

// Options sets up an Entry. Zero members take defaults; Settings, Directory
// and Dial are required.
type Options struct {
	Name       string
	DataCentre string
	Settings   settings.Source
	Directory  platform.Directory
	Dial       Dialer
	// Claims is required when a pipeline has a stage that may not be repeated;
	// without it such requests are refused as not run.
	Claims   claim.Claims
	Suspects Suspects
	// Chooser picks endpoints; the default is NewOccupancy.
	Chooser Chooser
	// Renew brings the settings up to date after a pause of the process.
	Renew func(ctx context.Context) error
	// SubsetSize is how many agents of each pool in its own data centre the entry
	// keeps links to.
	SubsetSize int
	// RemoteSubsetSize is how many in each other data centre of its region. More
	// are linked where there are too few entries to reach every agent.
	RemoteSubsetSize int
	// SeedAgents are addresses of agents to link to until the platform's list
	// has been read once, for a start while the platform is down.
	SeedAgents []string
	// RefreshInterval is how often the platform's list is read.
	RefreshInterval time.Duration
	// RecoveryTimeout is how long a lost attempt waits for a new link.
	RecoveryTimeout time.Duration
	// DeregistrationDelay is how long the balancer may still send requests after
	// readiness went off.
	DeregistrationDelay time.Duration
	// NoCoalescing runs every request by itself, as a baseline.
	NoCoalescing bool
	// NoShares turns the organisations' shares off, as a baseline.
	NoShares bool
	// NoEarlyRefusal runs requests that cannot finish, as a baseline.
	NoEarlyRefusal bool
	// UnboundedRetries turns the retry budget off, as a baseline.
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
