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

// benchReady bounds the wait for each part of a fresh bench.
const benchReady = 10 * time.Second

// LocalFleet is a whole fleet in this process: the platform's store, stand-ins for
// the endpoints with an agent beside each, and entries. All of it talks over
// TCP on the loopback address, as it would between machines.
type LocalFleet struct {
	scenario Scenario
	policy   Policy
	memory   *platform.Memory
	settings *settings.Fixed
	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup

	members []*member
	agents  []*agent.Agent
	// registries hold the agents' metrics.
	registries []*prometheus.Registry
	entries    []string
	closers    []func()
}

var _ Fleet = (*LocalFleet)(nil)

// NewLocalFleet starts a fleet and returns once every entry has its links.
func NewLocalFleet(s Scenario, p Policy) (*LocalFleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	b := &LocalFleet{
		scenario: s, policy: p, ctx: ctx, stop: stop,
		memory:   platform.NewMemory(platform.MemoryOptions{Seed: s.Seed}),
		settings: settings.NewFixed(&settings.Snapshot{Version: 1, Document: tree(s, p)}),
	}
	if err := errors.Join(b.startMembers(), b.startEntries()); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// Close stops the fleet.
func (b *LocalFleet) Close() {
	for i := len(b.closers) - 1; i >= 0; i-- {
		b.closers[i]()
	}
	b.stop()
	b.work.Wait()
}

// Entries implements Fleet.
func (b *LocalFleet) Entries() []string { return b.entries }

// Tokens implements Fleet.
func (b *LocalFleet) Tokens() map[string]string {
	tokens := make(map[string]string)
	for _, o := range organisations(b.scenario) {
		tokens[o] = tokenOf(o)
	}
	return tokens
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i+1) }

// startMembers starts every endpoint with its agent, and lists them.
func (b *LocalFleet) startMembers() error {
	var list []platform.Instance
	for i := range b.scenario.Fleet.DataCentres {
		for _, spec := range b.specs(dataCentre(i)) {
			m, err := b.startMember(spec)
			if err != nil {
				return err
			}
			b.members = append(b.members, m)
			list = append(list, m.instance)
		}
	}
	b.memory.SetInstances(list)
	return waitFor(b.ctx, "agents", b.agentsOpen)
}

// agentsOpen reports whether every agent admits calls: a fresh one waits until
// no call of an earlier agent can run at its endpoint.
func (b *LocalFleet) agentsOpen() bool {
	for _, a := range b.agents {
		if a.Load().Limit == 0 {
			return false
		}
	}
	return true
}

func (b *LocalFleet) startEntries() error {
	for i := range b.scenario.Fleet.Entries {
		if err := b.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

func (b *LocalFleet) startEntry(i int) error {
	name := fmt.Sprintf("entry%d", i+1)
	home := dataCentre(i % b.scenario.Fleet.DataCentres)
	ledger := claim.NewLedger(claim.Options{Store: b.memory})
	claims := claim.NewForwarder(claim.ForwarderOptions{Ledger: ledger})
	b.closers = append(b.closers, ledger.Close, claims.Close)
	ready := &telemetry.Readiness{}
	o := entry.Options{
		Readiness: ready,
		Name:      name, DataCentre: home, Settings: b.settings, Directory: b.memory, Claims: claims,
		Dial: entry.LinkDialer(link.ClientOptions{Hello: link.HelloParams{Entry: name, DataCentre: home}}),
	}
	o.Chooser = b.policy.NewChooser()
	if b.policy.ConfigureEntry != nil {
		b.policy.ConfigureEntry(&o)
	}
	e, err := entry.New(o)
	if err != nil {
		return Error.Wrap(err)
	}
	b.closers = append(b.closers, func() { shutdown(e) })
	if err := waitFor(b.ctx, name, ready.Ready); err != nil {
		return err
	}
	return b.listen(e.Handler())
}

// shutdown stops an entry that has no requests in progress any more.
func shutdown(e *entry.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.Shutdown(ctx)
}

// listen serves an entry's callers.
func (b *LocalFleet) listen(h http.Handler) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: h}
	b.work.Go(func() { _ = server.Serve(ln) })
	b.closers = append(b.closers, func() { _ = server.Close() })
	b.entries = append(b.entries, "http://"+ln.Addr().String())
	return nil
}
