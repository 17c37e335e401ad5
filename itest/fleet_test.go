package itest

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/standin"
)

const fleetToken = "hotflow-token"

// fleet is a set of processes that share one platform stand-in.
type fleet struct {
	t            testing.TB
	platformAddr string
	instances    []platform.Instance
}

// newFleet starts a platform stand-in and applies the settings.
func newFleet(t testing.TB, settingsYAML string, platformFlags ...string) *fleet {
	t.Helper()
	f := &fleet{t: t}
	f.platformAddr = f.start("platform", "azurelead-standin", append([]string{"platform"}, platformFlags...)...).addr
	f.applySettings(settingsYAML)
	return f
}

// applySettings applies the settings after adding the test organisation and, if they declare no data
// centre, the data centre north.
func (f *fleet) applySettings(settingsYAML string) {
	f.t.Helper()
	settingsYAML += `
organisations:
  hotflow: {token_sha256: [ec3a8e4675d3c4e4f660942cdc8c4b4d1b29cca5736d52fb747b7c138fbc1866]}
`
	if !strings.Contains(settingsYAML, "data_centres:") {
		settingsYAML += "data_centres: {north: {}}\n"
	}
	file := filepath.Join(f.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(settingsYAML), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.runOperatorCommand("settings", "apply", "--file", file)
}

// runOperatorCommand runs the operators' command azurelead with the arguments.
func (f *fleet) runOperatorCommand(args ...string) {
	f.t.Helper()
	c := exec.Command(filepath.Join(binDir, "azurelead"), append(args, "--platform", "http://"+f.platformAddr)...)
	if out, err := c.CombinedOutput(); err != nil {
		f.t.Fatalf("%v: %v\n%s", args, err, out)
	}
}

// start starts a program. Its standard error is logged if the test fails.
func (f *fleet) start(name, program string, args ...string) *process {
	f.t.Helper()
	p, err := startProcess(name, program, args...)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", name, p.stderr.String())
		}
	})
	return p
}

// startAgent starts an agent for the endpoint and registers it as a live instance at the agent's own
// address.
func (f *fleet) startAgent(name, pool string, kind pipeline.Kind, endpoint string, flags ...string) *process {
	f.t.Helper()
	p := f.start(name, "azurelead-agent", append([]string{
		"--name", name, "--pool", pool, "--kind", string(kind), "--data-centre", "north",
		"--endpoint", "http://" + endpoint, "--platform", "http://" + f.platformAddr,
		"--operators", "127.0.0.1:0", "--plain", "--report-lag", "50ms",
	}, flags...)...)
	f.register(platform.Instance{Name: name, Pool: pool, Kind: kind, AgentAddress: p.addr, State: platform.Live})
	return p
}

// register adds the instance to the platform's list or replaces the one of the same name.
func (f *fleet) register(instance platform.Instance) {
	f.t.Helper()
	instance.DataCentre = "north"
	f.instances = slices.DeleteFunc(f.instances, func(o platform.Instance) bool { return o.Name == instance.Name })
	f.instances = append(f.instances, instance)
	body, err := json.Marshal(platform.InstanceList{Instances: f.instances})
	if err != nil {
		f.t.Fatal(err)
	}
	f.send(http.MethodPut, f.platformAddr, "/control/instances", body)
}

func (f *fleet) send(method, addr, path string, body []byte) {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		f.t.Fatalf("%s: status %s", path, resp.Status)
	}
}

// startEntry starts an entry. It does not wait until the entry answers; see awaitAnswer.
func (f *fleet) startEntry(name string, flags ...string) *process {
	f.t.Helper()
	return f.start(name, "azurelead-entry", append([]string{"--name", name, "--data-centre", "north",
		"--platform", "http://" + f.platformAddr, "--listen", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--plain"}, flags...)...)
}

// awaitAnswer repeats a request for the pipeline until the entry answers it.
func (f *fleet) awaitAnswer(e *process, pipelineName string, body entry.Body) {
	f.t.Helper()
	if err := eventually(func() error {
		_, err := f.call(e, pipelineName, body, nil)
		return err
	}); err != nil {
		f.t.Fatal(err)
	}
}

// call sends one request through the entry. A non-nil onToken receives the tokens of a streamed answer.
func (f *fleet) call(e *process, pipelineName string, body entry.Body, onToken func(string)) (entry.Answer, error) {
	c := client.Client{URL: "http://" + e.addr}
	return c.Do(context.Background(), client.Request{
		Token: fleetToken, Pipeline: pipelineName, Deadline: 20 * time.Second, Body: body,
	}, onToken)
}

// stat returns a number from the statistics of a stand-in.
func (f *fleet) stat(addr, field string) float64 {
	f.t.Helper()
	n, err := readStat(addr, field)
	if err != nil {
		f.t.Fatal(err)
	}
	return n
}

// awaitStat waits until a statistic of a stand-in is at least n.
func (f *fleet) awaitStat(addr, field, n string) {
	f.t.Helper()
	if err := eventually(func() error { return checkStat([]string{addr, field, ">=", n}) }); err != nil {
		f.t.Fatal(err)
	}
}

// runCount returns how often a stand-in ran the call with the reference.
func (f *fleet) runCount(addr, reference string) int {
	f.t.Helper()
	resp, err := http.Get("http://" + addr + "/control/runs?reference=" + url.QueryEscape(reference))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var a standin.RunsResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		f.t.Fatal(err)
	}
	return a.Runs
}
