package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/azurelead/azurelead/agent"
	"github.com/azurelead/azurelead/certs"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/telemetry"
)

const (
	// memoryLimit makes the collector work harder before the 32 MB that an idle
	// agent may hold are reached.
	memoryLimit = 24 << 20
	// headerTimeout bounds what a stranger may hold on the operators' port.
	headerTimeout = 5 * time.Second
)

// run wires the process together and serves until ctx ends.
func run(ctx context.Context, c *cli.Command) error {
	g, err := parse(c)
	if err != nil {
		return err
	}
	tuneMemory()
	logger := telemetry.NewLogger(slog.LevelInfo)
	flush, err := telemetry.SetupTracing(ctx, "azurelead-agent", g.otlp)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.Background()) }()
	p, err := newProcess(g, logger)
	if err != nil {
		return err
	}
	return p.serve(ctx)
}

// tuneMemory bounds the heap unless the operator has set a limit of his own.
func tuneMemory() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

// process is everything that runs in this daemon.
type process struct {
	g        config
	logger   *slog.Logger
	ready    *telemetry.Readiness
	platform *platform.Client
	follower *settings.Follower
	node     *agent.Node
	handler  http.Handler
}

func newProcess(g config, logger *slog.Logger) (*process, error) {
	registry := telemetry.NewRegistry()
	p := &process{g: g, logger: logger, ready: &telemetry.Readiness{}}
	p.handler = telemetry.OperatorsHandler(registry, p.ready, g.pprof)
	store, err := platform.NewClient(platform.ClientOptions{URL: g.platform, Registerer: registry})
	if err != nil {
		return nil, err
	}
	p.platform = store
	driver, err := newDriver(g)
	if err != nil {
		return nil, err
	}
	config, err := linkTLS(g)
	if err != nil {
		return nil, err
	}
	// Agents never watch the store: they hear of settings on their links.
	p.follower = settings.NewFollower(settings.FollowerOptions{
		Store: store, Instance: g.name, Candidates: func() []string { return nil },
		Ask: func(ctx context.Context, have settings.Version) (link.SettingsResult, error) {
			return p.node.Ask(ctx, have)
		},
		Logger: logger, Registerer: registry,
	})
	p.node, err = agent.NewNode(agent.NodeOptions{
		Agent: agent.Options{
			Name: g.name, Pool: g.pool, Kind: g.kind, DataCentre: g.dataCentre,
			Endpoint: driver, Settings: p.follower, Refresh: agent.Renew(p.follower),
			Gossip: agent.Spread{Follower: p.follower}, ProbeInterval: g.probe, ReportLag: g.lag,
			Logger: logger, Registerer: registry,
		},
		Links:   link.ServerOptions{TLS: config, IdleBound: g.idle, Metrics: link.NewMetrics(registry)},
		Drain:   g.drain,
		OnLeave: func() { p.ready.Set(false) },
	})
	return p, err
}

func newDriver(g config) (endpoint.Endpoint, error) {
	o := endpoint.Options{URL: g.endpoint}
	switch g.kind {
	case pipeline.Generate:
		return endpoint.NewEngine(o)
	case pipeline.Service:
		return endpoint.NewService(o)
	}
	return endpoint.NewPool(g.kind, o)
}

func linkTLS(g config) (*tls.Config, error) {
	if g.plain {
		return nil, nil
	}
	identity, err := certs.Load(certs.Options{Cert: g.tlsCert, Key: g.tlsKey, CA: g.tlsCA})
	if err != nil {
		return nil, err
	}
	return identity.Server(), nil
}

// serve runs until ctx ends and then stops gracefully.
func (p *process) serve(ctx context.Context) error {
	l, err := net.Listen("tcp", p.g.listen)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var g errgroup.Group
	if err := p.serveOperators(background, &g); err != nil {
		return err
	}
	g.Go(func() error { p.follower.Run(background); return nil })
	g.Go(func() error {
		agent.FollowList(background, p.platform, p.g.name, p.g.list, p.logger, p.node.Leave)
		return nil
	})
	g.Go(func() error {
		defer stop()
		return p.node.Serve(ctx, l)
	})
	p.ready.Set(true)
	fmt.Println("listening", l.Addr())
	return g.Wait()
}

// serveOperators serves metrics, health and profiles until background ends.
func (p *process) serveOperators(background context.Context, g *errgroup.Group) error {
	if p.g.operators == "" {
		return nil
	}
	l, err := net.Listen("tcp", p.g.operators)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: p.handler, ReadHeaderTimeout: headerTimeout}
	fmt.Println("operators", l.Addr())
	g.Go(func() error {
		if err := s.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-background.Done()
		return s.Close()
	})
	return nil
}
