package itest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

// The delays stretch a booking over about 0.6 s, so that faults injected at multiples of faultStep
// fall between different steps of the booking.
const (
	faultStep          = 110 * time.Millisecond
	faultWindow        = 880 * time.Millisecond
	linkDelayMS        = "40"
	platformDelay      = 30 * time.Millisecond
	bookingServiceTime = "150ms"
	bookingDeadline    = 3 * time.Second
	settleTimeout      = 4 * time.Second // longer than any call in progress may last
	hotflowToken       = "hotflow-token"
	hotflowTokenSHA256 = "ec3a8e4675d3c4e4f660942cdc8c4b4d1b29cca5736d52fb747b7c138fbc1866"
)

// system is a platform stand-in with services, engines, agents and entries, each a separate process.
type system struct {
	t         *testing.T
	platform  *process
	store     *platform.Client
	instances []platform.Instance
	endpoints []*process
	agents    []*process
	proxies   []*faultProxy
	entries   []*process
}

func newSystem(t *testing.T) *system {
	s := &system{t: t}
	s.platform = s.start("azurelead-standin", "platform", "--listen", "127.0.0.1:0")
	store, err := platform.NewClient(platform.ClientOptions{URL: "http://" + s.platform.addr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	s.store = store
	edit := func(d settings.Document) (settings.Document, error) {
		d.Pipelines = map[string]settings.Pipeline{
			"visit": {Stages: []settings.Stage{{Name: "book", Kind: pipeline.Service, Pool: "bookings", Operation: "book", Once: true}}},
			"guide": {Stages: []settings.Stage{{Name: "generate", Kind: pipeline.Generate, Pool: "engines"}}},
		}
		d.Organisations = map[string]settings.Organisation{"hotflow": {TokenSHA256: []string{hotflowTokenSHA256}}}
		d.DataCentres = map[string]settings.DataCentre{"north": {Region: "r"}}
		return d, nil
	}
	if o := settings.Accept(t.Context(), s.store, 0, edit, "first", "test"); o.State != settings.Accepted {
		t.Fatal(o.State, o.Err)
	}
	return s
}

func (s *system) start(program string, args ...string) *process {
	s.t.Helper()
	p, err := startProcess(program, program, args...)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.kill)
	return p
}

// addEndpoint starts an endpoint and its agent, and registers the agent at the address of a new proxy.
func (s *system) addEndpoint(kind pipeline.Kind, pool string, args ...string) {
	s.t.Helper()
	e := s.start("azurelead-standin", args...)
	name := fmt.Sprintf("%s%d", pool, len(s.agents))
	a := s.startAgent(name, kind, pool, e.addr)
	p, err := newProxy(name, a.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.close)
	s.endpoints, s.agents, s.proxies = append(s.endpoints, e), append(s.agents, a), append(s.proxies, p)
	s.instances = append(s.instances, platform.Instance{
		Name: name, Pool: pool, Kind: kind, DataCentre: "north", AgentAddress: p.proxy.Listen, State: platform.Live,
	})
	body, err := json.Marshal(platform.InstanceList{Instances: s.instances})
	if err != nil {
		s.t.Fatal(err)
	}
	s.send(http.MethodPut, s.platform.addr, "/control/instances", string(body))
}

func (s *system) startAgent(name string, kind pipeline.Kind, pool, endpointAddr string) *process {
	s.t.Helper()
	return s.start("azurelead-agent", "--name", name, "--pool", pool, "--kind", string(kind), "--data-centre", "north",
		"--endpoint", "http://"+endpointAddr, "--platform", "http://"+s.platform.addr, "--plain", "--report-lag", "50ms")
}

// startEntry starts an entry and waits until it is ready.
func (s *system) startEntry(name string) *process {
	s.t.Helper()
	p := s.start("azurelead-entry", "--name", name, "--data-centre", "north", "--platform", "http://"+s.platform.addr,
		"--listen", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--plain")
	if err := eventually(func() error {
		resp, err := http.Get("http://" + p.operatorsAddr + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", name, resp.Status)
		}
		return nil
	}); err != nil {
		s.t.Fatal(err)
	}
	return p
}

func (s *system) send(method, addr, path, body string) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		s.t.Fatalf("%s %s: %s", method, path, resp.Status)
	}
}

