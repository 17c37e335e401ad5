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

// instance is a stand-in endpoint together with its agent.
type instance struct {
	info    platform.Instance
	engine  *standin.Engine
	standin poolStandin
}

// poolStandin is the common interface of the stand-ins for pools and services.
type poolStandin interface {
	SetFaults(faults standin.WorkerFaults)
	Stats() standin.WorkerStats
	References() map[string]int
}

// standinServer is the serving interface of every stand-in.
type standinServer interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// instanceSpec describes an instance to start.
type instanceSpec struct {
	info platform.Instance
	// slowdown multiplies the duration of the instance's calls; the fastest instance has 1.
	slowdown float64
}

// instanceSpecs returns the specifications of all instances of a data centre.
func (lf *LocalFleet) instanceSpecs(dataCentre string) []instanceSpec {
	fleet := lf.scenario.Fleet
	var specs []instanceSpec
	addPool := func(pool string, kind pipeline.Kind, count int) {
		for i := range count {
			name := fmt.Sprintf("%s-%s-%d", dataCentre, pool, i+1)
			specs = append(specs, instanceSpec{
				info:     platform.Instance{Name: name, Pool: pool, Kind: kind, DataCentre: dataCentre, State: platform.Live},
				slowdown: lf.drawSlowdown(name),
			})
		}
	}
	addPool(encodePool, pipeline.Encode, fleet.Encoders)
	addPool(retrievePool, pipeline.Retrieve, fleet.Retrievers)
	addPool(rerankPool, pipeline.Rerank, fleet.Rerankers)
	addPool(enginePool, pipeline.Generate, fleet.Engines)
	addPool(servicePool, pipeline.Service, fleet.Services)
	return specs
}

// drawSlowdown draws the slowdown of an instance from the scenario's seed and the instance's name.
// It is between 1 and 1 + Spread.
func (lf *LocalFleet) drawSlowdown(name string) float64 {
	var hash uint64
	for _, char := range []byte(name) {
		hash = hash*31 + uint64(char)
	}
	return 1 + lf.scenario.Fleet.Spread*rand.New(rand.NewPCG(lf.scenario.Seed, hash)).Float64()
}

// startInstance starts a stand-in and its agent.
func (lf *LocalFleet) startInstance(spec instanceSpec) (*instance, error) {
	in := &instance{info: spec.info}
	var server standinServer
	switch spec.info.Kind {
	case pipeline.Generate:
		in.engine = standin.NewEngine(lf.engineOptions(spec.slowdown))
		server = in.engine
	case pipeline.Service:
		service := standin.NewService(standin.ServiceOptions{WorkerOptions: lf.serviceWorkerOptions(spec.slowdown)})
		in.standin, server = service, service
	default:
		pool := standin.NewPool(standin.PoolOptions{WorkerOptions: lf.poolWorkerOptions(spec.slowdown)})
		in.standin, server = pool, pool
	}
	addr, err := lf.serveTCP(server.Serve)
	if err != nil {
		return nil, err
	}
	driver, err := endpoint.New(spec.info.Kind, endpoint.Options{URL: "http://" + addr})
	if err != nil {
		return nil, err
	}
	in.info.AgentAddress, err = lf.startAgent(in.info, driver)
	return in, err
}

func (lf *LocalFleet) engineOptions(slowdown float64) standin.EngineOptions {
	fleet := lf.scenario.Fleet
	return standin.EngineOptions{
		StepTiming: standin.StepTiming{
			Step: scaleDuration(fleet.Step, slowdown), PerSequence: scaleDuration(fleet.PerSequence, slowdown), Prefill: scaleDuration(fleet.Prefill, slowdown),
		},
		BatchSize: fleet.Batch, QueueLimit: 4 * fleet.Batch, DownFor: fleet.DownFor,
		ColdStart: standin.ColdStart{Limit: fleet.ColdLimit, Answers: fleet.ColdAnswers, Slowdown: fleet.ColdSlowdown},
	}
}

func (lf *LocalFleet) poolWorkerOptions(slowdown float64) standin.WorkerOptions {
	fleet := lf.scenario.Fleet
	return standin.WorkerOptions{
		ServiceTime: scaleDuration(fleet.PoolTime, slowdown), Slots: fleet.PoolSlots, QueueLimit: 4 * fleet.PoolSlots, DownFor: fleet.DownFor,
	}
}

func (lf *LocalFleet) serviceWorkerOptions(slowdown float64) standin.WorkerOptions {
	fleet := lf.scenario.Fleet
	return standin.WorkerOptions{
		ServiceTime: scaleDuration(fleet.ServiceTime, slowdown), Slots: fleet.ServiceSlots, QueueLimit: 4 * fleet.ServiceSlots, DownFor: fleet.DownFor,
	}
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// serveTCP runs a server on a free loopback port and returns its address.
func (lf *LocalFleet) serveTCP(serve func(context.Context, net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	lf.servers.Go(func() { _ = serve(lf.ctx, listener) })
	return listener.Addr().String(), nil
}

// startAgent starts the agent of an endpoint and returns the address of the agent's link server.
func (lf *LocalFleet) startAgent(info platform.Instance, driver endpoint.Endpoint) (string, error) {
	registry := prometheus.NewRegistry()
	lf.agentRegistries = append(lf.agentRegistries, registry)
	options := agent.Options{
		Registerer: registry,
		Name:       info.Name, Pool: info.Pool, Kind: info.Kind, DataCentre: info.DataCentre,
		Endpoint: driver, Settings: lf.settings,
	}
	a, err := agent.New(options)
	if err != nil {
		return "", Error.Wrap(err)
	}
	lf.closers = append(lf.closers, a.Close)
	lf.agents = append(lf.agents, a)
	server := link.NewServer(a, link.ServerOptions{})
	return lf.serveTCP(server.Serve)
}
