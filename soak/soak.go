// Package soak runs gateways as real processes before stand-ins of the platform
// and the endpoints, disturbs them by a seeded schedule of overlapping faults,
// and checks what callers and endpoints see. It ends only what it started.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

const (
	dataCentres = 2
	grace       = 8 * time.Second
	// settle is the time without faults in which service has to be back.
	settle = 6 * time.Second
	// readyWithin is how long a start may take.
	readyWithin = 20 * time.Second
	// clients per entry keep their connections.
	clients = 4
)

// Options configures a run.
type Options struct {
	// Gateway is the path of the azurelead-gateway program.
	Gateway string
	Seed    uint64
	// Entries is the number of gateway processes.
	Entries int
	// Duration is how long faults go on.
	Duration time.Duration
	// LogDir keeps the processes' logs; none if empty.
	LogDir string
}

// Report is what a run saw.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Refused  int
	Failed   int
	Faults   []string
	// Violations are the promises that were not kept.
	Violations []string
}

// run is one run in progress.
type run struct {
	o       Options
	rng     *rand.Rand
	dir     string
	store   *fleettest.Store
	proxies []*proxy
	storeP  *proxy
	servers []*fleettest.Server
	// listed are the servers' entries in the store.
	listed  []map[string]any
	entries []*entry

	mu      sync.Mutex
	report  Report
	answers []answer
	config  int
}

// entry is one gateway process.
type entry struct {
	name, front, health, settings string

	// disturbing is held while a fault owns the process, so that two do not
	// start it at once.
	disturbing sync.Mutex

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	ending  time.Time
	wounded bool
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "azurelead-soak")
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), dir: dir, store: fleettest.NewStore(), report: Report{Seed: o.Seed}}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return r.report, err
	}
	r.play(ctx)
	r.check()
	return r.report, nil
}

func (r *run) close() {
	for _, e := range r.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		if done := e.ended(); done != nil {
			<-done
		}
	}
	for _, p := range r.proxies {
		p.close()
	}
	for _, s := range r.servers {
		s.Close()
	}
	r.store.Close()
}

// services are the kinds of endpoints and how many there are.
var services = []struct {
	name  string
	count int
}{{"api", 3}, {"llm", 3}, {"portal", 2}}

func (r *run) start(ctx context.Context) error {
	p, err := newProxy(r.store.Address())
	if err != nil {
		return err
	}
	r.storeP = p
	r.proxies = append(r.proxies, p)
	for _, s := range services {
		for range s.count {
			if err := r.addServer(s.name); err != nil {
				return err
			}
		}
	}
	r.configure()
	for i := range r.o.Entries {
		if err := r.addEntry(i); err != nil {
			return err
		}
	}
	return r.awaitReady(ctx)
}

// addServer starts an endpoint behind a proxy and lists it.
func (r *run) addServer(service string) error {
	s := fleettest.NewServer(fmt.Sprintf("%s-%d-%d", service, r.o.Seed, len(r.servers)))
	p, err := newProxy(s.Address())
	if err != nil {
		return err
	}
	s.SetStream(streamEvents, 15*time.Millisecond)
	r.servers, r.proxies = append(r.servers, s), append(r.proxies, p)
	s.SetListedAddress(p.address())
	spec := s.EndpointSpec(service, fmt.Sprintf("dc-%d", len(r.servers)%dataCentres))
	r.listed = append(r.listed, spec)
	r.store.Put(fleet.KindEndpoints, s.ID, spec)
	return nil
}

func (r *run) configure() {
	r.mu.Lock()
	r.config++
	version := r.config
	r.mu.Unlock()
	stages := map[string]any{"resumable": true, "stages": []map[string]any{
		{"service": "portal", "after": []int{}, "bytes": 8000}, {"service": "portal", "after": []int{0}, "bytes": 6000},
	}}
	r.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(version, []map[string]any{
		fleettest.Route("look", "/look/", "idempotent", "api", nil),
		fleettest.Route("book", "/book/", "non_idempotent", "api", nil),
		fleettest.Route("plain", "/stream/plain/", "streaming", "llm", nil),
		fleettest.Route("staged", "/stream/staged/", "streaming", "llm", stages),
	}, []map[string]any{fleettest.Service("api"), fleettest.EngineService("llm"), fleettest.StageService("portal")},
		map[string][]string{"org": {soakKey, fmt.Sprintf("key-of-%d", version)}}))
}

func (r *run) addEntry(i int) error {
	e := &entry{name: fmt.Sprintf("entry-%d", i), front: fleettest.FreeAddress(), health: fleettest.FreeAddress()}
	e.settings = filepath.Join(r.dir, e.name+".conf")
	peersAt := fleettest.FreeAddress()
	text := fmt.Sprintf("node=%s\nzone=dc-%d\nregion=r\nzones.dc-0=r\nzones.dc-1=r\nlisten.front=%s\nlisten.readyAddr=%s\nlisten.control=%s\n"+
		"limits.cpuShare=0.3\nprovider.address=%s\nbounds.graceS=%d\nbounds.retryBudgetRatio=0.2\nbounds.budgetSlack=54\nheartbeatMs=1200\n",
		e.name, i%dataCentres, e.front, e.health, peersAt, r.storeP.address(), int(grace/time.Second))
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return Error.Wrap(err)
	}
	r.entries = append(r.entries, e)
	return r.spawn(e)
}

// spawn starts an entry's process.
func (r *run) spawn(e *entry) error {
	cmd := exec.Command(r.o.Gateway, "--settings", e.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = io.Discard, io.Discard
	if r.o.LogDir != "" {
		if err := os.MkdirAll(r.o.LogDir, 0o700); err != nil {
			return Error.Wrap(err)
		}
		f, err := os.OpenFile(filepath.Join(r.o.LogDir, fmt.Sprintf("%d-%s.log", r.o.Seed, e.name)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return Error.Wrap(err)
		}
		cmd.Stdout, cmd.Stderr = f, f
	}
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	done := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.done, e.ending = cmd, done, time.Time{}
	e.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended is judged by what callers see
		close(done)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(s) // it may have ended
	}
}

// ended is closed when the entry's process has ended; nil if none was started.
func (e *entry) ended() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// wound notes a fault on an entry itself, which may cut requests.
func (e *entry) wound(w bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wounded = w
}

func (e *entry) isWounded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wounded
}

func (r *run) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}
