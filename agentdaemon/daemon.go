// Package agentdaemon assembles an agent process from its configuration: the agent with its links,
// the settings follower, the endpoint's driver and the listener for operators. The agent command is
// a thin wrapper around it; the demo runs it within its own process.
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

// Error is the class of the errors of this package.
var Error = errs.Class("agent daemon")

const (
	// maxProcs is the maximum number of threads that run Go code concurrently. With more, threads
	// wake each other for the short steps of a call without saving time.
	maxProcs = 2
	// readHeaderTimeout bounds how long a client can hold a connection of the operators' port
	// before it has sent its headers.
	readHeaderTimeout = 5 * time.Second
)

// TuneRuntime adapts the Go runtime to the small CPU share of an agent, unless GOMAXPROCS is set.
// It is meant for a process that runs only this daemon. It sets no memory limit: with a limit below
// the live heap of a busy agent, the garbage collector would take half of the CPU time.
func TuneRuntime() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.NumCPU()))
	}
}

// Daemon is an agent process.
type Daemon struct {
	config   Config
	logger   *slog.Logger
	registry *prometheus.Registry
	ready    telemetry.Readiness
	platform *platform.Client
	follower *settings.Follower
	suspects *suspect.Table
	node     *agent.Node
	ledger   *claim.Ledger

	// The fields for orders are set only for agents of engines.
	engine     *endpoint.Engine
	executor   *order.Executor
	controller *order.Controller
	// candidates is used only by the goroutine of runOrders.
	candidates  candidates
	agentClient *order.AgentClient

	listener    net.Listener
	operators   net.Listener
	flushTraces func(context.Context) error
}

// Run runs an agent process until ctx ends and then stops it gracefully. It prints "listening" and
// the address for links once entries can connect.
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
	d := &Daemon{config: c, logger: logger, registry: telemetry.NewRegistry()}
	for _, step := range []func() error{d.openPlatform, d.openNode, d.listen} {
		if err := step(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return d, nil
}

// Addr returns the address for links.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Agent returns the daemon's agent.
func (d *Daemon) Agent() *agent.Agent { return d.node.Agent() }

func (d *Daemon) openPlatform() error {
	var err error
	d.flushTraces, err = telemetry.SetupTracing(context.Background(), "azurelead-agent", d.config.OTLP)
	if err != nil {
		return err
	}
	d.platform, err = platform.NewClient(platform.ClientOptions{URL: d.config.Platform, Registerer: d.registry})
	if err != nil {
		return err
	}
	// Agents do not watch the store. They learn of changed settings on their links.
	d.follower = settings.NewFollower(settings.FollowerOptions{
		Store: d.platform, Instance: d.config.Name, Candidates: func() []string { return nil },
		FetchFromPeer: func(ctx context.Context, have settings.Version) (link.SettingsResult, error) {
			return d.node.FetchSettings(ctx, have)
		},
		OnChange: func() { d.node.BroadcastState() },
		Logger:   d.logger, Registerer: d.registry,
	})
	return nil
}

func (d *Daemon) openNode() error {
	driver, err := endpoint.New(d.config.Kind, endpoint.Options{URL: d.config.Endpoint})
	if err != nil {
		return err
	}
	identity, err := linkIdentity(d.config)
	if err != nil {
		return err
	}
	d.suspects = suspect.New(suspect.Options{Metrics: d.registry})
	d.node, err = agent.NewNode(agent.NodeOptions{
		Agent: agent.Options{
			Name: d.config.Name, Pool: d.config.Pool, Kind: d.config.Kind, DataCentre: d.config.DataCentre,
			Endpoint: driver, Settings: d.follower, RefreshSettings: agent.SettingsRefresher(d.follower),
			Gossip: gossip.Adapter{Follower: d.follower, Marks: d.suspects}, Suspects: d.suspects, ProbeInterval: d.config.ProbeInterval, ReportLag: d.config.ReportLag,
			Logger: d.logger, Registerer: d.registry,
		},
		Links:        link.ServerOptions{TLS: serverTLS(identity), IdleTimeout: d.config.IdleTimeout, Metrics: link.NewMetrics(d.registry)},
		DrainTimeout: d.config.DrainTimeout,
		OnLeave:      func() { d.ready.Set(false) },
	})
	if err != nil {
		return err
	}
	// Entries send the claims of a shard to its preferred writer, which may be any agent.
	d.ledger = claim.NewLedger(claim.Options{Store: d.platform, Metrics: d.registry})
	d.node.Handle(link.MethodClaim, claim.NewWriter(d.ledger).Handle)
	if engine, ok := driver.(*endpoint.Engine); ok {
		d.engine = engine
		d.openOrders(engine, link.ClientOptions{
			Hello:  link.HelloParams{Entry: d.config.Name, EntryBoot: d.node.Agent().Boot(), DataCentre: d.config.DataCentre},
			TLS:    clientTLS(identity),
			Logger: d.logger,
		})
	}
	return nil
}

func (d *Daemon) listen() error {
	var err error
	if d.listener, err = net.Listen("tcp", d.config.Listen); err != nil {
		return err
	}
	if d.config.OperatorsAddress != "" {
		d.operators, err = net.Listen("tcp", d.config.OperatorsAddress)
	}
	return err
}

// linkIdentity returns the TLS identity for links, or nil if they do not use TLS.
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
	return i.ServerConfig()
}

func clientTLS(i *certs.Identity) *tls.Config {
	if i == nil {
		return nil
	}
	return i.ClientConfig()
}

// Serve serves until ctx ends and then stops gracefully.
func (d *Daemon) Serve(ctx context.Context) error {
	backgroundCtx, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()
	var g errgroup.Group
	g.Go(func() error { d.follower.Run(backgroundCtx); return nil })
	g.Go(func() error {
		agent.WatchOwnInstance(backgroundCtx, d.platform, d.config.Name, d.config.ListInterval, d.logger, d.node.Leave)
		return nil
	})
	if d.engine != nil {
		g.Go(func() error { d.runOrders(backgroundCtx, d.engine); return nil })
	}
	if d.operators != nil {
		d.serveOperators(backgroundCtx, &g)
	}
	g.Go(func() error {
		defer cancelBackground()
		return d.node.Serve(ctx, d.listener)
	})
	d.ready.Set(true)
	err := g.Wait()
	d.ledger.Close()
	return errs.Combine(Error.Wrap(err), d.flushTraces(context.Background()))
}

// serveOperators serves metrics, health and profiles until backgroundCtx ends.
func (d *Daemon) serveOperators(backgroundCtx context.Context, g *errgroup.Group) {
	s := &http.Server{
		Handler:           telemetry.OperatorsHandler(d.registry, &d.ready, d.config.Pprof),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	g.Go(func() error {
		if err := s.Serve(d.operators); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-backgroundCtx.Done()
		return s.Close()
	})
}
