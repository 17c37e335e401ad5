package itest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
)

// scriptCommands returns the commands of the scenario scripts, in addition to those of testscript:
//
//	start NAME PROGRAM ARGS...        starts a program; sets $NAME to its address and
//	                                  $NAME_ops to its operators' address
//	agent NAME POOL KIND DC ENDPOINT [FLAGS...]  starts an agent without TLS; needs $platform
//	entry NAME DC [FLAGS...]          starts an entry without TLS; needs $platform
//	list NAME POOL KIND DC ADDR [STATE]  adds or replaces an instance in the platform's list
//	proxy NAME ADDR                   starts a fault-injecting proxy for ADDR; sets $NAME to its address
//	fault NAME cut|silence|latency MS|latency-up MS|restore  injects or ends a fault of a proxy
//	signal NAME freeze|thaw|kill|term  sends SIGSTOP, SIGCONT, SIGKILL or SIGTERM
//	ended NAME                        waits for the exit and requires status 0
//	control ADDR JSON                 sets the faults of a stand-in
//	stat ADDR FIELD OP N              compares a statistic of a stand-in with N; OP is ==, <= or >=
//	await ADDR FIELD OP N             waits until the comparison of stat holds
//	ready NAME                        waits until the process reports that it is ready
//	await-ok PROGRAM ARGS...          repeats a program until it exits with status 0
//	in-force NAME VERSION             waits until a process has this settings version or a later one
//	note VARIABLE ADDR FIELD          stores a statistic of a stand-in in an environment variable
func scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"start":    cmdStart,
		"agent":    cmdAgent,
		"entry":    cmdEntry,
		"list":     cmdList,
		"proxy":    cmdProxy,
		"fault":    cmdFault,
		"signal":   cmdSignal,
		"ended":    cmdEnded,
		"control":  cmdControl,
		"stat":     cmdStat,
		"await":    cmdAwait,
		"ready":    cmdReady,
		"await-ok": cmdAwaitOK,
		"in-force": cmdInForce,
		"note":     cmdNote,
	}
}

// scenario holds the processes, proxies and listed instances of one script.
type scenario struct {
	processes map[string]*process
	proxies   map[string]*faultProxy
	instances []platform.Instance
}

type scenarioKey struct{}

func scenarioOf(ts *testscript.TestScript) *scenario { return ts.Value(scenarioKey{}).(*scenario) }

func (s *scenario) close() {
	for _, p := range s.processes {
		p.kill()
	}
	for _, p := range s.proxies {
		p.close()
	}
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		Cmds:                scriptCommands(),
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			s := &scenario{processes: map[string]*process{}, proxies: map[string]*faultProxy{}}
			e.Values[scenarioKey{}] = s
			e.Defer(s.close)
			e.Setenv("PATH", binDir)
			return nil
		},
	})
}

// requireArgs fails the script unless the command is not negated and has at least n arguments.
func requireArgs(ts *testscript.TestScript, neg bool, args []string, n int, usage string) {
	if neg || len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

func start(ts *testscript.TestScript, name, program string, args ...string) {
	p, err := startProcess(name, program, args...)
	ts.Check(err)
	scenarioOf(ts).processes[name] = p
	ts.Setenv(name, p.addr)
	ts.Setenv(name+"_ops", p.operatorsAddr)
}

func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "start NAME PROGRAM ARGS...")
	start(ts, args[0], args[1], args[2:]...)
}

func cmdAgent(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 5, "agent NAME POOL KIND DC ENDPOINT [FLAGS...]")
	start(ts, args[0], "azurelead-agent", append([]string{
		"--name", args[0], "--pool", args[1], "--kind", args[2], "--data-centre", args[3],
		"--endpoint", "http://" + args[4], "--platform", "http://" + ts.Getenv("platform"),
		"--operators", "127.0.0.1:0", "--plain", "--report-lag", "50ms",
	}, args[5:]...)...)
}

func cmdEntry(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "entry NAME DC [FLAGS...]")
	start(ts, args[0], "azurelead-entry", append([]string{
		"--name", args[0], "--data-centre", args[1], "--platform", "http://" + ts.Getenv("platform"),
		"--listen", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--plain",
	}, args[2:]...)...)
}

