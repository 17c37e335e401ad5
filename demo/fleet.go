// Package demo runs a complete small fleet in one process: stand-ins for the platform and the
// endpoints, an agent for each endpoint, and an entry in each data centre. The components
// communicate over TCP on the loopback address, as they would between machines.
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

// Error is the class of errors that this package returns.
var Error = errs.Class("demo")

const (
	// loopbackAddress is the loopback address with a port that the system chooses.
	loopbackAddress = "127.0.0.1:0"
	// readyTimeout is the longest wait for all entries of a new fleet to become ready.
	readyTimeout = 15 * time.Second
	// readyPollInterval is the interval between readiness checks.
	readyPollInterval = 10 * time.Millisecond
	// callDuration is the duration of a call to a pool member or an application service.
	callDuration = 3 * time.Millisecond
	// maxLoadReportLag is the greatest age of the stand-ins' load reports.
	maxLoadReportLag = 50 * time.Millisecond
)

//go:embed settings.yaml
var settingsYAML []byte

// Document returns the demo's settings.
func Document() (settings.Document, error) { return settings.Parse(bytes.NewReader(settingsYAML)) }

// endpointSpec describes an endpoint that the demo runs in each data centre.
type endpointSpec struct {
	pool string
	kind pipeline.Kind
}

var endpointSpecs = []endpointSpec{
	{"encoders", pipeline.Encode},
	{"retrievers", pipeline.Retrieve},
	{"rerankers", pipeline.Rerank},
	{"engines", pipeline.Generate},
	{"bookings", pipeline.Service},
	{"stock", pipeline.Service},
}

var dataCentres = []string{"north", "south"}

// standinServer is the serving interface of every stand-in.
type standinServer interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// Fleet is a running demo.
type Fleet struct {
	log         *slog.Logger
	platform    *standin.Platform
	platformURL string
	services    map[string]*standin.Service
	entries     []*entrydaemon.Daemon

	standinsCtx  context.Context
	stopStandins context.CancelFunc
	agentsCtx    context.Context
	stopAgents   context.CancelFunc
	agentsWG     sync.WaitGroup
	standinsWG   sync.WaitGroup
}

// Start starts a fleet and returns when every entry is ready. If a step fails, it stops the
// components that have started.
func Start(ctx context.Context, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{log: log, platform: standin.NewPlatform(standin.PlatformOptions{}), services: map[string]*standin.Service{}}
	f.standinsCtx, f.stopStandins = context.WithCancel(context.Background())
	f.agentsCtx, f.stopAgents = context.WithCancel(context.Background())
	for _, step := range []func(context.Context) error{f.startPlatform, f.startAgents, f.startEntries, f.waitReady} {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	return f, nil
}

// Stop gracefully stops the entries, the agents and the stand-ins, in this order.
func (f *Fleet) Stop() error {
	var group errs.Group
	for _, e := range f.entries {
		group.Add(e.Stop())
	}
	f.stopAgents()
	f.agentsWG.Wait()
	f.stopStandins()
	f.standinsWG.Wait()
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
	f.platformURL = "http://" + addr
	document, err := Document()
	if err != nil {
		return Error.Wrap(err)
	}
	replace := func(settings.Document) (settings.Document, error) { return document, nil }
	outcome := settings.Accept(ctx, f.platform.Memory(), 0, replace, "demo", "demo")
	if outcome.State != settings.Accepted {
		return Error.New("settings change ended in state %s: %v", outcome.State, outcome.Err)
	}
	return nil
}

func (f *Fleet) startAgents(context.Context) error {
	var instances []platform.Instance
	for _, dc := range dataCentres {
		for _, spec := range endpointSpecs {
			instance, err := f.startAgent(dc, spec)
			if err != nil {
				return err
			}
			instances = append(instances, instance)
		}
	}
	f.platform.Memory().SetInstances(instances)
	return nil
}

func (f *Fleet) startAgent(dc string, spec endpointSpec) (platform.Instance, error) {
	name := dc + "-" + spec.pool
	addr, err := f.serve(f.newStandin(name, spec))
	if err != nil {
		return platform.Instance{}, err
	}
	daemon, err := agentdaemon.New(agentdaemon.Config{
		Name: name, Pool: spec.pool, Kind: spec.kind, DataCentre: dc,
		Endpoint: "http://" + addr, Platform: f.platformURL, Listen: loopbackAddress, Plain: true,
		DrainTimeout: agent.DefaultDrainTimeout, ProbeInterval: agent.DefaultProbeInterval, ReportLag: maxLoadReportLag,
		ListInterval: agent.DefaultInstancePollInterval, IdleTimeout: link.DefaultIdleTimeout,
	}, f.log)
	if err != nil {
		return platform.Instance{}, err
	}
	f.agentsWG.Go(func() { _ = daemon.Serve(f.agentsCtx) })
	return platform.Instance{
		Name: name, Pool: spec.pool, Kind: spec.kind, DataCentre: dc, AgentAddress: daemon.Addr(), State: platform.Live,
	}, nil
}

func (f *Fleet) newStandin(name string, spec endpointSpec) standinServer {
	workerOptions := standin.WorkerOptions{ServiceTime: callDuration}
	switch spec.kind {
	case pipeline.Generate:
		return standin.NewEngine(standin.EngineOptions{})
	case pipeline.Service:
		service := standin.NewService(standin.ServiceOptions{WorkerOptions: workerOptions})
		f.services[name] = service
		return service
	}
	return standin.NewPool(standin.PoolOptions{WorkerOptions: workerOptions})
}

func (f *Fleet) startEntries(context.Context) error {
	for _, dc := range dataCentres {
		daemon, err := entrydaemon.Start(entrydaemon.Config{
			Listen: loopbackAddress, OperatorsAddress: loopbackAddress, Platform: f.platformURL, Name: dc + "-entry", DataCentre: dc,
			AllowPlaintext: true, Chooser: entry.ChooserNames[0], SubsetSize: entry.DefaultSubsetSize,
		}, f.log)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, daemon)
	}
	return nil
}

// waitReady polls every entry's readiness endpoint, as the platform's load balancer would.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range f.entries {
		for !isReady(ctx, "http://"+e.OperatorsAddr()+"/readyz") {
			select {
			case <-ctx.Done():
				return Error.New("entry %s did not become ready: %v", e.Addr(), ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serve runs a stand-in on a free loopback port and returns its address.
func (f *Fleet) serve(server standinServer) (string, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", Error.Wrap(err)
	}
	f.standinsWG.Go(func() { _ = server.Serve(f.standinsCtx, listener) })
	return listener.Addr().String(), nil
}
