// Package gatewaydaemon runs a gateway on the users' platform: it wires the
// adapter, the followers, the links between entries and the clients' server,
// and stops without cutting a request.
package gatewaydaemon

import (
	"context"
	"crypto/rand"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/coordinate"
	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/gateway"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/retrybudget"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway daemon")

const (
	// defaultGrace is taken when the settings do not tell one.
	defaultGrace = 8 * time.Second
	// headerTimeout bounds reading a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes clients' connections that were not used; it is above
	// what the operators' limits let clients keep.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 128 << 10
	// acceptWithin is how long connections wait for a start, well below the
	// second after which clients leave; acceptPoll is a fraction of a start.
	acceptWithin = 500 * time.Millisecond
	acceptPoll   = 5 * time.Millisecond
	// peersWait is how long a starting entry waits for the list of others.
	peersWait = 1500 * time.Millisecond
	// listEntriesEvery is how often the entries' objects are listed.
	listEntriesEvery = 6 * time.Second
	// storeTimeout bounds a write to the store.
	storeTimeout = time.Second
	// maxBurst and maxOverdraft bound an entry's share of the slack, in retries.
	maxBurst     = 10
	maxOverdraft = 2
	// slackShare of the operators' slack for retries is shared out by the entries.
	slackShare = 0.8
	// ratioShare of the operators' ratio of retries is used.
	ratioShare = 0.85
)

// Config configures the daemon.
type Config struct {
	SettingsPath string
	// MetricsAddress is the address of the operators' metrics; none if empty.
	MetricsAddress string
	// OTLP is where traces are exported to; nowhere if empty.
	OTLP string
}

// daemon is one running gateway.
type daemon struct {
	// settings are those of the start; live are the ones read last.
	settings fleet.Settings
	live     atomic.Pointer[fleet.Settings]
	logger   *slog.Logger
	store    *fleet.Store
	roster   *roster.Roster
	follower *follow.Follower
	mesh     *peers.Mesh
	coord    *coordinate.Coordinator
	upstream *upstream.Client
	gateway  *gateway.Gateway
	budgets  *retrybudget.Set
	table    atomic.Pointer[catalog.Table]
	listed   chan struct{}
	listOnce sync.Once
	started  time.Time
	stopping atomic.Bool
	// endpoints is used by changed alone.
	endpoints endpointEntries
	// listEvery is the time between two lists of entries.
	listEvery time.Duration
	// members are the entries as the store listed them last.
	members atomic.Pointer[[]peers.Member]
}

// Run serves until ctx ends, and then stops without cutting requests.
func Run(ctx context.Context, c Config, logger *slog.Logger, reg *prometheus.Registry) error {
	settings, err := fleet.ReadSettings(c.SettingsPath)
	if err != nil {
		return err
	}
	d := newDaemon(settings, logger, reg)
	logger.Info("start", "instance", settings.Name, "data_centre", settings.DataCentre, "front", settings.ClientAddress,
		"store", settings.StoreAddress, "seeds", settings.Seeds)
	return d.run(ctx, c, reg)
}

func newDaemon(settings fleet.Settings, logger *slog.Logger, reg prometheus.Registerer) *daemon {
	d := &daemon{settings: settings, logger: logger, listed: make(chan struct{}), started: time.Now(), listEvery: listEntriesEvery}
	d.live.Store(&settings)
	d.store = fleet.NewStore(settings.StoreAddress, storeTransport())
	d.roster = roster.New(settings.Regions)
	d.upstream = upstream.New(upstream.Options{Metrics: upstream.NewMetrics(reg), MaxIdle: d.roster.MaxIdleConnections})
	d.budgets = &retrybudget.Set{}
	d.coord = coordinate.New(coordinate.Options{
		Upstream: d.upstream, Roster: d.roster, Logger: logger, Metrics: coordinate.NewMetrics(reg),
		EntryGone: func(name, incarnation string) bool { return d.mesh.KnownDown(name, incarnation) },
	})
	d.follower = follow.New(follow.Options{
		Store: d.store, Kinds: []string{fleet.KindConfiguration, fleet.KindEndpoints, fleet.KindEvacuations},
		OnChange: d.changed, Logger: logger, ReadsStore: func() bool { return d.mesh.ReadsStore() }, AwaitsPeers: d.waitsForHubs,
	})
	suspects := suspect.New(suspect.Options{Metrics: reg})
	self := peers.Identity{
		Name: settings.Name, Incarnation: rand.Text(), Address: settings.PeerAddress,
		DataCentre: settings.DataCentre, CPU: settings.CPUShare,
	}
	d.mesh = peers.New(peers.Options{
		Self:    self,
		Started: d.started, Follower: d.follower, Jobs: d.coord, Suspects: suspects, OnPeersChanged: d.peersChanged, Logger: logger,
		OnPeerRemoved: d.entryForgotten,
	})
	d.gateway = gateway.New(gateway.Options{
		DataCentre: settings.DataCentre, Table: d.table.Load, Roster: d.roster, Upstream: d.upstream,
		Stages: &stages{self: self, mesh: d.mesh, local: d.coord}, RetryBudgets: d.budgets,
		RetryPercent: func() int { return int(100 * d.live.Load().RetryRatio * ratioShare) },
		Suspects:     suspects, Logger: logger, Metrics: gateway.NewMetrics(reg),
	})
	d.peersChanged()
	d.registerBeliefs(reg)
	reg.MustRegister(d.coord)
	return d
}

// storeTransport keeps a connection for each watch; a call's context bounds its time.
func storeTransport() *http.Transport {
	dialer := upstream.Dialer(upstream.DefaultDialTimeout, upstream.DefaultTCPUserTimeout)
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
}

func (d *daemon) run(ctx context.Context, c Config, reg *prometheus.Registry) error {
	hup := catchHangups()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	server, err := d.listen(work, c, reg)
	if err != nil {
		return err
	}
	go d.follower.Run(work)
	go d.coord.Run(work)
	go d.followEntries(work)
	d.followSettings(ctx, work, c.SettingsPath, hup)
	d.stop(server)
	return nil
}

// listen opens the listeners and serves them.
func (d *daemon) listen(ctx context.Context, c Config, reg *prometheus.Registry) (*http.Server, error) {
	front, err := listen(ctx, d.settings.ClientAddress)
	if err != nil {
		return nil, err
	}
	health, err := listen(ctx, d.settings.HealthAddress)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	go func() {
		d.awaitStates(ctx)
		d.serve("front", server, front)
	}()
	d.serve("health", &http.Server{Handler: fleet.ReadyHandler(d.ready), ReadHeaderTimeout: headerTimeout}, health)
	if d.settings.PeerAddress != "" {
		l, err := listen(ctx, d.settings.PeerAddress)
		if err != nil {
			return nil, err
		}
		go d.mesh.Serve(ctx, l)
		d.mesh.Add(ctx, d.settings.Seeds)
	}
	if c.MetricsAddress != "" {
		l, err := listen(ctx, c.MetricsAddress)
		if err != nil {
			return nil, err
		}
		d.serve("metrics", &http.Server{Handler: metricsHandler(reg), ReadHeaderTimeout: headerTimeout}, l)
	}
	return server, nil
}

// awaitStates waits until requests can be decided on, for a moment at the most.
// Connections wait unread meanwhile: those that come to a process that has just
// started are not refused for what it learns within milliseconds.
func (d *daemon) awaitStates(ctx context.Context) {
	end := time.Now().Add(acceptWithin)
	for !(d.follower.HasSynced() && d.table.Load() != nil) && time.Now().Before(end) {
		if !sleep(ctx, acceptPoll) {
			return
		}
	}
}

func (d *daemon) serve(name string, s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			d.logger.Error("listener failed", "listener", name, "error", err)
		}
	}()
}

