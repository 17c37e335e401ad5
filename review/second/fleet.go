package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// memoryMB is the memory of a machine, as on the sheet of the site bmh-kingston.
	memoryMB = 284
	// contactTime is contactMs of that sheet.
	contactTime  = 3 * time.Second
	startTimeout = 15 * time.Second
	dataCentres  = 2
	// apiKey is the key of ordinary clients, oddKey that of clients outside the limits, who belong to another tenant.
	apiKey = "key-of-org"
	oddKey = "key-of-visitors"
	// oddAddress is the address of clients outside the limits, ordinaryAddress that of the others.
	ordinaryAddress = "127.0.0.11"
	oddAddress      = "127.0.0.66"
)

// deployment is a small deployment: a store, servers and gateways.
type deployment struct {
	program, logs, dir string
	started            time.Time
	store              *fleettest.Store
	servers            []*server
	gateways           []*gateway

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	// broken says how the rule was broken.
	broken []string
}

func newFleet(program, record, logs string) (*deployment, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "azurelead-review")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &deployment{program: program, logs: logs, dir: dir, started: time.Now(), store: fleettest.NewStore(), record: bufio.NewWriter(file), file: file}, nil
}

// close ends all processes that the fleet has started.
func (f *deployment) close() {
	for _, g := range f.gateways {
		g.kill()
	}
	for _, s := range f.servers {
		s.end()
	}
	f.store.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = errors.Join(f.record.Flush(), f.file.Close(), os.RemoveAll(f.dir))
}

// closeOnSignal ends all processes that the fleet has started when this one is asked to end.
func (f *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		s := <-signals
		f.note("could not run to its end: %v", s)
		f.close()
		os.Exit(exitNotRun)
	}()
}

// note writes a line to the record, with the seconds since the start.
func (f *deployment) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (f *deployment) breaks(format string, args ...any) {
	f.note("broken: "+format, args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// register lists a server in the store.
func (f *deployment) register(s *server, service string, dataCentre int) {
	f.store.Put(fleet.KindEndpoints, s.id, s.spec(service, fmt.Sprintf("dc-%d", dataCentre%dataCentres)))
}

// configure stores a configuration.
func (f *deployment) configure(version int, routes, services []map[string]any) {
	f.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(version, routes, services, map[string][]string{"org": {apiKey}, "visitors": {oddKey}}))
}

// gateway is one gateway process, which may be started again.
type gateway struct {
	f *deployment
	// front, ready and control are its addresses.
	name, front, ready, control, settings, metrics string

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{}
	killed    bool
	startedAt time.Time
	peakMB    int
}

// start starts n gateways and waits until they are ready.
func (f *deployment) start(n int) error {
	var seeds []string
	for i := range n {
		g := &gateway{
			f: f, name: fmt.Sprintf("edge-%d", i), front: fleettest.FreeAddress(), ready: fleettest.FreeAddress(),
			control: fleettest.FreeAddress(), metrics: fleettest.FreeAddress(),
		}
		g.settings = filepath.Join(f.dir, g.name+".conf")
		f.gateways = append(f.gateways, g)
		seeds = append(seeds, g.control)
	}
	for i, g := range f.gateways {
		text := fmt.Sprintf("node=%s\nrole=gateway\nmachineClass=edge\nserves=edge,control_plane\nzone=dc-%d\nregion=r\nzones.dc-0=r\nzones.dc-1=r\n"+
			"listen.front=%s\nlisten.readyAddr=%s\nlisten.control=%s\nseeds=%s\nbootstrap=true\n"+
			"limits.cpuShare=0.304\nlimits.cores=1\nlimits.memoryMb=%d\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"+
			"discovery=platform\nentry=vip\nheartbeatMs=1200\nprovider.address=%s\nprovider.form=objects\nprovider.writesPerS=400\nprovider.readsPerS=2000\n"+
			"bounds.contactMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=54\n",
			g.name, i%dataCentres, g.front, g.ready, g.control, strings.Join(seeds[:min(n, 3)], ","), memoryMB, f.store.Address())
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := g.run(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// awaitReady waits until all gateways are ready.
func (f *deployment) awaitReady() error {
	for until := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range f.gateways {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if fleettest.Ready(ctx, g.ready) {
				ready++
			}
			cancel()
		}
		switch {
		case ready == len(f.gateways):
			f.note("%d gateways are ready", ready)
			return nil
		case time.Now().After(until):
			return fmt.Errorf("%d of %d gateways are ready after %v", ready, len(f.gateways), startTimeout)
		}
	}
}

// run starts the process with the command of the deploy file, but for the address of its metrics.
func (g *gateway) run() error {
	cmd := exec.Command(g.f.program, "--metrics", g.metrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.f.dir, "GOMAXPROCS=1", "AZURELEAD_NODE_FILE=" + g.settings}
	cmd.Stdout, cmd.Stderr = io.Discard, io.Discard
	if g.f.logs != "" {
		log, err := os.OpenFile(filepath.Join(g.f.logs, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = log.Close() }()
		cmd.Stdout, cmd.Stderr = log, log
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done, g.killed, g.startedAt = cmd, done, false, time.Now()
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		close(done)
		g.mu.Lock()
		killed := g.killed
		g.mu.Unlock()
		if !killed {
			g.f.breaks("the process of %s ended by itself: %v", g.name, err)
		}
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd, done := g.cmd, g.done
	g.killed = true
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // the process may have ended
	<-done
}

// readMemoryPeak returns the peak of the resident memory of the process in MiB. The caller holds mu.
func (g *gateway) readMemoryPeak() (mb int) {
	pid := g.cmd.Process.Pid
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // fails after the end of the process
	if _, peak, found := strings.Cut(string(status), "VmHWM:"); found {
		_, _ = fmt.Sscan(peak, &mb) // the kernel writes a number of kB
	}
	return mb >> 10
}

// inTouchSince returns when the process has been running for contactTime.
func (g *gateway) inTouchSince() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.startedAt.Add(contactTime)
}
