package gatewaydaemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/azurelead/azurelead/coordinate"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/gateway"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/upstream"
)

// syncEntries announces this entry in the store, again if it is missing from the list, and lists
// the entries at an interval to find those that start later.
func (d *daemon) syncEntries(ctx context.Context) {
	announced := false
	delay := time.Duration(0)
	for first := true; ctx.Err() == nil; first = false {
		requested := d.awaitEntrySync(ctx, delay)
		if ctx.Err() != nil {
			return
		}
		delay = d.listInterval
		if !announced && !d.stopping.Load() {
			announced = d.announce(ctx)
		}
		listed, ownListed := d.listEntries(ctx, !first && !requested)
		if listed && !ownListed && !first {
			// Another entry removed this one because it could not reach it, or the store was
			// restored from a backup made before.
			announced = false
		}
		if !announced || !listed {
			delay = time.Second
		}
	}
}

// awaitEntrySync waits for delay to pass, and reports true if the entries are to be listed sooner.
func (d *daemon) awaitEntrySync(ctx context.Context, delay time.Duration) (requested bool) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.entrySyncRequests:
		return true
	}
	return false
}

// requestEntrySync makes syncEntries list the entries at once.
func (d *daemon) requestEntrySync() {
	select {
	case d.entrySyncRequests <- struct{}{}:
	default: // a request is already pending
	}
}

// announce writes this entry's object to the store and reports whether that succeeded.
func (d *daemon) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := d.store.Put(ctx, fleet.KindEntries, d.settings.Name, fleet.Entry{
		Address: d.settings.PeerAddress, DataCentre: d.settings.DataCentre, CPU: d.settings.CPUShare,
	})
	if err != nil {
		d.logger.Warn("failed to announce this entry in the store", "error", err)
	}
	return err == nil
}

// removeDeadEntry removes the store object of an entry that has been unreachable for a long time.
// Nothing else would remove it, and dead entries would be picked as hubs. A live entry that finds
// its own object missing announces itself again.
func (d *daemon) removeDeadEntry(address string) {
	members := d.members.Load()
	if members == nil || !d.mesh.ReadsStore() {
		return
	}
	for _, m := range *members {
		if m.Address != address {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		err := d.store.Delete(ctx, fleet.KindEntries, m.Name)
		d.logger.Info("removing unreachable entry from the store", "entry", m.Name, "address", address, "error", err)
		return
	}
}

// listEntries reads the list of entries from the store. It reports whether the list was read and
// whether this entry is in it.
func (d *daemon) listEntries(ctx context.Context, allowStale bool) (listed, ownListed bool) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	changes, err := d.store.List(callCtx, fleet.KindEntries, allowStale)
	if err != nil {
		d.logger.Warn("failed to list the entries", "error", err)
		return false, false
	}
	members := d.decodeMembers(changes)
	ownListed = slices.ContainsFunc(members, func(m peers.Member) bool { return m.Name == d.settings.Name })
	d.members.Store(&members)
	d.mesh.SetMembers(ctx, members)
	d.entriesListedOnce.Do(func() { close(d.entriesListed) })
	d.updateShares()
	return true, ownListed
}

// decodeMembers returns the entries that the objects describe. An object that describes none is logged once
// for each of its revisions.
func (d *daemon) decodeMembers(changes fleet.Changes) []peers.Member {
	var members []peers.Member
	malformed := make(map[string]int64)
	report := func(name string, revision int64, err error) {
		malformed[name] = revision
		if known := d.malformedEntries.Load(); known == nil || (*known)[name] != revision {
			d.logger.Warn("failed to decode an entry object", "entry", name, "revision", revision, "error", err)
		}
	}
	for _, o := range changes.Objects {
		e, err := fleet.DecodeEntry(o)
		if err == nil {
			members = append(members, peers.Member{Name: o.Name, Address: e.Address, DataCentre: e.DataCentre, CPU: e.CPU})
			continue
		}
		report(o.Name, o.Revision, err)
	}
	if n := len(changes.Unidentified); n > 0 {
		report("", int64(n), changes.Unidentified[0]) // the number of them stands for a revision
	}
	d.malformedEntries.Store(&malformed)
	return members
}

const (
	// initialListWait is how long a starting entry waits for the list of entries before it reads
	// the other objects from the store.
	initialListWait = 300 * time.Millisecond
	// hubWait is the time after its start for which an entry of a large deployment leaves reading
	// the store to the hubs. If several hundred entries that start together all read the store,
	// they would wait for each other for longer than that, because the store limits the reads of
	// all entries together.
	hubWait = 3 * time.Second
)

// awaitsEntryList reports whether the list of entries, which shows which of them are hubs, has not been read yet
// but may be within initialListWait of the start.
func (d *daemon) awaitsEntryList() bool {
	select {
	case <-d.entriesListed:
		return false
	default:
		return time.Since(d.started) < initialListWait
	}
}

// defersToHubs reports whether this entry, which has no state yet, waits instead of reading the store
// itself: at first for the list of entries, then, in a large deployment, for the hubs to send it
// their state.
func (d *daemon) defersToHubs() bool {
	return d.awaitsEntryList() || time.Since(d.started) < hubWait && d.mesh.IsSpoke()
}

// handOverInterval is the interval at which an entry checks whether it still is the dispatcher. The
// checks after changes of the links find nearly all changes of the election.
const handOverInterval = 250 * time.Millisecond

// watchElection hands over the jobs in progress whenever another entry is elected in place of this one,
// until ctx is done. Its rounds are the beats of the pause detector.
func (d *daemon) watchElection(ctx context.Context) {
	for sleep(ctx, handOverInterval) {
		d.pauses.beat(time.Now())
		d.handOverIfReplaced()
	}
}

