package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/agent"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/standin"
)

// member is one endpoint instance: a stand-in with the agent in its slot.
type member struct {
	instance platform.Instance
	engine   *standin.Engine
	station  station
}

// station is what stand-ins of pools and services have in common.
type station interface {
	SetFaults(f standin.WorkerFaults)
	Stats() standin.WorkerStats
	References() map[string]int
}

// server is a stand-in that can serve.
type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// spec is a member to start.
type spec struct {
	instance platform.Instance
	// pace multiplies the time of its calls.
	pace float64
}

// specs lists the members of one data centre.
func (b *LocalFleet) specs(dc string) []spec {
	f := b.scenario.Fleet
	var out []spec
	add := func(pool string, kind pipeline.Kind, n int) {
		for i := range n {
			name := fmt.Sprintf("%s-%s-%d", dc, pool, i+1)
			out = append(out, spec{
				instance: platform.Instance{Name: name, Pool: pool, Kind: kind, DataCentre: dc, State: platform.Live},
				pace:     b.paceOf(name),
			})
		}
	}
	add(encodePool, pipeline.Encode, f.Encoders)
	add(retrievePool, pipeline.Retrieve, f.Retrievers)
	add(rerankPool, pipeline.Rerank, f.Rerankers)
	add(enginePool, pipeline.Generate, f.Engines)
	add(servicePool, pipeline.Service, f.Services)
	return out
}

// paceOf draws how much slower than the fastest a member is.
func (b *LocalFleet) paceOf(name string) float64 {
	var h uint64
	for _, c := range []byte(name) {
		h = h*31 + uint64(c)
	}
	return 1 + b.scenario.Fleet.Spread*rand.New(rand.NewPCG(b.scenario.Seed, h)).Float64()
}

// startMember starts a stand-in and its agent.
func (b *LocalFleet) startMember(s spec) (*member, error) {
	m := &member{instance: s.instance}
	var stand server
	switch s.instance.Kind {
	case pipeline.Generate:
		m.engine = standin.NewEngine(b.engineOptions(s.pace))
		stand = m.engine
	case pipeline.Service:
		service := standin.NewService(standin.ServiceOptions{WorkerOptions: b.serviceStation(s.pace)})
		m.station, stand = service, service
	default:
		pool := standin.NewPool(standin.PoolOptions{WorkerOptions: b.poolStation(s.pace)})
		m.station, stand = pool, pool
	}
	addr, err := b.serve(stand.Serve)
	if err != nil {
		return nil, err
	}
	driver, err := endpoint.New(s.instance.Kind, endpoint.Options{URL: "http://" + addr})
	if err != nil {
		return nil, err
	}
	m.instance.AgentAddress, err = b.startAgent(m.instance, driver)
	return m, err
}

func (b *LocalFleet) engineOptions(pace float64) standin.EngineOptions {
	f := b.scenario.Fleet
	return standin.EngineOptions{
		StepTiming: standin.StepTiming{
			Step: scaled(f.Step, pace), PerSequence: scaled(f.PerSequence, pace), Prefill: scaled(f.Prefill, pace),
		},
		BatchSize: f.Batch, QueueLimit: 4 * f.Batch, DownFor: f.DownFor,
		ColdStart: standin.ColdStart{Limit: f.ColdLimit, Answers: f.ColdAnswers, Slowdown: f.ColdSlowdown},
	}
}

func (b *LocalFleet) poolStation(pace float64) standin.WorkerOptions {
	f := b.scenario.Fleet
	return standin.WorkerOptions{
		ServiceTime: scaled(f.PoolTime, pace), Slots: f.PoolSlots, QueueLimit: 4 * f.PoolSlots, DownFor: f.DownFor,
	}
}

func (b *LocalFleet) serviceStation(pace float64) standin.WorkerOptions {
	f := b.scenario.Fleet
	return standin.WorkerOptions{
		ServiceTime: scaled(f.ServiceTime, pace), Slots: f.ServiceSlots, QueueLimit: 4 * f.ServiceSlots, DownFor: f.DownFor,
	}
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// serve runs a server on an address of its own.
func (b *LocalFleet) serve(serve func(context.Context, net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	b.work.Go(func() { _ = serve(b.ctx, ln) })
	return ln.Addr().String(), nil
}

// startAgent starts the agent of an endpoint and returns its address.
func (b *LocalFleet) startAgent(in platform.Instance, driver endpoint.Endpoint) (string, error) {
	registry := prometheus.NewRegistry()
	b.registries = append(b.registries, registry)
	o := agent.Options{
		Registerer: registry,
		Name:       in.Name, Pool: in.Pool, Kind: in.Kind, DataCentre: in.DataCentre,
		Endpoint: driver, Settings: b.settings,
	}
	a, err := agent.New(o)
	if err != nil {
		return "", Error.Wrap(err)
	}
	b.closers = append(b.closers, a.Close)
	b.agents = append(b.agents, a)
	links := link.NewServer(a, link.ServerOptions{})
	return b.serve(links.Serve)
}
