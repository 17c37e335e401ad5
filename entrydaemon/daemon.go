package entrydaemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/certs"
	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/gossip"
	"github.com/azurelead/azurelead/linger"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/telemetry"
)

const (
	// drainTimeout bounds the wait for requests in progress at shutdown.
	drainTimeout = 60 * time.Second
	// closeTimeout bounds the closing of connections after that.
	closeTimeout = time.Second
	// headerTimeout bounds the reading of a caller's headers. The entry sets time-outs for
	// the rest of a request, because a general one would cut long answers.
	headerTimeout = 5 * time.Second
	// writeTimeout applies until the entry sets the write deadline of a request.
	writeTimeout = 30 * time.Second
	// idleTimeout bounds how long a caller's connection may stay idle.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a caller's headers.
	maxHeaderBytes = 16 << 10
	// maxSettingsAge is how old the settings may be after a pause before they are renewed.
	maxSettingsAge = time.Second
)

// Daemon is a running entry process.
type Daemon struct {
	config   Config
	log      *slog.Logger
	registry *prometheus.Registry
	ready    telemetry.Readiness
	store    *platform.Client
	follower *settings.Follower
	ledger   *claim.Ledger
	claims   *claim.Forwarder
	suspects *suspect.Table
	entry    *entry.Entry

	callersListener   *linger.Listener
	operatorsListener net.Listener
	servers           []*http.Server
	serveLoops        sync.WaitGroup
	shutdownTracing   func(context.Context) error
	stop              context.CancelFunc
}

// Run runs an entry process until ctx ends, then stops it gracefully. It prints
// "operators" and the operators' address, then "listening" and the callers' address once it
// accepts requests.
func Run(ctx context.Context, c Config, out io.Writer, log *slog.Logger) error {
	d, err := Start(c, log)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "operators %s\nlistening %s\n", d.OperatorsAddr(), d.Addr()); err != nil {
		return Error.Wrap(err)
	}
	<-ctx.Done()
	return d.Stop()
}

// Start starts the components of the process. It does not wait for agents or settings;
// the readiness probe on the operators' address reports when they are available.
func Start(c Config, log *slog.Logger) (*Daemon, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{config: c, log: log, registry: telemetry.NewRegistry(), stop: stop}
	for _, step := range []func(context.Context) error{d.openPlatform, d.openEntry, d.listen} {
		if err := step(ctx); err != nil {
			stop()
			return nil, err
		}
	}
	d.serveLoops.Go(func() { d.follower.Run(ctx) })
	return d, nil
}

// Addr returns the callers' listen address.
func (d *Daemon) Addr() string { return d.callersListener.Addr().String() }

// OperatorsAddr returns the operators' listen address.
func (d *Daemon) OperatorsAddr() string { return d.operatorsListener.Addr().String() }

// Entry returns the daemon's entry.
func (d *Daemon) Entry() *entry.Entry { return d.entry }

func (d *Daemon) openPlatform(ctx context.Context) error {
	var err error
	if d.shutdownTracing, err = telemetry.SetupTracing(ctx, "azurelead-entry", d.config.OTLP); err != nil {
		return err
	}
	if d.store, err = platform.NewClient(platform.ClientOptions{URL: d.config.Platform, Registerer: d.registry}); err != nil {
		return err
	}
	d.follower = settings.NewFollower(settings.FollowerOptions{
		Store:      d.store,
		Instance:   d.config.Name,
		Candidates: d.storeWatchCandidates,
		FetchFromPeer: func(ctx context.Context, have settings.Version) (link.SettingsResult, error) {
			return d.entry.FetchSettings(ctx, have)
		},
		OnChange:   func() { d.entry.AnnounceSettings() },
		Logger:     d.log,
		Registerer: d.registry,
	})
	d.ledger = claim.NewLedger(claim.Options{Store: d.store, Metrics: d.registry})
	d.claims = claim.NewForwarder(claim.ForwarderOptions{
		Ledger:  d.ledger,
		Writers: func() []claim.Candidate { return d.entry.ClaimWriters() },
		Call: func(ctx context.Context, addr, method string, params, result any) error {
			return d.entry.Call(ctx, addr, method, params, result)
		},
	})
	return nil
}

