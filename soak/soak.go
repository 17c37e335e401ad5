// Package soak runs gateways as real processes against stand-ins for the platform and the
// endpoints, injects a seeded schedule of overlapping faults, and checks invariants on what clients
// and endpoints see. It stops only processes that it started.
package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	gracePeriod = 8 * time.Second
	// recoveryTimeout is the time after the last fault within which every entry must serve again.
	recoveryTimeout = 6 * time.Second
	// startTimeout is the time within which the entries must become ready.
	startTimeout = 20 * time.Second
	// memoryLimitMB is the limit of a process's memory that the settings give, in MiB.
	memoryLimitMB = 184
	// memoryInterval is the interval at which the memory of processes is read.
	memoryInterval = 50 * time.Millisecond
	// clientsPerEntry is the number of clients of each entry, each with its own connections.
	clientsPerEntry = 4
)

// Options configures a run.
type Options struct {
	// Gateway is the path of the azurelead-gateway program.
	Gateway string
	Seed    uint64
	// Entries is the number of gateway processes to start.
	Entries int
	// Duration is the period within which faults are started. A fault may end after it.
	Duration time.Duration
	// Settle is the time for which the entries run before a second version of a service is listed beside a paused entry,
	// which precedes the other faults; 0 leaves that out. After origin.TTL entries rely on what they know of versions.
	Settle time.Duration
	// PlannedOnly limits the faults to planned work and silence of sound endpoints. Every request must then get a
	// complete answer.
	PlannedOnly bool
	// Rollout makes each run play the roll-out of a version, good or bad, beside the other faults.
	Rollout bool
	// LogDir is the directory for the processes' logs; if it is empty, they are discarded.
	LogDir string
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Refused  int
	Failed   int
	// Statuses counts the responses by kind and status; status 0 is no response.
	Statuses map[string]int
	// Resumptions counts the further attempts by which clients resumed broken streams, Continued those of
	// them that yielded events.
	Resumptions, Continued int
	// Crashes counts the engines that crashed beside repeated sound requests, SoundRefused those of the
	// SoundAsked ones that were refused as their cause.
	Crashes, SoundRefused, SoundAsked int
	// PeakMB is the largest peak of a gateway process's memory, in MiB.
	PeakMB int
	// Rollout describes the roll-out; empty if none was played.
	Rollout string
	// Faults lists the scheduled faults with their start times and durations.
	Faults []string
	// Violations describes the invariant violations that were found.
	Violations []string
}

// run is the state of a run in progress.
type run struct {
	o          Options
	rng        *rand.Rand
	dir        string
	store      *fleettest.Store
	proxies    []*proxy
	storeProxy *proxy
	servers    []*fleettest.Server
	// endpointSpecs are the specs of the servers in the store, in the order of servers.
	endpointSpecs []map[string]any
	entries       []*entry
	// strained are the endpoints of the services of the strain.
	strained []*fleettest.Server
	rollout  rollout
	// upgraded are the engines of the service that gets a second version.
	upgraded []*fleettest.Server
	// addedRoutes is the number of routes beside those that clients use.
	addedRoutes atomic.Int64
	// timeoutMS is the time-out of routes, in milliseconds.
	timeoutMS atomic.Int64
	// configMu is held while a configuration is stored, so that versions are stored in their order. It guards planned.
	configMu sync.Mutex
	planned  planned
	// disruptions counts the faults that stop or pause an entry.
	disruptions atomic.Int64
	// limitMu is held while an endpoint states a rate limit, so that no other fault ends it.
	limitMu sync.Mutex
	// silenceMu is held while endpoints are silent, and some time longer.
	silenceMu sync.Mutex

	mu     sync.Mutex
	report Report
	// peaks are the largest peaks of the memory of entries' processes, in MiB.
	peaks         map[*entry]int
	responses     []response
	configVersion int
}