// ready tells the balancer whether new clients may come.
func (d *daemon) ready() bool {
	if d.stopping.Load() || d.table.Load() == nil || !d.follower.HasSynced() {
		return false
	}
	select {
	case <-d.listed:
		return true
	default:
		return time.Since(d.started) > peersWait
	}
}

// changed takes a new state of one kind of objects.
func (d *daemon) changed(kind string, objects map[string]fleet.Object, gap bool) {
	now := time.Now()
	defer d.coord.InvalidateEndpoints()
	if d.mesh.ReadsStore() {
		defer d.mesh.PingAll()
	}
	switch kind {
	case fleet.KindConfiguration:
		d.configure(objects)
	case fleet.KindEndpoints:
		d.setEndpoints(now, objects, gap)
	case fleet.KindEvacuations:
		out := make(map[string]bool, len(objects))
		for name := range objects {
			out[name] = true
		}
		d.roster.SetEvacuated(now, out)
		d.logger.Info("data centres out", "data_centres", out)
	}
}

func (d *daemon) configure(objects map[string]fleet.Object) {
	o, found := objects[fleet.ConfigurationName]
	if !found {
		return
	}
	c, err := fleet.DecodeConfiguration(o.Spec)
	if err != nil {
		d.logger.Error("configuration not decoded", "revision", o.Revision, "error", err)
		return
	}
	if old := d.table.Load(); old != nil && old.Version >= c.Version {
		return
	}
	d.roster.SetServices(c.Services)
	d.coord.SetServices(c.Services)
	d.table.Store(catalog.Compile(c))
	d.logger.Info("configuration in force", "version", c.Version, "revision", o.Revision, "routes", len(c.Routes),
		"organisations", len(c.Organisations))
}

func (d *daemon) setEndpoints(now time.Time, objects map[string]fleet.Object, gap bool) {
	list, lost := d.endpoints.decode(objects, d.logger)
	for _, id := range lost {
		d.gateway.EndpointLost(id)
	}
	d.roster.SetEndpoints(now, list, gap)
	d.upstream.Retain(d.roster.Known)
}

// peersChanged shares out what all entries may do together.
func (d *daemon) peersChanged() {
	names, n := d.entryNames()
	d.roster.SetEntries(n, rankAmong(d.settings.Name, names))
	share := d.live.Load().RetrySlack * slackShare / float64(max(n, 1))
	overdraft := min(maxOverdraft, share/3)
	d.budgets.SetLimits(min(maxBurst, share-overdraft), overdraft)
}

// entryNames are the entries that share work out, and how many there are at
// most: those that are linked, or in a large deployment, in which few are, those
// that the store lists.
func (d *daemon) entryNames() ([]string, int) {
	names := map[string]bool{d.settings.Name: true}
	for _, p := range d.mesh.LivePeers() {
		names[p.Name] = true
	}
	listed := 0
	if members := d.members.Load(); members != nil {
		listed = len(*members)
		for _, m := range *members {
			if d.mesh.UsesHubs() {
				names[m.Name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names)), max(len(names), listed)
}
