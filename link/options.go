package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/zeebo/errs"
)

// Errors of calls. They tell the caller what the peer can have seen.
var (
	// Error is the class of the package's other errors.
	Error = errs.Class("link")
	// NotSent is for calls of which no byte was written: the peer never sees them.
	NotSent = errs.Class("link: not sent")
	// Lost is for calls that were written before the link failed: the peer may
	// have seen them, and only Settle or Attach on a new link can tell.
	Lost = errs.Class("link: lost")
	// Refused is for calls that the peer answered with a JSON-RPC error.
	Refused = errs.Class("link: refused")
)

// Defaults of links.
const (
	// DefaultPingInterval is long, since what has to be heard at once is pushed;
	// it bounds how old the load of a quiet agent may be.
	DefaultPingInterval = 25 * time.Second
	// DefaultIdleTimeout also bounds how long a message can be under way on a link,
	// which agents' tombstones have to outlast.
	DefaultIdleTimeout    = 3 * DefaultPingInterval
	DefaultSilenceTimeout = 500 * time.Millisecond
	DefaultDialTimeout    = time.Second
	DefaultWriteTimeout   = 2 * time.Second
	DefaultFlushInterval  = time.Millisecond
	// DefaultMaxFrameBytes bounds one message of a peer.
	DefaultMaxFrameBytes = 24 << 20
	// DefaultMaxPendingBytes bounds what waits to be written on one link, and
	// the chunks of one attempt that its caller has not taken yet.
	DefaultMaxPendingBytes = 32 << 20
)

// Gossip is what a process learns from its peers: settings versions and
// suspect requests travel on handshakes, pings and results.
type Gossip interface {
	// Version returns the highest settings version in force here.
	Version() Version
	// ObserveVersion reports the version that a peer has; fetch asks that peer for the
	// changes above have. ObserveVersion runs on its own goroutine, once at a time per link.
	ObserveVersion(v Version, fetch func(ctx context.Context, have Version) (SettingsResult, error))
	// Changes answers a peer that has the version have.
	Changes(have Version) (SettingsResult, error)
	// Suspects returns the marks to pass on.
	Suspects() []Suspect
	// Merge takes a peer's marks in.
	Merge(marks []Suspect)
}

// MarkSource is a Gossip that knows the mark of one request.
type MarkSource interface {
	// Mark returns the request's mark, or nil if it has none.
	Mark(digest string) *Suspect
}

// NoGossip spreads nothing.
type NoGossip struct{}

// Version implements Gossip.
func (NoGossip) Version() Version { return 0 }

// ObserveVersion implements Gossip.
func (NoGossip) ObserveVersion(Version, func(context.Context, Version) (SettingsResult, error)) {}

// Changes implements Gossip.
func (NoGossip) Changes(Version) (SettingsResult, error) {
	return SettingsResult{AgeMS: -1}, nil // it confirms nothing
}

// Suspects implements Gossip.
func (NoGossip) Suspects() []Suspect { return nil }

// Merge implements Gossip.
func (NoGossip) Merge([]Suspect) {}

// ClientOptions sets up the entry's side of links. Zero members take defaults.
type ClientOptions struct {
	Hello HelloParams
	// TLS is nil for plain links.
	TLS *tls.Config
	// PingInterval is how often a quiet link is pinged.
	PingInterval time.Duration
	// SilenceTimeout is how long a link with an outstanding call may stay without
	// a byte before a new link is tried against it.
	SilenceTimeout time.Duration
	DialTimeout    time.Duration
	WriteTimeout   time.Duration
	// MaxFrameBytes bounds one message of the peer.
	MaxFrameBytes int
	// MaxPendingBytes bounds what waits for a slow peer or a slow caller.
	MaxPendingBytes int
	Gossip          Gossip
	Logger          *slog.Logger
	// Metrics may be shared by all links of a process; nil counts nothing.
	Metrics *Metrics
	// Monitor may be shared by all links of a process; nil watches each by itself.
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

// ServerOptions sets up the agent's side of links. Zero members take defaults.
type ServerOptions struct {
	// TLS is nil for plain links.
	TLS          *tls.Config
	WriteTimeout time.Duration
	// FlushInterval is how long chunks are gathered while a link is busy.
	FlushInterval time.Duration
	// IdleTimeout closes a link on which the peer has sent nothing for so long.
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
