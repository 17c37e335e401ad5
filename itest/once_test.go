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

// Delays that stretch a booking over about 0.6 s, so that a strike at each
// faultStep falls between two of its steps.
const (
	faultStep          = 110 * time.Millisecond
	faultWindow        = 880 * time.Millisecond
	linkDelayMS        = "40"
	platformDelay      = 30 * time.Millisecond
	bookingServiceTime = "150ms"
	bookingDeadline    = 3 * time.Second
	settleTimeout      = 4 * time.Second // longer than any call that was under way may last
	hotflowToken       = "hotflow-token"
	hotflowTokenSHA256 = "ec3a8e4675d3c4e4f660942cdc8c4b4d1b29cca5736d52fb747b7c138fbc1866"
)

// system is a platform with services, engines, agents and entries, each a process.
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

// addEndpoint starts an endpoint with its agent behind a proxy.
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

// sumStat sums a number over the statistics of all endpoints.
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

// outcome is what one caller was told; the zero Run is no answer at all.
type outcome struct {
	Run  contract.RunState
	Code contract.Code
}

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

// bookUntilSettled sends the booking again until an answer says for good what became of
// it, and returns that answer.
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

// faultScenario is a failure at some moment of a booking, and its repair.
type faultScenario struct {
	name   string
	inject func(*system)
	repair func(*system)
}

func signalAll(sig syscall.Signal, of func(*system) []*process) func(*system) {
	return func(s *system) {
		for _, p := range of(s) {
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

// killAndRestartAgents kills all agents and starts their successors, which remember nothing.
func killAndRestartAgents(s *system) {
	for _, a := range s.agents {
		a.kill()
	}
	s.restartAgents()
}

// restartAgents starts all agents anew at new addresses behind their proxies.
func (s *system) restartAgents() {
	for i, in := range s.instances {
		s.agents[i] = s.startAgent(in.Name, in.Kind, in.Pool, s.endpoints[i].addr)
		// The proxy goes on listening: another process could take its port.
		s.proxies[i].proxy.Lock()
		s.proxies[i].proxy.Upstream = s.agents[i].addr
		s.proxies[i].proxy.Unlock()
	}
}

// TestBookingsRunAtMostOnce strikes at every moment of a booking, lets the
// caller send it again through another entry, and thaws or repairs what was
// struck. The services' own count is the witness: no booking runs twice, one
// that is said to have run did, and one of which all that is said is "not run"
// did not.
func TestBookingsRunAtMostOnce(t *testing.T) {
	for _, k := range faultScenarios {
		t.Run(k.name, func(t *testing.T) {
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
			for at := time.Duration(0); at < faultWindow; at += faultStep {
				s.injectDuringBooking(k, at)
			}
		})
	}
}

func (s *system) injectDuringBooking(k faultScenario, at time.Duration) {
	key := fmt.Sprintf("booking-%d", at.Milliseconds())
	before := s.sumStat("references.total")
	answers := make([]outcome, 3)
	var sent sync.WaitGroup
	first := s.entries[0]
	sent.Go(func() { answers[0] = s.book(first, key) })
	time.Sleep(at)
	k.inject(s)
	answers[1] = s.bookUntilSettled(s.entries[1], key)
	k.repair(s)
	sent.Wait()
	answers[2] = s.bookUntilSettled(s.entries[0], key)
	s.awaitQuiescence()
	s.checkOutcomes(fmt.Sprintf("%s after %s", k.name, at), answers, s.sumStat("references.total")-before)
}

// awaitQuiescence waits until nothing that was under way can still reach a service.
func (s *system) awaitQuiescence() {
	last, since := s.sumStat("references.total"), time.Now()
	for time.Since(since) < settleTimeout/4 {
		time.Sleep(50 * time.Millisecond)
		if n := s.sumStat("references.total"); n != last {
			last, since = n, time.Now()
		}
	}
}

func (s *system) checkOutcomes(what string, answers []outcome, runs int) {
	s.t.Logf("%s: runs %d, answers %v", what, runs, answers)
	if runs > 1 {
		s.t.Errorf("%s: ran %d times, answers %v", what, runs, answers)
	}
	said := map[contract.RunState]bool{}
	for _, a := range answers {
		said[a.Run] = true
	}
	if said[contract.Ran] && runs == 0 {
		s.t.Errorf("%s: did not run, answers %v", what, answers)
	}
	if runs > 0 && !said[contract.Ran] && !said[contract.MayHaveRun] {
		s.t.Errorf("%s: ran, answers %v", what, answers)
	}
}
