// Package gatewaydaemon runs a gateway on the users' platform: it connects the platform adapter,
// the follower of the store, the links between entries and the clients' HTTP server, and shuts
// down without interrupting requests.
package gatewaydaemon

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/canary"
	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/clientlimit"
	"github.com/azurelead/azurelead/coordinate"
	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/gateway"
	"github.com/azurelead/azurelead/memorybudget"
	"github.com/azurelead/azurelead/origin"
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
	// defaultGrace is the grace period if the settings have none.
	defaultGrace = 8 * time.Second
	// headerTimeout bounds the time to read a request header, and idleTimeout that for which client
	// connections may be idle, unless the operators' limits allow more.
	headerTimeout = 5 * time.Second
	idleTimeout   = 75 * time.Second
	// maxHeaderBytes bounds the size of a request header, and of a response header of the store. The configured limit of a
	// request's header holds below it, but for minHeaderBytes, and for headerSlack: what is read with the header's end, and what clients
	// may not count, such as the request line.
	maxHeaderBytes = 128 << 10
	minHeaderBytes = 32 << 10
	headerSlack    = 8 << 10
	// maxStateDelay is how long requests wait for a starting process to learn the
	// platform's state. It is well below the second after which clients give up. statePollInterval
	// is a fraction of the usual start-up time.
	maxStateDelay     = 500 * time.Millisecond
	statePollInterval = 5 * time.Millisecond
	// readyListTimeout is the time after the start at which an entry becomes ready even if it has
	// not yet read the list of other entries.
	readyListTimeout = 1500 * time.Millisecond
	// entryListInterval is the interval at which the entries' objects are listed.
	entryListInterval = 6 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// maxRetryBurst and maxRetryOverdraft bound this entry's share of the retry slack, in retries.
	maxRetryBurst     = 10
	maxRetryOverdraft = 2
	// retrySlackShare is the fraction of the configured retry slack that the entries divide among
	// themselves.
	retrySlackShare = 0.8
	// retryRatioShare is the fraction of the configured retry ratio that is used.
	retryRatioShare = 0.85
)

// Config configures the daemon.
type Config struct {
	SettingsPath string
	// MetricsAddress is the listen address for the operators' metrics; metrics are not served if it
	// is empty.
	MetricsAddress string
	// Hangups receives a value when the settings are to be read again; nil never does.
	Hangups <-chan os.Signal
	// OTLP is the URL that traces are exported to; they are not exported if it is empty.
	OTLP string
}

// daemon is one running gateway process.
type daemon struct {
	// settings are those that the process started with, current the ones read last.
	settings    fleet.Settings
	current     atomic.Pointer[fleet.Settings]
	logger      *slog.Logger
	store       *fleet.Store
	roster      *roster.Roster
	follower    *follow.Follower
	mesh        *peers.Mesh
	coordinator *coordinate.Coordinator
	upstream    *upstream.Client
	// uploads is the budget for the bodies of clients' requests.
	uploads      *memorybudget.Budget
	gateway      *gateway.Gateway
	retryBudgets *retrybudget.Set
	origins      *streamOrigins
	// rollouts is nil if the settings allow no exposure to undecided versions.
	rollouts          *canary.Tracker
	versions          *versionHistory
	table             atomic.Pointer[catalog.Table]
	entriesListed     chan struct{}
	entriesListedOnce sync.Once
	// initialised is closed at the end of awaitInitialState.
	initialised chan struct{}
	// entrySyncRequests holds a value while the entries are to be listed at once.
	entrySyncRequests chan struct{}
	// notices holds a value while there are notices to send to the peers.
	notices  chan struct{}
	started  time.Time
	stopping atomic.Bool
	pauses   *pauseDetector
	// dispatching is set while this entry is the elected dispatcher.
	dispatching atomic.Bool
	// endpoints is accessed only by objectsChanged, whose calls do not overlap.
	endpoints endpointCache
	// listInterval is the interval at which the entries are listed.
	listInterval time.Duration
	// members are the entries of the last list read from the store.
	members atomic.Pointer[[]peers.Member]
	// malformedEntries are the revisions of the objects in that list that describe no entry, by name.
	malformedEntries atomic.Pointer[map[string]int64]
	// malformedEndpoints is the number of listed objects that describe no usable endpoint.
	malformedEndpoints atomic.Int64
}

// Run serves requests until ctx ends and then shuts down without interrupting requests in flight.
func Run(ctx context.Context, c Config, logger *slog.Logger, reg *prometheus.Registry) error {
	settings, err := fleet.ReadSettings(c.SettingsPath)
	if err != nil {
		return err
	}
	planMemory(settings.MemoryBytes, settings.MaxFiles).apply()
	d := newDaemon(settings, logger, reg)
	logger.Info("start", "instance", settings.Name, "data_centre", settings.DataCentre, "front", settings.ClientAddress,
		"store", settings.StoreAddress, "seeds", settings.Seeds)
	return d.run(ctx, c, reg)
}

