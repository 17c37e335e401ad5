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
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/telemetry"
)

const (
	// drainBound bounds the end of requests in progress at a stop.
	drainBound = 60 * time.Second
	// headerTimeout bounds the reading of a caller's headers; the entry bounds
	// the rest of a request, since a bound here would cut long answers.
	headerTimeout = 5 * time.Second
	// writeTimeout holds until the entry sets a request's own bound.
	writeTimeout = 30 * time.Second
	// idleTimeout bounds an unused connection of a caller.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a caller's headers.
	maxHeaderBytes = 16 << 10
	// renewAge is how old the settings may be after a pause without a renewal.
	renewAge = time.Second
)

// Daemon is a running entry process.
type Daemon struct {
	c        Config
	log      *slog.Logger
	reg      *prometheus.Registry
	ready    telemetry.Readiness
	store    *platform.Client
	follower *settings.Follower
	ledger   *claim.Ledger
	claims   *claim.Forwarder
	suspects *suspect.Table
	entry    *entry.Entry

	listener  net.Listener
	operators net.Listener
	servers   []*http.Server
	serving   sync.WaitGroup
	flush     func(context.Context) error
	stop      context.CancelFunc
}

// Run runs an entry process until ctx ends, then stops it gracefully. It
// prints "operators" and that address, then "listening" and the callers'
// address once it takes requests.
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

// Start starts the process's parts. It does not wait for agents or settings:
// readiness on the operators' port tells when there are some.
func Start(c Config, log *slog.Logger) (*Daemon, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{c: c, log: log, reg: telemetry.NewRegistry(), stop: stop}
	for _, step := range []func(context.Context) error{d.openPlatform, d.openEntry, d.listen} {
		if err := step(ctx); err != nil {
			stop()
			return nil, err
		}
	}
	d.serving.Go(func() { d.follower.Run(ctx) })
	return d, nil
}

// Addr returns the callers' address.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// OperatorsAddr returns the operators' address.
func (d *Daemon) OperatorsAddr() string { return d.operators.Addr().String() }

// Entry returns the entry inside.
func (d *Daemon) Entry() *entry.Entry { return d.entry }

func (d *Daemon) openPlatform(ctx context.Context) error {
	var err error
	if d.flush, err = telemetry.SetupTracing(ctx, "azurelead-entry", d.c.OTLP); err != nil {
		return err
	}
	if d.store, err = platform.NewClient(platform.ClientOptions{URL: d.c.Platform, Registerer: d.reg}); err != nil {
		return err
	}
	d.follower = settings.NewFollower(settings.FollowerOptions{
		Store:      d.store,
		Instance:   d.c.Name,
		Candidates: d.candidates,
		FetchFromPeer: func(ctx context.Context, have settings.Version) (link.SettingsResult, error) {
			return d.entry.FetchSettings(ctx, have)
		},
		OnChange:   func() { d.entry.AnnounceSettings() },
		Logger:     d.log,
		Registerer: d.reg,
	})
	d.ledger = claim.NewLedger(claim.Options{Store: d.store, Metrics: d.reg})
	d.claims = claim.NewForwarder(claim.ForwarderOptions{
		Ledger:  d.ledger,
		Writers: func() []claim.Candidate { return d.entry.ClaimWriters() },
		Call: func(ctx context.Context, addr, method string, params, result any) error {
			return d.entry.Call(ctx, addr, method, params, result)
		},
	})
	return nil
}

// candidates are the entries of the data centre, which watch the store in turn.
func (d *Daemon) candidates() []string {
	return append(d.entry.Entries(d.c.DataCentre), d.c.Name)
}

func (d *Daemon) openEntry(context.Context) error {
	linkTLS, err := d.linkTLS()
	if err != nil {
		return err
	}
	d.suspects = suspect.New(suspect.Options{Metrics: d.reg})
	o := link.ClientOptions{
		Hello:   link.HelloParams{Entry: d.c.Name, EntryBoot: contract.NewBootID(), DataCentre: d.c.DataCentre},
		TLS:     linkTLS,
		Gossip:  gossip.Adapter{Follower: d.follower, Marks: d.suspects},
		Logger:  d.log,
		Metrics: link.NewMetrics(d.reg),
	}
	d.entry, err = entry.New(entry.Options{
		Name:       d.c.Name,
		DataCentre: d.c.DataCentre,
		Settings:   d.follower,
		Directory:  d.store,
		Dial:       entry.LinkDialer(o),
		Claims:     d.claims,
		Suspects:   d.suspects,
		Chooser:    entry.ChooserByName(d.c.Chooser),
		Renew:      func(ctx context.Context) error { return d.follower.Renew(ctx, renewAge) },
		SubsetSize: d.c.SubsetSize,
		SeedAgents: d.c.SeedAgents,
		Registry:   d.reg,
		Readiness:  &d.ready,
		Logger:     d.log,
	})
	return err
}

func (d *Daemon) linkTLS() (*tls.Config, error) {
	if d.c.LinkCert == "" {
		return nil, nil
	}
	id, err := certs.Load(certs.Options{Cert: d.c.LinkCert, Key: d.c.LinkKey, CA: d.c.LinkCA})
	if err != nil {
		return nil, err
	}
	return id.ClientConfig(), nil
}

// listen opens both listeners and serves them.
func (d *Daemon) listen(context.Context) error {
	var err error
	if d.listener, err = net.Listen("tcp", d.c.Listen); err != nil {
		return Error.Wrap(err)
	}
	if d.operators, err = net.Listen("tcp", d.c.OperatorsAddress); err != nil {
		return Error.Wrap(err)
	}
	callers := d.listener
	if d.c.TLSCert != "" {
		id, err := certs.Load(certs.Options{Cert: d.c.TLSCert, Key: d.c.TLSKey})
		if err != nil {
			return err
		}
		callers = tls.NewListener(callers, id.ServerConfig())
	}
	d.serve(callers, d.entry.Handler())
	d.serve(d.operators, d.entry.OperatorsHandler(telemetry.OperatorsHandler(d.reg, &d.ready, d.c.Pprof)))
	return nil
}

func (d *Daemon) serve(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	d.servers = append(d.servers, s)
	d.serving.Go(func() { _ = s.Serve(l) })
}

// Stop stops the process gracefully: readiness goes off, requests in progress
// end, and only then do links and listeners close.
func (d *Daemon) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainBound)
	defer cancel()
	err := d.entry.Shutdown(ctx)
	for _, s := range d.servers {
		_ = s.Shutdown(ctx)
	}
	d.claims.Close()
	d.ledger.Close()
	d.stop()
	d.serving.Wait()
	d.store.Close()
	_ = d.flush(ctx)
	return err
}
