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

// Suspects records the requests that were in flight when endpoints crashed.
type Suspects interface {
	// Verdict returns how the request with the digest may run, and how long that verdict remains
	// valid.
	Verdict(digest string) (suspect.Verdict, time.Duration)
	// Crashed records the requests that were in flight at one crash.
	Crashed(digests []string)
	// Cleared records a successful run of a request.
	Cleared(digest string)
}

// noSuspects is a Suspects that allows every request.
type noSuspects struct{}

func (noSuspects) Verdict(string) (suspect.Verdict, time.Duration) { return suspect.Allowed, 0 }
func (noSuspects) Crashed([]string)                                {}
func (noSuspects) Cleared(string)                                  {}

// Options configures an Agent. Zero values select the defaults; Endpoint and Settings are required.
type Options struct {
	// Name is the agent's name in the list of instances.
	Name string
	// EndpointName is the endpoint's name in the settings. The default is Name.
	EndpointName string
	Pool         string
	Kind         pipeline.Kind
	DataCentre   string
	// Boot is the id of this boot of the agent. The default is a new id.
	Boot     contract.BootID
	Endpoint endpoint.Endpoint
	Settings settings.Source
	// RefreshSettings refreshes the settings of the process after a pause. If it is nil, the agent
	// learns of newer settings only from its peers.
	RefreshSettings func(ctx context.Context) error
	Gossip          link.Gossip
	Suspects        Suspects
	// ProbeInterval is the interval between health probes of the endpoint.
	ProbeInterval time.Duration
	// ReportLag is the maximum age of the load in an endpoint's health report.
	ReportLag time.Duration
	// PredecessorTimeout is the time after the start by which all calls of the preceding agent
	// process have ended.
	PredecessorTimeout time.Duration
	// OrphanGracePeriod is how long a repeatable attempt keeps running after the last link that
	// waited for it was lost.
	OrphanGracePeriod time.Duration
	// CancelReleaseDelay is how long a cancelled call keeps its slot, since the endpoint learns of
	// the cancellation later.
	CancelReleaseDelay time.Duration
	// PauseThreshold is the shortest gap between two ticks of the process that counts as a pause.
	PauseThreshold time.Duration
	// OnStateChange is called after a change that peers should learn of at once: the endpoint went
	// down or came back, or a request was marked. It must not block.
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
