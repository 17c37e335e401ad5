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

// fleet is a set of real processes around one platform.
type fleet struct {
	t            testing.TB
	platformAddr string
	instances    []platform.Instance
}

// newFleet starts a platform with the settings.
func newFleet(t testing.TB, text string, platformFlags ...string) *fleet {
	t.Helper()
	f := &fleet{t: t}
	f.platformAddr = f.start("platform", "azurelead-standin", append([]string{"platform"}, platformFlags...)...).addr
	f.applySettings(text)
	return f
}

// applySettings brings settings into force, with the organisation of the tests and, if
// they name no data centre, with one.
func (f *fleet) applySettings(text string) {
	f.t.Helper()
	text += `
organisations:
  hotflow: {token_sha256: [ec3a8e4675d3c4e4f660942cdc8c4b4d1b29cca5736d52fb747b7c138fbc1866]}
`
	if !strings.Contains(text, "data_centres:") {
		text += "data_centres: {north: {}}\n"
	}
	file := filepath.Join(f.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.runOperatorCommand("settings", "apply", "--file", file)
}

// runOperatorCommand runs a command of the operators.
func (f *fleet) runOperatorCommand(args ...string) {
	f.t.Helper()
	c := exec.Command(filepath.Join(binDir, "azurelead"), append(args, "--platform", "http://"+f.platformAddr)...)
	if out, err := c.CombinedOutput(); err != nil {
		f.t.Fatalf("%v: %v\n%s", args, err, out)
	}
}

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

// startAgent starts an startAgent before an endpoint and lists it at addr, or at its own
// address if addr is empty.
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

// register puts an instance into the platform's register in place of its former entry.
func (f *fleet) register(i platform.Instance) {
	f.t.Helper()
	i.DataCentre = "north"
	f.instances = slices.DeleteFunc(f.instances, func(o platform.Instance) bool { return o.Name == i.Name })
	f.instances = append(f.instances, i)
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
		f.t.Fatalf("%s: %s", path, resp.Status)
	}
}

// startEntry starts an startEntry; await waits until it answers.
func (f *fleet) startEntry(name string, flags ...string) *process {
	f.t.Helper()
	return f.start(name, "azurelead-entry", append([]string{"--name", name, "--data-centre", "north",
		"--platform", "http://" + f.platformAddr, "--listen", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--plain"}, flags...)...)
}

// awaitAnswer waits until the entry answers a request of the pipeline.
func (f *fleet) awaitAnswer(e *process, pipelineName string, body entry.Body) {
	f.t.Helper()
	if err := eventually(func() error {
		_, err := f.call(e, pipelineName, body, nil)
		return err
	}); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) call(e *process, pipelineName string, body entry.Body, token func(string)) (entry.Answer, error) {
	c := client.Client{URL: "http://" + e.addr}
	return c.Do(context.Background(), client.Request{
		Token: fleetToken, Pipeline: pipelineName, Deadline: 20 * time.Second, Body: body,
	}, token)
}

// stat reads a number of a stand-in's statistics.
func (f *fleet) stat(addr, field string) float64 {
	f.t.Helper()
	n, err := readStat(addr, field)
	if err != nil {
		f.t.Fatal(err)
	}
	return n
}

// awaitStat waits until a statistic has reached at least n.
func (f *fleet) awaitStat(addr, field, n string) {
	f.t.Helper()
	if err := eventually(func() error { return checkStat([]string{addr, field, ">=", n}) }); err != nil {
		f.t.Fatal(err)
	}
}

// runCount asks a stand-in how often the call of the reference ran.
func (f *fleet) runCount(addr, reference string) int {
	f.t.Helper()
	resp, err := http.Get("http://" + addr + "/control/runs?reference=" + url.QueryEscape(reference))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var a standin.RunsAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		f.t.Fatal(err)
	}
	return a.Runs
}
