package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/agent"
	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/telemetry"
)

// startTimeout is the longest wait for each component of a local fleet to become ready.
const startTimeout = 10 * time.Second

// LocalFleet is a complete fleet in this process: the platform's store, stand-ins for the endpoints
// with one agent each, and entries. The components communicate over TCP on the loopback address, as
// they would between machines.
type LocalFleet struct {
	scenario Scenario
	policy   Policy
	platform *platform.Memory
	settings *settings.Fixed
	ctx      context.Context
	stop     context.CancelFunc
	servers  sync.WaitGroup

	instances []*instance
	agents    []*agent.Agent
	// agentRegistries holds one registry of metrics for each agent.
	agentRegistries []*prometheus.Registry
	entryURLs       []string
	closers         []func()
}

var _ Fleet = (*LocalFleet)(nil)

// NewLocalFleet starts a fleet and returns when every agent admits calls and every entry is ready.
func NewLocalFleet(s Scenario, p Policy) (*LocalFleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	lf := &LocalFleet{
		scenario: s, policy: p, ctx: ctx, stop: stop,
		platform: platform.NewMemory(platform.MemoryOptions{Seed: s.Seed}),
		settings: settings.NewFixed(&settings.Snapshot{Version: 1, Document: settingsDocument(s, p)}),
	}
	if err := errors.Join(lf.startInstances(), lf.startEntries()); err != nil {
		lf.Close()
		return nil, err
	}
	return lf, nil
}

// Close stops the components in reverse order of their start and waits for their servers.
func (lf *LocalFleet) Close() {
	for i := len(lf.closers) - 1; i >= 0; i-- {
		lf.closers[i]()
	}
	lf.stop()
	lf.servers.Wait()
}

// Entries implements Fleet.
func (lf *LocalFleet) Entries() []string { return lf.entryURLs }

// Tokens implements Fleet.
func (lf *LocalFleet) Tokens() map[string]string {
	tokens := make(map[string]string)
	for _, organisation := range organisationNames(lf.scenario) {
		tokens[organisation] = bearerToken(organisation)
	}
	return tokens
}

func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i+1) }

// startInstances starts every endpoint with its agent and publishes them in the platform's instance
// list.
func (lf *LocalFleet) startInstances() error {
	var infos []platform.Instance
	for i := range lf.scenario.Fleet.DataCentres {
		for _, spec := range lf.instanceSpecs(dataCentreName(i)) {
			in, err := lf.startInstance(spec)
			if err != nil {
				return err
			}
			lf.instances = append(lf.instances, in)
			infos = append(infos, in.info)
		}
	}
	lf.platform.SetInstances(infos)
	return waitFor(lf.ctx, "agents", lf.agentsReady)
}

// agentsReady reports whether every agent admits calls. A new agent waits until no call of its
// predecessor can still run on its endpoint.
func (lf *LocalFleet) agentsReady() bool {
	for _, a := range lf.agents {
		if a.Load().Limit == 0 {
			return false
		}
	}
	return true
}

func (lf *LocalFleet) startEntries() error {
	for i := range lf.scenario.Fleet.Entries {
		if err := lf.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

func (lf *LocalFleet) startEntry(i int) error {
	name := fmt.Sprintf("entry%d", i+1)
	dc := dataCentreName(i % lf.scenario.Fleet.DataCentres)
	ledger := claim.NewLedger(claim.Options{Store: lf.platform})
	claims := claim.NewForwarder(claim.ForwarderOptions{Ledger: ledger})
	lf.closers = append(lf.closers, ledger.Close, claims.Close)
	readiness := &telemetry.Readiness{}
	options := entry.Options{
		Readiness: readiness,
		Name:      name, DataCentre: dc, Settings: lf.settings, Directory: lf.platform, Claims: claims,
		Dial: entry.LinkDialer(link.ClientOptions{Hello: link.HelloParams{Entry: name, DataCentre: dc}}),
	}
	options.Chooser = lf.policy.NewChooser()
	if lf.policy.ConfigureEntry != nil {
		lf.policy.ConfigureEntry(&options)
	}
	e, err := entry.New(options)
	if err != nil {
		return Error.Wrap(err)
	}
	lf.closers = append(lf.closers, func() { shutdownEntry(e) })
	if err := waitFor(lf.ctx, name, readiness.Ready); err != nil {
		return err
	}
	return lf.serveCallers(e.Handler())
}

// shutdownEntry stops an entry that has no requests in progress.
func shutdownEntry(e *entry.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.Shutdown(ctx)
}

// serveCallers serves an entry's handler on a loopback port and records its base URL.
func (lf *LocalFleet) serveCallers(h http.Handler) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: h}
	lf.servers.Go(func() { _ = server.Serve(listener) })
	lf.closers = append(lf.closers, func() { _ = server.Close() })
	lf.entryURLs = append(lf.entryURLs, "http://"+listener.Addr().String())
	return nil
}
