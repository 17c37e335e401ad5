package agent

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/suspect"
)

// Defaults of Options.
const (
	DefaultProbeInterval      = time.Second
	DefaultReportLag          = 500 * time.Millisecond
	DefaultPredecessorTimeout = 30 * time.Second
	DefaultOrphanGracePeriod  = 2 * time.Second
	DefaultCancelReleaseDelay = 100 * time.Millisecond
	DefaultPauseThreshold     = time.Second
)

// Suspects knows the requests that were in flight when endpoints crashed.
type Suspects interface {
	// Verdict tells what may be done with the request of the digest, and how
	// much longer that stands.
	Verdict(digest string) (suspect.Verdict, time.Duration)
	// Crashed reports the requests in flight at one crash.
	Crashed(digests []string)
	// Cleared reports a request that ran well.
	Cleared(digest string)
}

// noSuspects suspects nothing.
type noSuspects struct{}

func (noSuspects) Verdict(string) (suspect.Verdict, time.Duration) { return suspect.Allowed, 0 }
func (noSuspects) Crashed([]string)                                {}
func (noSuspects) Cleared(string)                                  {}

// Options sets up an Agent. Zero members take defaults.
type Options struct {
	// Name is the agent's name in the list of instances.
	Name string
	// EndpointName is the endpoint's name in the settings; Name by default.
	EndpointName string
	Pool         string
	Kind         pipeline.Kind
	DataCentre   string
	// Boot names this life of the agent; a fresh one by default.
	Boot     contract.BootID
	Endpoint endpoint.Endpoint
	Settings settings.Source
	// RefreshSettings renews what the process knows of the settings after a pause; nil
	// waits until a peer tells the version instead.
	RefreshSettings func(ctx context.Context) error
	Gossip          link.Gossip
	Suspects        Suspects
	// ProbeInterval is how often the endpoint is asked for its health.
	ProbeInterval time.Duration
	// ReportLag is how far the endpoint's report of its load may lag.
	ReportLag time.Duration
	// PredecessorTimeout is when calls of a former agent have surely ended.
	PredecessorTimeout time.Duration
	// OrphanGracePeriod is how long an attempt that may be repeated runs on after the
	// last link that waited for it was lost.
	OrphanGracePeriod time.Duration
	// CancelReleaseDelay is how long a call that was cut short keeps its slot, since
	// the endpoint learns of it later.
	CancelReleaseDelay time.Duration
	// PauseThreshold is the gap in the process's own ticks that counts as a pause.
	PauseThreshold time.Duration
	// OnStateChange is called after a change that the peers should hear of at once:
	// the endpoint died or came back, or a request was marked. It must not block.
	OnStateChange func()
	Logger        *slog.Logger
	Registerer    prometheus.Registerer
}

func (o *Options) setDefaults() {
	o.EndpointName = cmp.Or(o.EndpointName, o.Name)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, DefaultProbeInterval)
	o.ReportLag = cmp.Or(o.ReportLag, DefaultReportLag)
	o.PredecessorTimeout = cmp.Or(o.PredecessorTimeout, DefaultPredecessorTimeout)
	o.OrphanGracePeriod = cmp.Or(o.OrphanGracePeriod, DefaultOrphanGracePeriod)
	o.CancelReleaseDelay = cmp.Or(o.CancelReleaseDelay, DefaultCancelReleaseDelay)
	o.PauseThreshold = cmp.Or(o.PauseThreshold, DefaultPauseThreshold)
	if o.Boot == "" {
		o.Boot = contract.NewBootID()
	}
	if o.Gossip == nil {
		o.Gossip = link.NoGossip{}
	}
	if o.Suspects == nil {
		o.Suspects = noSuspects{}
	}
	if o.OnStateChange == nil {
		o.OnStateChange = func() {}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}