// entry is one gateway process.
type entry struct {
	name, clientAddress, readyAddress, settingsFile string

	// faultMu is held during a fault on the process, so that two faults do not restart it at the
	// same time.
	faultMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// sent holds the process to which a signal was last sent.
	sent    map[syscall.Signal]*exec.Cmd
	done    chan struct{}
	endTime time.Time
	// terms are the times at which processes were sent SIGTERM.
	terms     []time.Time
	disrupted bool
	// disturbed is set during a fault on the process, calmSince is when the last one ended.
	disturbed bool
	calmSince time.Time
}

// Run runs the fault schedule of one seed and reports what was seen.
func Run(ctx context.Context, o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "azurelead-soak")
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), dir: dir, store: fleettest.NewStore(), peaks: make(map[*entry]int), report: Report{Seed: o.Seed, Statuses: make(map[string]int)}}
	r.setRouteTimeout(routeTimeoutFactor)
	defer r.close()
	if err := r.start(ctx); err != nil {
		return r.report, err
	}
	if r.o.Settle > 0 {
		time.Sleep(r.o.Settle)
		r.releaseBesidePausedEntry(ctx)
	}
	r.injectFaults(ctx)
	if r.o.Rollout {
		r.checkRollout(ctx)
	}
	r.checkMemory()
	r.checkInvariants()
	return r.report, nil
}

func (r *run) close() {
	for _, e := range r.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		if done := e.exited(); done != nil {
			<-done
		}
	}
	for _, p := range r.proxies {
		p.close()
	}
	for _, s := range slices.Concat(r.servers, r.strained, r.upgraded, r.rollout.servers) {
		s.Close()
	}
	r.store.Close()
}

// serviceSize is a service and the number of its endpoints.
type serviceSize struct {
	name  string
	count int
}

// endpointServices lists the services that have endpoints from the start.
var endpointServices = []serviceSize{{"api", 3}, {"llm", 4}, {"portal", 2}}

// lateService is a service whose endpoint is registered after the last fault.
const lateService = "late"

// engineVersions are the software versions of the engines, which serve side by side.
var engineVersions = []string{"v1", "v2"}

func (r *run) start(ctx context.Context) error {
	p, err := newProxy(r.store.Address())
	if err != nil {
		return err
	}
	r.storeProxy = p
	r.proxies = append(r.proxies, p)
	services := endpointServices
	if r.o.PlannedOnly {
		services = append(slices.Clone(services), plannedServices...)
	}
	for _, s := range services {
		for range s.count {
			if err := r.addEndpoint(s.name); err != nil {
				return err
			}
		}
	}
	r.addStrained()
	if r.o.Settle > 0 {
		r.addUpgraded(engineVersions[0])
	}
	if r.o.Rollout {
		r.addVersion("v1", &r.rollout.earlier, false)
	}
	r.putConfiguration()
	for i := range r.o.Entries {
		if err := r.addEntry(i); err != nil {
			return err
		}
	}
	return r.awaitReady(ctx)
}

// addEndpoint starts an endpoint behind a proxy and registers it in the store.
func (r *run) addEndpoint(service string) error {
	s := fleettest.NewServer(fmt.Sprintf("%s-%d-%d", service, r.o.Seed, len(r.servers)))
	p, err := newProxy(s.Address())
	if err != nil {
		return err
	}
	s.SetStream(streamEvents, r.eventGap())
	if r.o.PlannedOnly {
		s.SetWorkTime(plannedWorkTime)
	}
	if service == "llm" {
		s.SetVersion(engineVersions[len(r.servers)%len(engineVersions)])
	}
	if service == "portal" && r.o.Seed%2 == 0 {
		s.SetUnnamed()
	}
	r.servers, r.proxies = append(r.servers, s), append(r.proxies, p)
	s.SetListedAddress(p.address())
	spec := s.EndpointSpec(service, fmt.Sprintf("dc-%d", len(r.servers)%dataCentres))
	r.endpointSpecs = append(r.endpointSpecs, spec)
	r.store.Put(fleet.KindEndpoints, s.ID, spec)
	return nil
}