// storeWatchCandidates returns the entries of the data centre, which take turns to watch
// the store.
func (d *Daemon) storeWatchCandidates() []string {
	return append(d.entry.Entries(d.config.DataCentre), d.config.Name)
}

func (d *Daemon) openEntry(context.Context) error {
	linkTLS, err := d.linkTLS()
	if err != nil {
		return err
	}
	d.suspects = suspect.New(suspect.Options{Metrics: d.registry})
	o := link.ClientOptions{
		Hello:   link.HelloParams{Entry: d.config.Name, EntryBoot: contract.NewBootID(), DataCentre: d.config.DataCentre},
		TLS:     linkTLS,
		Gossip:  gossip.Adapter{Follower: d.follower, Marks: d.suspects},
		Logger:  d.log,
		Metrics: link.NewMetrics(d.registry),
	}
	d.entry, err = entry.New(entry.Options{
		Name:       d.config.Name,
		DataCentre: d.config.DataCentre,
		Settings:   d.follower,
		Directory:  d.store,
		Dial:       entry.LinkDialer(o),
		Claims:     d.claims,
		Suspects:   d.suspects,
		Chooser:    entry.ChooserByName(d.config.Chooser),
		Renew:      func(ctx context.Context) error { return d.follower.Renew(ctx, maxSettingsAge) },
		SubsetSize: d.config.SubsetSize,
		SeedAgents: d.config.SeedAgents,
		Registry:   d.registry,
		Readiness:  &d.ready,
		Logger:     d.log,
	})
	return err
}

func (d *Daemon) linkTLS() (*tls.Config, error) {
	if d.config.LinkCert == "" {
		return nil, nil
	}
	id, err := certs.Load(certs.Options{Cert: d.config.LinkCert, Key: d.config.LinkKey, CA: d.config.LinkCA})
	if err != nil {
		return nil, err
	}
	return id.ClientConfig(), nil
}

// listen opens the callers' and the operators' listener and serves both.
func (d *Daemon) listen(context.Context) error {
	callersListener, err := net.Listen("tcp", d.config.Listen)
	if err != nil {
		return Error.Wrap(err)
	}
	d.callersListener = linger.NewListener(callersListener)
	if d.operatorsListener, err = net.Listen("tcp", d.config.OperatorsAddress); err != nil {
		return Error.Wrap(err)
	}
	callers := net.Listener(d.callersListener)
	if d.config.TLSCert != "" {
		id, err := certs.Load(certs.Options{Cert: d.config.TLSCert, Key: d.config.TLSKey})
		if err != nil {
			return err
		}
		callers = tls.NewListener(callers, id.ServerConfig())
	}
	d.serve(callers, d.entry.Handler(), d.callersListener.Track)
	d.serve(d.operatorsListener, d.entry.OperatorsHandler(telemetry.OperatorsHandler(d.registry, &d.ready, d.config.Pprof)), nil)
	return nil
}

func (d *Daemon) serve(l net.Listener, h http.Handler, connState func(net.Conn, http.ConnState)) {
	s := &http.Server{
		Handler:           h,
		ConnState:         connState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	d.servers = append(d.servers, s)
	d.serveLoops.Go(func() { _ = s.Serve(l) })
}

// Stop stops the process gracefully: readiness is turned off, requests in progress end,
// and only then are links and listeners closed.
func (d *Daemon) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := d.entry.Shutdown(ctx)
	// All requests have been answered, but the answers may still be in the servers' buffers.
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	for _, s := range d.servers {
		if closeErr := s.Shutdown(closeCtx); closeErr != nil {
			d.log.Warn("connections were cut", "error", closeErr)
		}
	}
	d.callersListener.AwaitUploads(time.Now().Add(closeTimeout))
	d.claims.Close()
	d.ledger.Close()
	d.stop()
	d.serveLoops.Wait()
	d.store.Close()
	_ = d.shutdownTracing(ctx)
	return err
}
