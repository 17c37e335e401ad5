// Package demo runs a whole small fleet inside one process: stand-ins of the
// platform and of the endpoints, an agent beside each endpoint, and an entry in
// each data centre. All parts talk over TCP on the loopback address, as they
// would between machines.
package demo

import (
	"bytes"
	"context"
	_ "embed"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/agent"
	"github.com/azurelead/azurelead/agentdaemon"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/entrydaemon"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/standin"
)

// Error is the class of this package's errors.
var Error = errs.Class("demo")

const (
	// anyPort lets the system choose a port on the loopback address.
	anyPort = "127.0.0.1:0"
	// readyBound bounds the wait for a fresh fleet.
	readyBound = 15 * time.Second
	// readyPoll is how often readiness is asked for.
	readyPoll = 10 * time.Millisecond
	// serviceTime is how long pools and services take for one call.
	serviceTime = 3 * time.Millisecond
	// reportLag is how far the stand-ins' load reports lag at most.
	reportLag = 50 * time.Millisecond
)

//go:embed settings.yaml
var settingsYAML []byte

// Document returns the demo's settings.
func Document() (settings.Document, error) { return settings.Parse(bytes.NewReader(settingsYAML)) }

// place is one endpoint of the demo's fleet.
type place struct {
	pool string
	kind pipeline.Kind
}

var places = []place{
	{"encoders", pipeline.Encode},
	{"retrievers", pipeline.Retrieve},
	{"rerankers", pipeline.Rerank},
	{"engines", pipeline.Generate},
	{"bookings", pipeline.Service},
	{"stock", pipeline.Service},
}

var dataCentres = []string{"north", "south"}

// server is a stand-in.
type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// Fleet is a running demo.
type Fleet struct {
	log      *slog.Logger
	platform *standin.Platform
	url      string // of the platform
	services map[string]*standin.Service
	entries  []*entrydaemon.Daemon

	standins    context.Context
	stopStandin context.CancelFunc
	agents      context.Context
	stopAgents  context.CancelFunc
	agentsWork  sync.WaitGroup
	work        sync.WaitGroup
}

// Start starts the fleet and returns once every entry is ready.
func Start(ctx context.Context, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{log: log, platform: standin.NewPlatform(standin.PlatformOptions{}), services: map[string]*standin.Service{}}
	f.standins, f.stopStandin = context.WithCancel(context.Background())
	f.agents, f.stopAgents = context.WithCancel(context.Background())
	for _, step := range []func(context.Context) error{f.startPlatform, f.startAgents, f.startEntries, f.waitReady} {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	return f, nil
}

// Stop stops entries, agents and stand-ins, in this order, each gracefully.
func (f *Fleet) Stop() error {
	var group errs.Group
	for _, e := range f.entries {
		group.Add(e.Stop())
	}
	f.stopAgents()
	f.agentsWork.Wait()
	f.stopStandin()
	f.work.Wait()
	return group.Err()
}

// Entries returns the base URLs of the entries.
func (f *Fleet) Entries() []string {
	var urls []string
	for _, e := range f.entries {
		urls = append(urls, "http://"+e.Addr())
	}
	return urls
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	addr, err := f.serve(f.platform)
	if err != nil {
		return err
	}
	f.url = "http://" + addr
	document, err := Document()
	if err != nil {
		return Error.Wrap(err)
	}
	replace := func(settings.Document) (settings.Document, error) { return document, nil }
	out := settings.Accept(ctx, f.platform.Memory(), 0, replace, "demo", "demo")
	if out.State != settings.Accepted {
		return Error.New("settings %s: %v", out.State, out.Err)
	}
	return nil
}

func (f *Fleet) startAgents(context.Context) error {
	var list []platform.Instance
	for _, dc := range dataCentres {
		for _, p := range places {
			instance, err := f.startAgent(dc, p)
			if err != nil {
				return err
			}
			list = append(list, instance)
		}
	}
	f.platform.Memory().SetInstances(list)
	return nil
}

func (f *Fleet) startAgent(dc string, p place) (platform.Instance, error) {
	name := dc + "-" + p.pool
	addr, err := f.serve(f.standin(name, p))
	if err != nil {
		return platform.Instance{}, err
	}
	d, err := agentdaemon.New(agentdaemon.Config{
		Name: name, Pool: p.pool, Kind: p.kind, DataCentre: dc,
		Endpoint: "http://" + addr, Platform: f.url, Listen: anyPort, Plain: true,
		DrainTimeout: agent.DefaultDrainTimeout, ProbeInterval: agent.DefaultProbeInterval, ReportLag: reportLag,
		ListInterval: agent.DefaultInstancePollInterval, IdleTimeout: link.DefaultIdleTimeout,
	}, f.log)
	if err != nil {
		return platform.Instance{}, err
	}
	f.agentsWork.Go(func() { _ = d.Serve(f.agents) })
	return platform.Instance{
		Name: name, Pool: p.pool, Kind: p.kind, DataCentre: dc, AgentAddress: d.Addr(), State: platform.Live,
	}, nil
}

func (f *Fleet) standin(name string, p place) server {
	station := standin.WorkerOptions{ServiceTime: serviceTime}
	switch p.kind {
	case pipeline.Generate:
		return standin.NewEngine(standin.EngineOptions{})
	case pipeline.Service:
		s := standin.NewService(standin.ServiceOptions{WorkerOptions: station})
		f.services[name] = s
		return s
	}
	return standin.NewPool(standin.PoolOptions{WorkerOptions: station})
}

func (f *Fleet) startEntries(context.Context) error {
	for _, dc := range dataCentres {
		d, err := entrydaemon.Start(entrydaemon.Config{
			Listen: anyPort, OperatorsAddress: anyPort, Platform: f.url, Name: dc + "-entry", DataCentre: dc,
			AllowPlaintext: true, Chooser: entry.ChooserNames[0], SubsetSize: entry.DefaultSubsetSize,
		}, f.log)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, d)
	}
	return nil
}

// waitReady asks every entry's readiness as the platform's balancer would.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for _, e := range f.entries {
		for !isReady(ctx, "http://"+e.OperatorsAddr()+"/readyz") {
			select {
			case <-ctx.Done():
				return Error.New("%s is not ready: %v", e.Addr(), ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serve runs a stand-in on a port of its own and returns its address.
func (f *Fleet) serve(s server) (string, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", Error.Wrap(err)
	}
	f.work.Go(func() { _ = s.Serve(f.standins, ln) })
	return ln.Addr().String(), nil
}