func (s *system) setPlatformFaults(f platform.Faults) {
	s.t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		s.t.Fatal(err)
	}
	s.send(http.MethodPost, s.platform.addr, "/control/faults", string(body))
}

// sumStat returns the sum of a statistic over all endpoints.
func (s *system) sumStat(field string) int {
	s.t.Helper()
	sum := 0.0
	for _, e := range s.endpoints {
		n, err := readStat(e.addr, field)
		if err != nil {
			s.t.Fatal(err)
		}
		sum += n
	}
	return int(sum)
}

// outcome is the result that one caller received. Run is empty if there was no answer.
type outcome struct {
	Run  contract.RunState
	Code contract.Code
}

// book sends one booking with the idempotency key through the entry.
func (s *system) book(e *process, key string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), bookingDeadline+time.Second)
	defer cancel()
	c := client.Client{URL: "http://" + e.addr, HTTP: &http.Client{}}
	defer c.HTTP.CloseIdleConnections()
	a, err := c.Do(ctx, client.Request{
		Token: hotflowToken, Pipeline: "visit", IdempotencyKey: key, Deadline: bookingDeadline,
		Body: entry.Body{Action: json.RawMessage(`{"reference":"` + key + `"}`)},
	}, nil)
	return outcomeOf(a.Run, err)
}

func outcomeOf(run contract.RunState, err error) outcome {
	var p *contract.Problem
	if errors.As(err, &p) {
		return outcome{p.Run, p.Code}
	}
	if err != nil {
		return outcome{}
	}
	return outcome{Run: run}
}