// newDaemon creates and connects the parts of a gateway without starting them.
func newDaemon(settings fleet.Settings, logger *slog.Logger, reg prometheus.Registerer) *daemon {
	d := &daemon{settings: settings, logger: logger, entriesListed: make(chan struct{}), initialised: make(chan struct{}), entrySyncRequests: make(chan struct{}, 1), notices: make(chan struct{}, 1), started: time.Now(), pauses: newPauseDetector(handOverInterval, time.Now()), listInterval: entryListInterval}
	d.current.Store(&settings)
	d.store = fleet.NewStore(settings.StoreAddress, newStoreTransport())
	d.roster = roster.New(settings.Regions)
	d.upstream = upstream.New(upstream.Options{
		Metrics: upstream.NewMetrics(reg), MaxIdle: d.roster.MaxIdleConnections, ResponseID: fleet.ResponseID,
		Budget: memorybudget.New(planMemory(settings.MemoryBytes, settings.MaxFiles).responses),
	})
	d.retryBudgets = &retrybudget.Set{}
	incarnation := rand.Text()
	d.rollouts = d.newRollouts(incarnation, reg)
	d.coordinator = coordinate.New(coordinate.Options{
		Upstream: d.upstream, Roster: d.roster, Logger: logger, Metrics: coordinate.NewMetrics(reg), OnNotice: d.endpointNoticed, Rollouts: d.rollouts,
		EntryGone: func(name, incarnation string) bool { return d.mesh.KnownDown(name, incarnation) },
	})
	d.follower = follow.New(follow.Options{
		Store: d.store, Kinds: d.followedKinds(),
		OnChange: d.objectsChanged, Logger: logger, ReadsStore: func() bool { return d.mesh.ReadsStore() }, AwaitsPeers: d.defersToHubs,
		PeersContact: func() time.Time { return d.mesh.PeersStoreResponse() },
	})
	d.versions = newVersionHistory(d)
	d.origins = &streamOrigins{table: origin.New(), roster: d.roster, versions: d.versions, lastStoreResponse: func() time.Time { return d.mesh.LastStoreResponse() }}
	d.origins.records = newOriginRecords(d)
	suspectParts := suspect.NewParts(reg)
	suspectRequests := suspect.NewRequests(suspectParts, reg)
	self := peers.Identity{
		Name: settings.Name, Incarnation: incarnation, Address: settings.PeerAddress,
		DataCentre: settings.DataCentre, CPU: settings.CPUShare,
	}
	d.mesh = peers.New(peers.Options{
		Self:    self,
		Started: d.started, Follower: d.follower, Jobs: d.coordinator, SuspectParts: suspectParts, SuspectRequests: suspectRequests,
		OnPeersChanged: d.peersChanged, Logger: logger,
		Roster: d.roster, Origins: d.origins.table, OnNotices: d.coordinator.InvalidateEndpoints, OnPeerRemoved: d.removeDeadEntry,
		OnStoreOrigins: d.origins.records.take, OnRolloutReports: d.decideRollouts,
	})
	d.origins.mesh = d.mesh
	d.uploads = memorybudget.New(planMemory(settings.MemoryBytes, settings.MaxFiles).uploads)
	d.gateway = gateway.New(gateway.Options{
		DataCentre: settings.DataCentre, Table: d.table.Load, AwaitState: d.awaitState, Roster: d.roster, Upstream: d.upstream,
		OnUpload: uploadBegins, OnRead: requestRead,
		Uploads: d.uploads,
		Stages:  &stageRunner{self: self, mesh: d.mesh, local: d.coordinator}, RetryBudgets: d.retryBudgets,
		RetryPercent: func() int { return int(100 * d.current.Load().RetryRatio * retryRatioShare) },
		SuspectParts: suspectParts, SuspectRequests: suspectRequests, Origins: d.origins, Rollouts: d.rollouts, OnCrash: d.mesh.PingAll, OnNotice: d.endpointNoticed, Logger: logger, Metrics: gateway.NewMetrics(reg),
	})
	d.updateShares()
	d.registerStateMetrics(reg)
	reg.MustRegister(d.coordinator)
	return d
}

