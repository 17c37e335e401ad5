// Package agentdaemon assembles an agent process from its process settings:
// the agent with its links, the settings follower, the endpoint's driver and
// the operators' listener. The command is a thin shell around it, and the demo
// runs it inside its own process.
package agentdaemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/azurelead/azurelead/agent"
	"github.com/azurelead/azurelead/certs"
	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/gossip"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/order"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/telemetry"
)

// Error is the class of this package's errors.
var Error = errs.Class("agent daemon")

const (
	// processors is how many threads run Go code at once: more of them wake each
	// other up for the short steps of a call without gaining time.
	processors = 2
	// headerTimeout bounds what a stranger may hold on the operators' port.
	headerTimeout = 5 * time.Second
)

// TuneRuntime fits the runtime to the small slot of an agent, in a process that runs
// nothing but this daemon, unless the operator has set GOMAXPROCS. It sets no
// limit of memory: below the live heap of a busy agent the collector would take
// half of the processor time.
func TuneRuntime() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(processors, runtime.NumCPU()))
	}
}

// Daemon is an agent process.
type Daemon struct {
	c        Config
	logger   *slog.Logger
	registry *prometheus.Registry
	ready    telemetry.Readiness
	platform *platform.Client
	follower *settings.Follower
	suspects *suspect.Table
	node     *agent.Node
	ledger   *claim.Ledger

	// The parts for orders, which only the agents of engines have.
	engine     *endpoint.Engine
	executor   *order.Executor
	controller *order.Controller
	// candidates belongs to the goroutine of runOrders.
	candidates candidates
	links      *order.Links

	listener  net.Listener
	operators net.Listener
	flush     func(context.Context) error
}

// Run runs an agent process until ctx ends, then stops it gracefully. It
// prints "listening" and the links' address once entries can reach it.
func Run(ctx context.Context, c Config, out io.Writer, logger *slog.Logger) error {
	d, err := New(c, logger)
	if err != nil {
		return err
	}
	if d.operators != nil {
		if _, err := fmt.Fprintf(out, "operators %s\n", d.operators.Addr()); err != nil {
			return Error.Wrap(err)
		}
	}
	if _, err := fmt.Fprintf(out, "listening %s\n", d.Addr()); err != nil {
		return Error.Wrap(err)
	}
	return d.Serve(ctx)
}

// New returns a daemon that listens but does not serve yet.
func New(c Config, logger *slog.Logger) (*Daemon, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{c: c, logger: logger, registry: telemetry.NewRegistry()}
	for _, step := range []func() error{d.openPlatform, d.openNode, d.listen} {
		if err := step(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return d, nil
}

// Addr returns the links' address.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Agent returns the agent inside.
func (d *Daemon) Agent() *agent.Agent { return d.node.Agent() }

func (d *Daemon) openPlatform() error {
	var err error
	d.flush, err = telemetry.SetupTracing(context.Background(), "azurelead-agent", d.c.OTLP)
	if err != nil {
		return err
	}
	d.platform, err = platform.NewClient(platform.ClientOptions{URL: d.c.Platform, Registerer: d.registry})
	if err != nil {
		return err
	}
	// Agents never watch the store: they hear of settings on their links.
	d.follower = settings.NewFollower(settings.FollowerOptions{
		Store: d.platform, Instance: d.c.Name, Candidates: func() []string { return nil },
		Ask: func(ctx context.Context, have settings.Version) (link.SettingsResult, error) {
			return d.node.Ask(ctx, have)
		},
		OnChange: func() { d.node.Tell() },
		Logger:   d.logger, Registerer: d.registry,
	})
	return nil
}

func (d *Daemon) openNode() error {
	driver, err := endpoint.New(d.c.Kind, endpoint.Options{URL: d.c.Endpoint})
	if err != nil {
		return err
	}
	identity, err := linkIdentity(d.c)
	if err != nil {
		return err
	}
	d.suspects = suspect.New(suspect.Options{Metrics: d.registry})
	d.node, err = agent.NewNode(agent.NodeOptions{
		Agent: agent.Options{
			Name: d.c.Name, Pool: d.c.Pool, Kind: d.c.Kind, DataCentre: d.c.DataCentre,
			Endpoint: driver, Settings: d.follower, Refresh: agent.Renew(d.follower),
			Gossip: gossip.Adapter{Follower: d.follower, Marks: d.suspects}, Suspects: d.suspects, ProbeInterval: d.c.ProbeInterval, ReportLag: d.c.ReportLag,
			Logger: d.logger, Registerer: d.registry,
		},
		Links:   link.ServerOptions{TLS: serverTLS(identity), IdleBound: d.c.IdleTimeout, Metrics: link.NewMetrics(d.registry)},
		Drain:   d.c.DrainTimeout,
		OnLeave: func() { d.ready.Set(false) },
	})
	if err != nil {
		return err
	}
	// Entries send their claims to the shard's usual writer, which may be any agent.
	d.ledger = claim.NewLedger(claim.Options{Store: d.platform, Metrics: d.registry})
	d.node.Handle(link.MethodClaim, claim.NewWriter(d.ledger).Handle)
	if engine, ok := driver.(*endpoint.Engine); ok {
		d.engine = engine
		d.openOrders(engine, link.ClientOptions{
			Hello:  link.HelloParams{Entry: d.c.Name, EntryBoot: d.node.Agent().Boot(), DataCentre: d.c.DataCentre},
			TLS:    clientTLS(identity),
			Logger: d.logger,
		})
	}
	return nil
}

func (d *Daemon) listen() error {
	var err error
	if d.listener, err = net.Listen("tcp", d.c.Listen); err != nil {
		return err
	}
	if d.c.OperatorsAddress != "" {
		d.operators, err = net.Listen("tcp", d.c.OperatorsAddress)
	}
	return err
}

// linkIdentity returns the identity on links, or nil when they are plain.
func linkIdentity(c Config) (*certs.Identity, error) {
	if c.Plain {
		return nil, nil
	}
	return certs.Load(certs.Options{Cert: c.TLSCert, Key: c.TLSKey, CA: c.TLSCA})
}

func serverTLS(i *certs.Identity) *tls.Config {
	if i == nil {
		return nil
	}
	return i.Server()
}

func clientTLS(i *certs.Identity) *tls.Config {
	if i == nil {
		return nil
	}
	return i.Client()
}

// Serve serves until ctx ends and then stops gracefully.
func (d *Daemon) Serve(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var g errgroup.Group
	g.Go(func() error { d.follower.Run(background); return nil })
	g.Go(func() error {
		agent.FollowList(background, d.platform, d.c.Name, d.c.ListInterval, d.logger, d.node.Leave)
		return nil
	})
	if d.engine != nil {
		g.Go(func() error { d.runOrders(background, d.engine); return nil })
	}
	if d.operators != nil {
		d.serveOperators(background, &g)
	}
	g.Go(func() error {
		defer stop()
		return d.node.Serve(ctx, d.listener)
	})
	d.ready.Set(true)
	err := g.Wait()
	d.ledger.Close()
	return errs.Combine(Error.Wrap(err), d.flush(context.Background()))
}

// serveOperators serves metrics, health and profiles until background ends.
func (d *Daemon) serveOperators(background context.Context, g *errgroup.Group) {
	s := &http.Server{
		Handler:           telemetry.OperatorsHandler(d.registry, &d.ready, d.c.Pprof),
		ReadHeaderTimeout: headerTimeout,
	}
	g.Go(func() error {
		if err := s.Serve(d.operators); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-background.Done()
		return s.Close()
	})
}