// handOverIfReplaced hands over the jobs in progress if another entry has been elected since the last
// call.
func (d *daemon) handOverIfReplaced() {
	dispatches := d.mesh.Dispatches()
	if d.dispatching.Swap(dispatches) && !dispatches {
		d.logger.Info("another entry dispatches now")
		d.coordinator.HandOver()
	}
}

// stageRunner submits jobs to the entry that dispatches stages.
type stageRunner struct {
	self  peers.Identity
	mesh  *peers.Mesh
	local *coordinate.Coordinator
}

// maxSubmissions bounds the number of times that one job is submitted before this entry dispatches it
// itself.
const maxSubmissions = 4

// Submit implements gateway.StageRunner.
func (s *stageRunner) Submit(ctx context.Context, j dispatch.Job, sessionKey string) (peers.Outcome, gateway.JobResults, error) {
	excluded := make(map[string]bool)
	linkFailures := make(map[string]int)
	var collected collectedResults
	for range maxSubmissions {
		link := s.mesh.Dispatcher(ctx, excluded)
		j.PriorResults = collected.snapshot()
		if link == nil {
			outcome, results, err := s.submitLocal(ctx, j, sessionKey, collected.add)
			if outcome.Moved && err == nil {
				continue // another entry was elected meanwhile
			}
			return outcome, results, err
		}
		outcome, err := link.Submit(ctx, peers.NewJob(time.Now(), j, sessionKey, s.self), collected.add)
		outcome.Dispatcher = link.Peer.Name
		switch {
		case err == nil && outcome.Moved:
			continue
		case err == nil:
			if outcome.Refused {
				// Only this entry knows the handles of results made before the refusal.
				s.local.FreeHandles(handlesOf(j.PriorResults))
			}
			return outcome, remoteResults{link: link, id: j.ID, run: j.Run, handles: outcome.Handles, local: s.local}, nil
		case ctx.Err() != nil:
			go link.Cancel(j.ID, j.Run)
			return outcome, nil, err
		}
		// The dispatcher is tried once more, as it keeps the job for a short time if only the link
		// was lost.
		if linkFailures[link.Peer.Name]++; linkFailures[link.Peer.Name] > 1 {
			excluded[link.Peer.Name] = true
		}
	}
	j.PriorResults = collected.snapshot()
	return s.submitLocal(ctx, j, sessionKey, collected.add)
}

// submitLocal submits the job to this entry's own coordinator.
func (s *stageRunner) submitLocal(ctx context.Context, j dispatch.Job, sessionKey string, onResults func([]dispatch.StageResults)) (peers.Outcome, gateway.JobResults, error) {
	outcome := s.local.Submit(ctx, peers.NewJob(time.Now(), j, sessionKey, s.self), onResults)
	outcome.Dispatcher = s.self.Name
	if outcome.Refused {
		s.local.FreeHandles(handlesOf(j.PriorResults))
	}
	if ctx.Err() != nil {
		s.local.Cancel(j.JobID())
	}
	return outcome, localResults{jobs: s.local, id: j.JobID()}, ctx.Err()
}

// collectedResults collects the results that were reported for one job.
type collectedResults struct {
	mu   sync.Mutex
	list []dispatch.StageResults
}

func (r *collectedResults) add(results []dispatch.StageResults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, results...)
}

func (r *collectedResults) snapshot() []dispatch.StageResults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// handlesOf returns the handles of all results.
func handlesOf(results []dispatch.StageResults) []string {
	var handles []string
	for _, r := range results {
		handles = append(handles, r.Handles...)
	}
	return handles
}

// remoteResults are results of a job that another entry dispatched.
type remoteResults struct {
	link    *peers.Link
	id      string
	run     int
	handles []string
	local   *coordinate.Coordinator
}

// InputsRead implements gateway.JobResults.
func (r remoteResults) InputsRead() { go r.link.InputsRead(r.id, r.run) }

// Release implements gateway.JobResults.
func (r remoteResults) Release(report dispatch.EngineReport) {
	go func() {
		if !r.link.Release(r.id, r.run, report) {
			// The link is lost, so only this entry still knows the handles.
			r.local.FreeHandles(r.handles)
		}
	}()
}

// localResults are results of a job that this entry dispatched.
type localResults struct {
	jobs peers.JobHandler
	// id is that of the job, not of the request.
	id string
}

// InputsRead implements gateway.JobResults.
func (r localResults) InputsRead() { r.jobs.InputsRead(r.id) }

// Release implements gateway.JobResults.
func (r localResults) Release(report dispatch.EngineReport) { r.jobs.Release(r.id, report) }

// rankFunc returns a function that gives the rank of self among the names for an endpoint, by
// rendezvous hashing.
func rankFunc(self string, names []string) func(endpoint string) int {
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	return func(endpoint string) int {
		own := xxhash.Sum64String(endpoint + "/" + self)
		rank := 0
		for _, n := range sorted {
			if n != self && xxhash.Sum64String(endpoint+"/"+n) > own {
				rank++
			}
		}
		return rank
	}
}

// listenTCP opens a listener whose connections fail when the peer stops responding.
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	dialer := upstream.Dialer(0, upstream.DefaultTCPUserTimeout)
	lc := net.ListenConfig{KeepAliveConfig: dialer.KeepAliveConfig, Control: dialer.Control}
	l, err := lc.Listen(ctx, "tcp", address)
	return l, Error.Wrap(err)
}

func metricsHandler(reg *prometheus.Registry) http.Handler {
	m := http.NewServeMux()
	m.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{DisableCompression: true}))
	return m
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
