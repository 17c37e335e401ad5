//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

var zones = []string{"kgn-a", "kgn-b", "spanish-town", "portmore"}

// run is one play of a case.
type run struct {
	record
	gateway string
	dir     string
	// trouble is unset for the play without the disruption.
	trouble  bool
	store    *fleettest.Store
	gateways []*gateway
	closers  []func()
	// ports are the addresses that are taken.
	ports map[string]bool
}

// gateway is one edge machine.
type gateway struct {
	name, zone, front, ready, metrics, settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

func newRun(program string) (*run, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &run{record: record{start: time.Now()}, gateway: path, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: fleettest.NewStore(), ports: make(map[string]bool)}, nil
}

// unusable is the panic of a case that could not run.
type unusable string

// play plays a case and returns the exit code.
func (r *run) play(play func(*run) []string, recordPath string) (code int) {
	defer func() {
		problem := recover()
		r.close()
		if problem != nil {
			r.add("the case could not run: %v", problem)
			code = failed
		}
		if err := r.write(recordPath); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = failed
		}
		if text, isUnusable := problem.(unusable); isUnusable {
			fmt.Println("could not run:", text)
		} else if problem != nil {
			panic(problem)
		}
	}()
	r.add("trouble=%v", r.trouble)
	r.endInTime(recordPath)
	violations := play(r)
	for _, v := range violations {
		r.add("BROKEN %s", v)
	}
	if len(violations) > 0 {
		fmt.Printf("broken: %d violations, the first: %s\n", len(violations), violations[0])
		return broken
	}
	fmt.Println("held")
	return held
}

// maxLength is the time after which a case is given up.
const maxLength = 112 * time.Second

// endInTime ends the case and its processes when it takes too long or is told to stop.
func (r *run) endInTime(recordPath string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxLength):
		}
		r.add("the case was given up")
		r.close()
		_ = r.write(recordPath)
		os.Exit(failed)
	}()
}

// recordRuns records the requests that servers ran.
func (r *run) recordRuns(servers []*fleettest.Server) {
	for _, s := range servers {
		for _, q := range s.Runs() {
			r.add("%s has run %s %s %s after event %q", s.ID, q.AttemptID, q.Method, q.URI, q.LastEventID)
		}
	}
}

func (r *run) close() {
	for _, g := range r.gateways {
		g.signal(syscall.SIGKILL)
		g.mu.Lock()
		end := g.end
		g.mu.Unlock()
		if end != nil {
			<-end
		}
	}
	for _, c := range r.closers {
		c()
	}
	r.store.Close()
	_ = os.RemoveAll(r.dir)
}

// freePort returns a free address on a loopback IP address, another one on each call.
func (r *run) freePort(ip string) string {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(unusable(err.Error()))
		}
		address := l.Addr().String()
		_ = l.Close()
		if !r.ports[address] {
			r.ports[address] = true
			return address
		}
	}
}

// startGateways starts one gateway in each of the first n zones and waits until all are ready and linked.
func (r *run) startGateways(n int) {
	var seeds, controls []string
	for i := range n {
		controls = append(controls, r.freePort(fmt.Sprintf("127.0.%d.1", 10+i)))
	}
	seeds = controls[:min(n, 3)]
	for i := range n {
		ip := fmt.Sprintf("127.0.%d.1", 10+i)
		g := &gateway{name: "edge-" + zones[i] + "-1", zone: zones[i], front: r.freePort(ip), ready: r.freePort(ip), metrics: r.freePort(ip)}
		text := "node=" + g.name + "\nrole=gateway\nmachineClass=edge\nserves=edge,control_plane\nip=" + ip + "\nzone=" + g.zone + "\nregion=jm-south\n"
		for _, z := range zones {
			text += "zones." + z + "=jm-south\n"
		}
		text += "listen.front=" + g.front + "\nlisten.readyAddr=" + g.ready + "\nlisten.control=" + controls[i] + "\nseeds="
		for k, s := range seeds {
			if k > 0 {
				text += ","
			}
			text += s
		}
		text += "\nbootstrap=true\nlimits.cpuShare=0.304\nlimits.cores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n" +
			"discovery=platform\nentry=vip\nheartbeatMs=1200\nfaultTolerance.machines=1\nfaultTolerance.zones=1\n" +
			"bounds.contactMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n" +
			"bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=54\nbounds.evacuateMs=5000\n" +
			"provider.address=" + r.store.Address() + "\nprovider.form=objects\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.historyS=20\n"
		g.settings = filepath.Join(r.dir, g.name+".conf")
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			panic(unusable(err.Error()))
		}
		r.gateways = append(r.gateways, g)
		r.startGateway(g)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range r.gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				panic(unusable("a gateway did not become ready"))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	// Traffic starts 10 s after the machines on the site; here once all had time to link.
	time.Sleep(3 * time.Second)
}

// startGateway starts the gateway's process with the command of the deploy file. Its metrics get an address of
// their own, as all machines share this one's ports.
func (r *run) startGateway(g *gateway) {
	log, err := os.OpenFile(filepath.Join(r.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(unusable(err.Error()))
	}
	cmd := exec.Command(r.gateway, "--metrics", g.metrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "AZURELEAD_NODE_FILE=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(unusable(err.Error()))
	}
	end := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.end = cmd, end
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		r.add("process of %s ended: %v", g.name, cmd.ProcessState)
		close(end)
	}()
	r.add("process of %s started", g.name)
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return fleettest.Ready(ctx, g.ready)
}

// putConfig writes a version of the config, as the operator does.
func (r *run) putConfig(version int, routes, services []map[string]any) {
	r.store.Put("config", "main", fleettest.Configuration(version, routes, services, map[string][]string{"bozi300": {apiKey}}))
	r.add("config version %d confirmed", version)
}

const apiKey = "9dnn2ctnfzs989anu6ws"
