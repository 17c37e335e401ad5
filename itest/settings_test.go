package itest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

// cmdInForce waits until a process has the settings version or a later one in force:
// in-force NAME VERSION
func cmdInForce(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "in-force NAME VERSION")
	want, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	p := processOf(ts, args[0])
	ts.Check(eventually(func() error {
		got, err := settingsVersion(p)
		if err == nil && got < want {
			err = fmt.Errorf("%s has settings version %d, want %d", args[0], got, want)
		}
		return err
	}))
}

// cmdNote stores a statistic of a stand-in in an environment variable for later comparisons:
// note VARIABLE ADDR FIELD
func cmdNote(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 3, "note VARIABLE ADDR FIELD")
	n, err := readStat(args[1], args[2])
	ts.Check(err)
	ts.Setenv(args[0], strconv.FormatFloat(n, 'f', -1, 64))
}

// settingsVersion returns the settings version that the metrics of the process report.
func settingsVersion(p *process) (settings.Version, error) {
	resp, err := http.Get("http://" + p.operatorsAddr + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if v, ok := strings.CutPrefix(lines.Text(), "azurelead_settings_version "); ok {
			return strconv.ParseUint(v, 10, 64)
		}
	}
	return 0, fmt.Errorf("the metrics of %s have no settings version", p.name)
}

// agentUnderTest is an agent with its encoder and a platform stand-in, each a separate process.
type agentUnderTest struct {
	t        *testing.T
	store    *platform.Client
	encoder  *process
	agent    *process
	platform *process
}

func startAgentUnderTest(t *testing.T) *agentUnderTest {
	a := &agentUnderTest{t: t}
	a.platform = a.start("azurelead-standin", "platform", "--listen", "127.0.0.1:0")
	a.encoder = a.start("azurelead-standin", "pool", "--listen", "127.0.0.1:0")
	store, err := platform.NewClient(platform.ClientOptions{URL: "http://" + a.platform.addr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	a.store = store
	a.setDataCentreOut("first", false)
	a.agent = a.start("azurelead-agent", "--name", "enc", "--pool", "encoders", "--kind", "encode",
		"--data-centre", "north", "--endpoint", "http://"+a.encoder.addr, "--platform", "http://"+a.platform.addr,
		"--operators", "127.0.0.1:0", "--plain", "--report-lag", "50ms")
	return a
}

func (a *agentUnderTest) start(program string, args ...string) *process {
	a.t.Helper()
	p, err := startProcess(program, program, args...)
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(p.kill)
	return p
}

// setDataCentreOut accepts a settings change that takes the data centre north out or back in.
func (a *agentUnderTest) setDataCentreOut(id settings.ChangeID, out bool) {
	a.t.Helper()
	edit := func(d settings.Document) (settings.Document, error) {
		d.DataCentres = map[string]settings.DataCentre{"north": {Region: "r", Out: out}}
		return d, nil
	}
	if o := settings.Accept(a.t.Context(), a.store, 0, edit, id, "test"); o.State != settings.Accepted {
		a.t.Fatal(o.State, o.Err)
	}
}

// endpointCalls returns the number of calls that the endpoint counted.
func (a *agentUnderTest) endpointCalls() float64 {
	a.t.Helper()
	n, err := readStat(a.encoder.addr, "attempts.total")
	if err != nil {
		a.t.Fatal(err)
	}
	return n
}

// silentPeer is a peer that never answers requests for settings, like a paused process.
type silentPeer struct {
	link.NoGossip
	ended <-chan struct{}
}

// Changes implements link.Gossip.
func (s silentPeer) Changes(link.Version) (link.SettingsResult, error) {
	<-s.ended
	return link.SettingsResult{}, nil
}

// dialStaleEntry opens a link as an entry that never learns of changed settings or of refusals.
func (a *agentUnderTest) dialStaleEntry(g link.Gossip) *link.Client {
	a.t.Helper()
	c, err := link.Dial(a.t.Context(), a.agent.addr, link.ClientOptions{
		Hello:  link.HelloParams{Entry: "stubborn", EntryBoot: contract.NewBootID(), DataCentre: "south"},
		Gossip: g, SilenceTimeout: 2 * waitTimeout, PingInterval: 2 * waitTimeout,
	})
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { _ = c.Close() })
	return c
}

// runEncode runs an encode call with a new attempt ID.
func runEncode(ctx context.Context, c *link.Client) (link.RunResult, error) {
	return c.Run(ctx, link.RunParams{
		Attempt: contract.NewAttemptID(), AgentBoot: c.Peer().AgentBoot, Request: contract.NewRequestID(),
		Organisation: "o", Pipeline: "p", Stage: "encode", BudgetUS: waitTimeout.Microseconds(),
		Repeatable: true, Input: pipeline.Input{Text: "question"},
	}, nil)
}

// TestOutDataCentreRefusesAStaleEntry takes the data centre out while the agent is paused and an entry
// with stale settings keeps sending. Neither the calls that wait in the agent's socket buffers nor
// later ones may reach the endpoint, and each must be refused as not run.
func TestOutDataCentreRefusesAStaleEntry(t *testing.T) {
	t.Run("ignorant", func(t *testing.T) { testOutWhilePaused(t, link.NoGossip{}) })
	t.Run("silent", func(t *testing.T) { testOutWhilePaused(t, silentPeer{ended: t.Context().Done()}) })
}

func testOutWhilePaused(t *testing.T, peer link.Gossip) {
	a := startAgentUnderTest(t)
	c := a.dialStaleEntry(peer)
	if err := eventually(func() error {
		res, err := runEncode(t.Context(), c)
		if err == nil && res.Code != "" {
			err = fmt.Errorf("refused: %s %s", res.Code, res.Detail)
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	before := a.endpointCalls()
	if err := a.agent.signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	a.setDataCentreOut("out", true)
	results := make([]link.RunResult, 20)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i], _ = runEncode(t.Context(), c) })
	}
	time.Sleep(3 * time.Second) // well above the agent's pause threshold
	if err := a.agent.signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	// After a pause the agent refuses calls until it has refreshed its settings, which takes longer
	// than some calls do.
	for refreshed := 0; refreshed < 20; {
		res, err := runEncode(t.Context(), c)
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, res)
		if res.Code == contract.CodeDataCentreOut || refreshed > 0 {
			refreshed++
		}
	}
	for i, res := range results {
		if res.Run != contract.NotRun || res.Code == "" {
			t.Errorf("call %d: got code %q and state %s, want a refusal as not run", i, res.Code, res.Run)
		}
	}
	for _, res := range results[len(results)-20:] {
		if res.Code != contract.CodeDataCentreOut {
			t.Errorf("refused with %s after the settings were refreshed", res.Code)
		}
	}
	if after := a.endpointCalls(); after != before {
		t.Errorf("endpoint counted %v calls, %v before the data centre was taken out", after, before)
	}
}