// twoStages returns the fields of a resumable route with two stages at a service.
func twoStages(service string) map[string]any {
	return map[string]any{"resumable": true, "stages": []map[string]any{
		{"service": service, "after": []int{}, "bytes": 8000}, {"service": service, "after": []int{0}, "bytes": 6000},
	}}
}

// warmEngineService returns the declaration of a service of engines that are not cold after their start.
func warmEngineService(name string) map[string]any {
	service := fleettest.EngineService(name)
	service["coldStartS"], service["coldPerS"] = 0, 0
	return service
}

func (r *run) putConfiguration() {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.mu.Lock()
	r.configVersion++
	version := r.configVersion
	r.mu.Unlock()
	routes := []map[string]any{
		fleettest.Route("look", "/look/", "idempotent", "api", nil),
		fleettest.Route("book", "/book/", "non_idempotent", "api", nil),
		fleettest.Route("plain", "/stream/plain/", "streaming", "llm", nil),
		fleettest.Route("staged", "/stream/staged/", "streaming", "llm", twoStages("portal")),
		fleettest.Route(lateKind.name, "/late/", "idempotent", lateService, nil),
		fleettest.Route("ask", "/stream/ask/", "streaming", "victims", map[string]any{"resumable": true, "sticky": true}),
		fleettest.Route("strained-look", "/strained/look/", "idempotent", strained, nil),
		fleettest.Route("strained-book", "/strained/book/", "non_idempotent", strained, nil),
		fleettest.Route("strained-plain", "/stream/strained/plain/", "streaming", strained, nil),
		fleettest.Route("strained-staged", "/stream/strained/staged/", "streaming", strained, twoStages(strainedStages)),
		fleettest.Route(beside, "/beside/", "idempotent", beside, nil),
		fleettest.Route(rolled, "/rolled/", "idempotent", rolled, nil),
		fleettest.Route(upgraded, "/stream/"+upgraded+"/", "streaming", upgraded, map[string]any{"resumable": true}),
	}
	for i := range r.addedRoutes.Load() {
		routes = append(routes, fleettest.Route(fmt.Sprint("added-", i), fmt.Sprintf("/added/%d/", i), "idempotent", "api", nil))
	}
	for _, route := range routes {
		route["timeoutMs"] = r.timeoutMS.Load()
		if r.o.PlannedOnly {
			route["targetLatencyMs"], route["targetGapMs"] = plannedLatencyTarget.Milliseconds(), plannedGapTarget.Milliseconds()
		}
	}
	services := []map[string]any{fleettest.Service("api"), fleettest.Service(lateService), warmEngineService("victims"), fleettest.EngineService("llm"), fleettest.StageService("portal"),
		fleettest.Service(strained), fleettest.StageService(strainedStages), fleettest.Service(beside), fleettest.Service(rolled), warmEngineService(upgraded)}
	keys := []string{apiKey, fmt.Sprintf("key-of-%d", version)}
	limits := map[string]any{}
	if r.o.PlannedOnly {
		changed := r.planned
		routes, services = append(routes, r.changingRoutes(changed)...), append(services, changed.services()...)
		keys = append(keys, changed.keys()...)
		limits["idleTimeoutMs"] = changed.idleLimit().Milliseconds()
	}
	spec := fleettest.Configuration(version, routes, services, map[string][]string{"org": keys})
	maps.Copy(spec["limits"].(map[string]any), limits)
	r.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, spec)
}