func cmdList(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 5, "list NAME POOL KIND DC ADDR [STATE]")
	instance := platform.Instance{
		Name: args[0], Pool: args[1], Kind: pipeline.Kind(args[2]), DataCentre: args[3], AgentAddress: args[4], State: platform.Live,
	}
	if len(args) > 5 {
		instance.State = platform.InstanceState(args[5])
	}
	s := scenarioOf(ts)
	kept := s.instances[:0:0]
	for _, other := range s.instances {
		if other.Name != instance.Name {
			kept = append(kept, other)
		}
	}
	s.instances = append(kept, instance)
	body, err := json.Marshal(platform.InstanceList{Instances: s.instances})
	ts.Check(err)
	send(ts, http.MethodPut, ts.Getenv("platform"), "/control/instances", string(body))
}

func cmdProxy(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "proxy NAME ADDR")
	p, err := newProxy(args[0], args[1])
	ts.Check(err)
	scenarioOf(ts).proxies[args[0]] = p
	ts.Setenv(args[0], p.proxy.Listen)
}

func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "fault NAME FAULT [ARGS...]")
	p, ok := scenarioOf(ts).proxies[args[0]]
	if !ok {
		ts.Fatalf("unknown proxy %s", args[0])
	}
	ts.Check(p.apply(args[1], args[2:]...))
}

var signals = map[string]syscall.Signal{
	"freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "kill": syscall.SIGKILL, "term": syscall.SIGTERM,
}

func processOf(ts *testscript.TestScript, name string) *process {
	p, ok := scenarioOf(ts).processes[name]
	if !ok {
		ts.Fatalf("unknown process %s", name)
	}
	return p
}

func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "signal NAME freeze|thaw|kill|term")
	s, ok := signals[args[1]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[1])
	}
	p := processOf(ts, args[0])
	ts.Check(p.signal(s))
	if s == syscall.SIGKILL {
		<-p.done
	}
}

func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "ended NAME")
	p := processOf(ts, args[0])
	if err := p.wait(); err != nil {
		ts.Fatalf("%s: %v\n%s", args[0], err, p.stderr.String())
	}
}

func send(ts *testscript.TestScript, method, addr, path, body string) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(resp.Body)
		ts.Fatalf("%s %s: %s: %s", method, path, resp.Status, text)
	}
}

func cmdControl(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "control ADDR JSON")
	send(ts, http.MethodPost, args[0], "/control/faults", args[1])
}

// readStat returns a number from the statistics of a stand-in. The field is a path with dots.
func readStat(addr, field string) (float64, error) {
	resp, err := http.Get("http://" + addr + "/control/stats")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var value any
	if err := json.NewDecoder(resp.Body).Decode(&value); err != nil {
		return 0, err
	}
	for _, name := range strings.Split(field, ".") {
		object, ok := value.(map[string]any)
		if !ok {
			return 0, fmt.Errorf("statistics have no field %s", field)
		}
		value = object[name]
	}
	n, ok := value.(float64)
	if !ok {
		return 0, fmt.Errorf("field %s is %v, not a number", field, value)
	}
	return n, nil
}

func compareNumbers(got float64, op string, want float64) bool {
	switch op {
	case "==":
		return got == want
	case "<=":
		return got <= want
	case ">=":
		return got >= want
	}
	return false
}

// checkStat compares a statistic; args are those of the command stat.
func checkStat(args []string) error {
	want, err := strconv.ParseFloat(args[3], 64)
	if err != nil {
		return err
	}
	got, err := readStat(args[0], args[1])
	if err != nil {
		return err
	}
	if !compareNumbers(got, args[2], want) {
		return fmt.Errorf("%s is %v, want %s %v", args[1], got, args[2], want)
	}
	return nil
}

func cmdStat(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "stat ADDR FIELD OP N")
	ts.Check(checkStat(args))
}

// eventually repeats check until it succeeds, and returns its last error after waitTimeout.
func eventually(check func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "await ADDR FIELD OP N")
	ts.Check(eventually(func() error { return checkStat(args) }))
}

func cmdReady(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "ready NAME")
	url := "http://" + processOf(ts, args[0]).operatorsAddr + "/readyz"
	ts.Check(eventually(func() error {
		resp, err := http.Get(url)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", args[0], resp.Status)
		}
		return nil
	}))
}

func cmdAwaitOK(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "await-ok PROGRAM ARGS...")
	ts.Check(eventually(func() error { return ts.Exec(args[0], args[1:]...) }))
}