// newStoreTransport returns a transport for calls of the store, which use each connection once. Calls are
// bounded by their contexts.
func newStoreTransport() *http.Transport {
	dialer := upstream.Dialer(upstream.DefaultDialTimeout, upstream.DefaultTCPUserTimeout)
	return &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		// The default is sized for browsers.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// run serves until ctx ends and then stops. Background work goes on until the requests in flight have
// ended.
func (d *daemon) run(ctx context.Context, c Config, reg *prometheus.Registry) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	clients, err := d.listen(workCtx, c, reg)
	if err != nil {
		return err
	}
	go d.follower.Run(workCtx)
	go d.coordinator.Run(workCtx)
	go d.syncEntries(workCtx)
	go d.watchElection(workCtx)
	go d.versions.run(workCtx)
	go d.origins.records.run(workCtx)
	go d.origins.records.clean(workCtx)
	go d.announceNotices(workCtx)
	if d.rollouts != nil {
		go d.rollouts.Run(workCtx)
	}
	d.watchSettings(ctx, workCtx, c.SettingsPath, c.Hangups)
	d.stop(clients)
	return nil
}

// listen opens the listeners and starts serving on them. It returns the clients' server.
func (d *daemon) listen(ctx context.Context, c Config, reg *prometheus.Registry) (*clientServer, error) {
	clientListener, err := listenTCP(ctx, d.settings.ClientAddress)
	if err != nil {
		return nil, err
	}
	healthListener, err := listenTCP(ctx, d.settings.HealthAddress)
	if err != nil {
		return nil, err
	}
	clients := newClientServer(clientListener, &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: withClientConn, ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelWarn),
	}, d.clientLimits)
	refusals := clientlimit.NewMetrics(reg)
	clients.guard, clients.logger = d.newClientGuard(clients, refusals), d.logger
	d.uploads.OnShortage(func(owner string) bool { return clients.guard.EvictUpload(time.Now(), owner) })
	d.serve("front", clients.server, clients.acceptor())
	go func() {
		defer close(d.initialised)
		d.awaitInitialState(ctx)
	}()
	d.serveOperators("health", fleet.ReadyHandler(d.ready), healthListener, refusals)
	if d.settings.PeerAddress != "" {
		l, err := listenTCP(ctx, d.settings.PeerAddress)
		if err != nil {
			return nil, err
		}
		go d.mesh.Serve(ctx, l)
		d.mesh.Add(ctx, d.settings.Seeds)
	}
	if c.MetricsAddress != "" {
		l, err := listenTCP(ctx, c.MetricsAddress)
		if err != nil {
			return nil, err
		}
		d.serveOperators("metrics", metricsHandler(reg), l, refusals)
	}
	return clients, nil
}

// newClientGuard returns the guard of the clients' connections.
func (d *daemon) newClientGuard(clients *clientServer, refusals *clientlimit.Metrics) *clientlimit.Guard {
	plan := planMemory(d.settings.MemoryBytes, d.settings.MaxFiles)
	clients.listener.MaxLingering = max(int(lingeringShare*float64(plan.connections)), 1)
	return clientlimit.New(clientlimit.Options{
		MaxConnections: plan.connections, HeadMemory: plan.heads, MaxHead: d.maxHeader,
		Metrics: refusals,
	})
}

const (
	// operatorConnections bounds the connections to the address for health, and to that for metrics.
	operatorConnections = 64
	// operatorHeadMemory bounds the memory of the heads of their requests, in bytes.
	operatorHeadMemory = 1 << 20
)

// serveOperators serves the load balancer or the operators in the background. Their connections are limited like those of
// clients, who may reach the address as well.
func (d *daemon) serveOperators(name string, h http.Handler, l net.Listener, refusals *clientlimit.Metrics) {
	s := newClientServer(l, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: minHeaderBytes},
		func() clientLimits { return clientLimits{header: headerTimeout, idle: idleTimeout} })
	s.logger = d.logger
	s.listener.MaxLingering = operatorConnections
	s.guard = clientlimit.New(clientlimit.Options{
		MaxConnections: operatorConnections, HeadMemory: operatorHeadMemory, MaxHead: func() int { return minHeaderBytes }, Metrics: refusals,
	})
	d.serve(name, s.server, s.acceptor())
}

// maxHeader returns the number of bytes that may be read of a request's header.
func (d *daemon) maxHeader() int {
	limit := maxHeaderBytes
	if t := d.table.Load(); t != nil && t.Limits.HeaderBytes > 0 {
		limit = min(max(t.Limits.HeaderBytes, minHeaderBytes), maxHeaderBytes)
	}
	return limit + headerSlack
}

// clientLimits returns what the configuration in force allows clients, and at least the default time-outs: a
// client may not know yet that a limit has been lowered.
func (d *daemon) clientLimits() clientLimits {
	limits := clientLimits{header: headerTimeout, idle: idleTimeout}
	if t := d.table.Load(); t != nil {
		limits.header = max(limits.header, t.Limits.HeaderTimeout)
		limits.idle = max(limits.idle, t.Limits.IdleTimeout)
	}
	return limits
}