func (r *run) addEntry(i int) error {
	e := &entry{name: fmt.Sprintf("entry-%d", i), sent: make(map[syscall.Signal]*exec.Cmd), clientAddress: fleettest.FreeAddress(), readyAddress: fleettest.FreeAddress()}
	e.settingsFile = filepath.Join(r.dir, e.name+".conf")
	peerAddress := fleettest.FreeAddress()
	text := fmt.Sprintf("node=%s\nzone=dc-%d\nregion=r\nzones.dc-0=r\nzones.dc-1=r\nlisten.front=%s\nlisten.readyAddr=%s\nlisten.control=%s\n"+
		"limits.cpuShare=0.3\nlimits.memoryMb=%d\nprovider.address=%s\nbounds.graceS=%d\nbounds.retryBudgetRatio=0.2\nbounds.budgetSlack=54\nheartbeatMs=1200\n",
		e.name, i%dataCentres, e.clientAddress, e.readyAddress, peerAddress, memoryLimitMB, r.storeProxy.address(), int(gracePeriod/time.Second))
	if r.o.Rollout {
		text += fmt.Sprintf("bounds.exposureShare=%g\nbounds.exposureSlack=%d\nbounds.rollbackMs=5000\n", exposureShare, exposureSlack)
	}
	if err := os.WriteFile(e.settingsFile, []byte(text), 0o600); err != nil {
		return Error.Wrap(err)
	}
	r.entries = append(r.entries, e)
	return r.startProcess(e)
}

// startProcess starts the process of an entry.
func (r *run) startProcess(e *entry) error {
	cmd := exec.Command(r.o.Gateway, "--settings", e.settingsFile)
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
	e.cmd, e.done, e.endTime = cmd, done, time.Time{}
	e.disturbed, e.calmSince = false, time.Now()
	e.mu.Unlock()
	go r.watchMemory(e, cmd, done)
	go func() {
		if err := cmd.Wait(); e.endedByItself(cmd, err) {
			r.recordViolation("a process of %s ended by itself: %v", e.name, err)
		}
		close(done)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		e.sent[s] = e.cmd
		_ = e.cmd.Process.Signal(s) // the process may have exited
	}
}

// endedByItself reports whether a process that ended with err was neither killed nor ended without a failure after it
// was asked to stop.
func (e *entry) endedByItself(cmd *exec.Cmd, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent[syscall.SIGKILL] != cmd && (err != nil || e.sent[syscall.SIGTERM] != cmd)
}

// recordTerm records that the process is sent SIGTERM.
func (e *entry) recordTerm(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.terms = append(e.terms, at)
}

// exited returns a channel that is closed when the entry's process has exited, or nil if no process
// was started.
func (e *entry) exited() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// setDisrupted records whether the current fault kills or pauses the process, which may cut requests.
func (e *entry) setDisrupted(disrupted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disrupted, e.disturbed = disrupted, true
}

// continueProcess continues a paused process.
func (e *entry) continueProcess() {
	e.signal(syscall.SIGCONT)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbed, e.calmSince = false, time.Now()
}

// isCalm reports whether the process has been undisturbed for d.
func (e *entry) isCalm(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.disturbed && time.Since(e.calmSince) > d
}

func (e *entry) isDisrupted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disrupted
}

func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

// watchMemory records the peak of the memory of an entry's process until done is closed.
func (r *run) watchMemory(e *entry, cmd *exec.Cmd, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryInterval):
			peak := peakMemoryMB(cmd.Process.Pid)
			r.mu.Lock()
			r.peaks[e] = max(r.peaks[e], peak)
			r.mu.Unlock()
		}
	}
}

// checkMemory checks that no entry exceeded its memory.
func (r *run) checkMemory() {
	for _, e := range r.entries {
		r.mu.Lock()
		peak := r.peaks[e]
		r.report.PeakMB = max(r.report.PeakMB, peak)
		r.mu.Unlock()
		if peak > memoryLimitMB {
			r.recordViolation("a process of %s took %d MB of memory, allowed %d", e.name, peak, memoryLimitMB)
		}
	}
}

// peakMemoryMB returns the peak of a process's resident memory in MiB, or 0 if the process has exited.
func peakMemoryMB(pid int) (mb int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // fails after the exit
	if _, peak, found := strings.Cut(string(status), "VmHWM:"); found {
		_, _ = fmt.Sscan(peak, &mb) // the kernel writes a number of kB
	}
	return mb >> 10
}
