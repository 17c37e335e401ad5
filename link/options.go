package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of calls. They tell the caller whether the peer may have received the call.
var (
	// Error is the class of all other errors of the package.
	Error = errs.Class("link")
	// NotSent is the class of calls of which no byte was written. The peer never receives them.
	NotSent = errs.Class("link: not sent")
	// Lost is the class of calls that were written before the link failed. The peer may have
	// received them; only Settle or Attach on a new link can tell.
	Lost = errs.Class("link: lost")
	// Refused is the class of calls that the peer answered with a JSON-RPC error.
	Refused = errs.Class("link: refused")
)

// Defaults of ClientOptions and ServerOptions.
const (
	// DefaultPingInterval bounds the age of the load that an idle agent has reported. It can be
	// long because urgent changes are pushed.
	DefaultPingInterval = 25 * time.Second
	// DefaultIdleTimeout also bounds the time that a message can be in transit on a link. The
	// tombstones of agents must outlive it.
	DefaultIdleTimeout    = 3 * DefaultPingInterval
	DefaultSilenceTimeout = 500 * time.Millisecond
	DefaultDialTimeout    = time.Second
	DefaultWriteTimeout   = 2 * time.Second
	DefaultFlushInterval  = time.Millisecond
	// DefaultMaxFrameBytes bounds the size of one message.
	DefaultMaxFrameBytes = 24 << 20
	// DefaultMaxPendingBytes bounds the bytes that wait to be written on one link, and the bytes of
	// received tokens of one attempt that its caller has not processed yet.
	DefaultMaxPendingBytes = 32 << 20
)

// Gossip is the state that a process exchanges with its peers. Settings versions and marks of
// suspect requests travel on handshakes, runs, pings and results.
type Gossip interface {
	// Version returns the highest settings version that this process has in force.
	Version() Version
	// ObserveVersion receives a newer settings version of a peer. fetch asks that peer for the
	// changes after version have. ObserveVersion runs on its own goroutine, one call at a time per
	// link.
	ObserveVersion(v Version, fetch func(ctx context.Context, have Version) (SettingsResult, error))
	// Changes returns the settings changes after version have.
	Changes(have Version) (SettingsResult, error)
	// Suspects returns the marks to send to peers.
	Suspects() []Suspect
	// Merge merges the marks of a peer into the local ones.
	Merge(marks []Suspect)
}

// MarkSource is implemented by a Gossip that can look up the mark of a single request.
type MarkSource interface {
	// Mark returns the mark of the request, or nil if it has none.
	Mark(digest string) *Suspect
}

// NoGossip is a Gossip that exchanges nothing.
type NoGossip struct{}

// Version implements Gossip.
func (NoGossip) Version() Version { return 0 }

// ObserveVersion implements Gossip.
func (NoGossip) ObserveVersion(Version, func(context.Context, Version) (SettingsResult, error)) {}

// Changes implements Gossip.
func (NoGossip) Changes(Version) (SettingsResult, error) {
	return SettingsResult{AgeMS: -1}, nil // a negative age confirms no version
}

// Suspects implements Gossip.
func (NoGossip) Suspects() []Suspect { return nil }

// Merge implements Gossip.
func (NoGossip) Merge([]Suspect) {}

// ClientOptions configures the entry's side of a link. Zero values select the defaults.
type ClientOptions struct {
	Hello HelloParams
	// TLS is nil for links without TLS.
	TLS *tls.Config
	// PingInterval is the time without a state update after which the peer is pinged.
	PingInterval time.Duration
	// SilenceTimeout is how long a link with an outstanding call may go without receiving a byte
	// before it is probed with a second connection.
	SilenceTimeout time.Duration
	DialTimeout    time.Duration
	WriteTimeout   time.Duration
	// MaxFrameBytes bounds the size of one message.
	MaxFrameBytes int
	// MaxPendingBytes bounds the bytes buffered for a slow peer, and those buffered for a slow
	// caller.
	MaxPendingBytes int
	Gossip          Gossip
	Logger          *slog.Logger
	// Metrics may be shared by all links of a process. If it is nil, unregistered metrics are used.
	Metrics *Metrics
	// Monitor may be shared by all links of a process. If it is nil, the link gets a Monitor of its
	// own.
	Monitor *Monitor
}

func (o *ClientOptions) setDefaults() {
	if o.Monitor == nil {
		o.Monitor = NewMonitor()
	}
	o.PingInterval = cmp.Or(o.PingInterval, DefaultPingInterval)
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, DefaultSilenceTimeout)
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.MaxFrameBytes = cmp.Or(o.MaxFrameBytes, DefaultMaxFrameBytes)
	o.MaxPendingBytes = cmp.Or(o.MaxPendingBytes, DefaultMaxPendingBytes)
	if o.Gossip == nil {
		o.Gossip = NoGossip{}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
}

// ServerOptions configures the agent's side of links. Zero values select the defaults.
type ServerOptions struct {
	// TLS is nil for links without TLS.
	TLS          *tls.Config
	WriteTimeout time.Duration
	// FlushInterval is the time over which tokens are batched while a link is busy.
	FlushInterval time.Duration
	// IdleTimeout is the time after which a link is closed on which the peer has sent nothing.
	IdleTimeout     time.Duration
	MaxFrameBytes   int
	MaxPendingBytes int
	Gossip          Gossip
	Logger          *slog.Logger
	Metrics         *Metrics
}

func (o *ServerOptions) setDefaults() {
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.FlushInterval = cmp.Or(o.FlushInterval, DefaultFlushInterval)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxFrameBytes = cmp.Or(o.MaxFrameBytes, DefaultMaxFrameBytes)
	o.MaxPendingBytes = cmp.Or(o.MaxPendingBytes, DefaultMaxPendingBytes)
	if o.Gossip == nil {
		o.Gossip = NoGossip{}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
}