// bookUntilSettled repeats the booking, up to eight times, until the outcome is final, and returns the
// last outcome. An outcome is final if the booking ran or its outcome is reported as unknown.
func (s *system) bookUntilSettled(e *process, key string) (last outcome) {
	for range 8 {
		last = s.book(e, key)
		if last.Run == contract.Ran || last.Code == contract.CodeOutcomeUnknown {
			return last
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

// faultScenario is a fault that is injected at some point of a booking, with its repair.
type faultScenario struct {
	name   string
	inject func(*system)
	repair func(*system)
}

// signalAll returns a function that sends the signal to the processes that targets selects.
func signalAll(sig syscall.Signal, targets func(*system) []*process) func(*system) {
	return func(s *system) {
		for _, p := range targets(s) {
			_ = p.signal(sig)
		}
	}
}

func firstEntry(s *system) []*process { return s.entries[:1] }
func allAgents(s *system) []*process  { return s.agents }

var faultScenarios = []faultScenario{
	{"entry killed", func(s *system) { s.entries[0].kill() }, func(s *system) { s.entries[0] = s.startEntry("entry1") }},
	{"entry frozen", signalAll(syscall.SIGSTOP, firstEntry), signalAll(syscall.SIGCONT, firstEntry)},
	{"agents frozen", func(s *system) {
		signalAll(syscall.SIGSTOP, allAgents)(s)
		time.AfterFunc(2*time.Second, func() { signalAll(syscall.SIGCONT, allAgents)(s) })
	}, func(*system) {}},
	{"agents killed", killAndRestartAgents, func(*system) {}},
	{"entry and agents killed", func(s *system) {
		s.entries[0].kill()
		killAndRestartAgents(s)
	}, func(s *system) { s.entries[0] = s.startEntry("entry1") }},
	{"links cut", func(s *system) {
		for _, p := range s.proxies {
			_ = p.apply("cut")
		}
		time.AfterFunc(300*time.Millisecond, func() {
			for _, p := range s.proxies {
				// The port may be in use for a moment.
				_ = eventually(func() error { return p.apply("restore") })
			}
		})
	}, func(*system) {}},
	{"store answers lost", func(s *system) {
		s.setPlatformFaults(platform.Faults{Delay: platformDelay, LoseNext: 3, LateWrites: true})
	}, func(s *system) { s.setPlatformFaults(platform.Faults{Delay: platformDelay}) }},
	{"store down", func(s *system) { s.setPlatformFaults(platform.Faults{Down: true}) },
		func(s *system) { s.setPlatformFaults(platform.Faults{Delay: platformDelay}) }},
}

// killAndRestartAgents kills all agents and starts new ones, which have no state of the old ones.
func killAndRestartAgents(s *system) {
	for _, a := range s.agents {
		a.kill()
	}
	s.restartAgents()
}

// restartAgents starts new agents, at new addresses behind the same proxies.
func (s *system) restartAgents() {
	for i, in := range s.instances {
		s.agents[i] = s.startAgent(in.Name, in.Kind, in.Pool, s.endpoints[i].addr)
		// The proxy keeps listening, since another process could take a port that it released.
		s.proxies[i].proxy.Lock()
		s.proxies[i].proxy.Upstream = s.agents[i].addr
		s.proxies[i].proxy.Unlock()
	}
}

// TestBookingsRunAtMostOnce injects each fault at successive points of a booking, lets the caller
// retry through another entry, and repairs the fault. The services count the runs: no booking runs
// twice, a booking reported as run did run, and a booking reported only as not run did not.
func TestBookingsRunAtMostOnce(t *testing.T) {
	for _, fault := range faultScenarios {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			for range 2 {
				s.addEndpoint(pipeline.Service, "bookings", "service", "--listen", "127.0.0.1:0", "--service-time", bookingServiceTime)
			}
			for _, p := range s.proxies {
				if err := errors.Join(p.apply("latency", linkDelayMS), p.apply("latency-up", linkDelayMS)); err != nil {
					t.Fatal(err)
				}
			}
			s.entries = []*process{s.startEntry("entry1"), s.startEntry("entry2")}
			s.setPlatformFaults(platform.Faults{Delay: platformDelay})
			for delay := time.Duration(0); delay < faultWindow; delay += faultStep {
				s.injectDuringBooking(fault, delay)
			}
		})
	}
}

// injectDuringBooking starts a booking, injects the fault after the delay, and checks the outcomes of
// the booking and of its retries.
func (s *system) injectDuringBooking(fault faultScenario, delay time.Duration) {
	key := fmt.Sprintf("booking-%d", delay.Milliseconds())
	before := s.sumStat("references.total")
	outcomes := make([]outcome, 3)
	var wg sync.WaitGroup
	first := s.entries[0]
	wg.Go(func() { outcomes[0] = s.book(first, key) })
	time.Sleep(delay)
	fault.inject(s)
	outcomes[1] = s.bookUntilSettled(s.entries[1], key)
	fault.repair(s)
	wg.Wait()
	outcomes[2] = s.bookUntilSettled(s.entries[0], key)
	s.awaitQuiescence()
	s.checkOutcomes(fmt.Sprintf("%s after %s", fault.name, delay), outcomes, s.sumStat("references.total")-before)
}

// awaitQuiescence waits until the number of bookings has been stable for a quarter of settleTimeout,
// so that no call in progress can still reach a service.
func (s *system) awaitQuiescence() {
	last, since := s.sumStat("references.total"), time.Now()
	for time.Since(since) < settleTimeout/4 {
		time.Sleep(50 * time.Millisecond)
		if n := s.sumStat("references.total"); n != last {
			last, since = n, time.Now()
		}
	}
}

// checkOutcomes checks that the booking ran at most once and that the outcomes agree with its runs.
func (s *system) checkOutcomes(label string, outcomes []outcome, runs int) {
	s.t.Logf("%s: %d runs, outcomes %v", label, runs, outcomes)
	if runs > 1 {
		s.t.Errorf("%s: booking ran %d times, outcomes %v", label, runs, outcomes)
	}
	reported := map[contract.RunState]bool{}
	for _, o := range outcomes {
		reported[o.Run] = true
	}
	if reported[contract.Ran] && runs == 0 {
		s.t.Errorf("%s: booking was reported as run but did not run, outcomes %v", label, outcomes)
	}
	if runs > 0 && !reported[contract.Ran] && !reported[contract.MayHaveRun] {
		s.t.Errorf("%s: booking ran but no outcome reports it, outcomes %v", label, outcomes)
	}
}