// awaitInitialState waits until the configuration and all followed objects are known, for at most
// maxStateDelay. Until then requests wait: otherwise a process that has just started would refuse requests because of
// state that it learns within milliseconds. They are read meanwhile, as their clients' time counts from then.
func (d *daemon) awaitInitialState(ctx context.Context) {
	deadline := time.Now().Add(maxStateDelay)
	for !(d.follower.HasSynced() && d.table.Load() != nil) && time.Now().Before(deadline) {
		if !sleep(ctx, statePollInterval) {
			return
		}
	}
}

// awaitState waits for the end of awaitInitialState, or of ctx.
func (d *daemon) awaitState(ctx context.Context) {
	select {
	case <-d.initialised:
	case <-ctx.Done():
	}
}

// serve runs a server in the background and logs its failure under the listener's name.
func (d *daemon) serve(name string, s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed && !errors.Is(err, net.ErrClosed) {
			d.logger.Error("listener failed", "listener", name, "error", err)
		}
	}()
}

// ready reports to the balancer whether this entry accepts new clients.
func (d *daemon) ready() bool {
	if d.stopping.Load() || d.table.Load() == nil || !d.follower.HasSynced() {
		return false
	}
	select {
	case <-d.entriesListed:
		return true
	default:
		return time.Since(d.started) > readyListTimeout
	}
}

// objectsChanged applies the new state of one kind of objects.
func (d *daemon) objectsChanged(c follow.Change) {
	now := time.Now()
	defer d.coordinator.InvalidateEndpoints()
	if d.mesh.ReadsStore() {
		defer d.mesh.PingAll()
	}
	if c.Restored {
		d.requestEntrySync()
	}
	switch c.Kind {
	case fleet.KindConfiguration:
		d.applyConfiguration(c.Objects)
	case fleet.KindEndpoints:
		d.applyEndpoints(now, c.Objects, continuity(c))
	case fleet.KindEvacuations:
		evacuated := make(map[string]bool, len(c.Objects))
		for name := range c.Objects {
			evacuated[name] = true
		}
		d.roster.SetEvacuated(now, evacuated, continuity(c))
		d.logger.Info("data centres out", "data_centres", evacuated)
	case fleet.KindRollouts:
		d.applyRollouts(now, c)
	}
}

// continuity says how a changed list follows the one before it.
func continuity(c follow.Change) roster.Continuity {
	switch {
	case c.Restored:
		return roster.AfterRestore
	case c.Gap:
		return roster.AfterGap
	}
	return roster.Continuous
}

// applyConfiguration puts the stored configuration in force if it is newer than the current one. A
// restored store may list an older one until the operators have written the newer one again.
func (d *daemon) applyConfiguration(objects map[string]fleet.Object) {
	object, found := objects[fleet.ConfigurationName]
	if !found {
		return
	}
	config, err := fleet.DecodeConfiguration(object.Spec)
	if err != nil {
		d.logger.Error("failed to decode the configuration", "revision", object.Revision, "error", err)
		return
	}
	if old := d.table.Load(); old != nil && old.Version >= config.Version {
		return
	}
	d.roster.SetServices(config.Services)
	d.coordinator.SetServices(config.Services)
	d.table.Store(catalog.Compile(config))
	d.logger.Info("configuration in force", "version", config.Version, "revision", object.Revision, "routes", len(config.Routes),
		"organisations", len(config.Organisations))
}

// applyEndpoints updates the roster with the listed endpoints and reports lost ones to the gateway.
func (d *daemon) applyEndpoints(now time.Time, objects map[string]fleet.Object, c roster.Continuity) {
	list, lost := d.endpoints.decode(objects, d.logger)
	d.malformedEndpoints.Store(int64(len(objects) - len(list)))
	for _, id := range lost {
		d.gateway.EndpointLost(id)
	}
	d.roster.SetEndpoints(now, list, c)
	go d.origins.announceMixed()
	d.versions.requestSync()
	d.upstream.Retain(d.roster.Known)
}

// peersChanged adapts this entry to a change of its live peers.
func (d *daemon) peersChanged() {
	d.updateShares()
	d.handOverIfReplaced()
}

// updateShares recomputes this entry's share of what all entries together may use: requests to cold
// endpoints, idle connections and retries.
func (d *daemon) updateShares() {
	names, n := d.entryNames()
	d.roster.SetEntries(n, rankFunc(d.settings.Name, names))
	share := d.current.Load().RetrySlack * retrySlackShare / float64(max(n, 1))
	overdraft := min(maxRetryOverdraft, share/3)
	d.retryBudgets.SetLimits(min(maxRetryBurst, share-overdraft), overdraft)
}

// entryNames returns the names of the entries that share work, including this one, and an upper bound
// on their number. The names are those of the linked entries. In a large deployment, where most
// entries are linked only to the hubs, the entries that the store lists are added.
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
