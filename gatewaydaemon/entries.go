package gatewaydaemon

import (
	"context"
	"encoding/json"
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

// entrySpec is an entry's object in the store.
type entrySpec struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	CPU        float64 `json:"cpu"`
}

// followEntries announces this entry, again if it is missing from the list, and
// finds the others, also those that start later.
func (d *daemon) followEntries(ctx context.Context) {
	announced := false
	delay := time.Duration(0)
	for first := true; ctx.Err() == nil; first = false {
		if !sleep(ctx, delay) {
			return
		}
		delay = d.listEvery
		if !announced && !d.stopping.Load() {
			announced = d.announce(ctx)
		}
		listed, own := d.listEntries(ctx, !first)
		if !announced || !listed {
			delay = time.Second
		}
		if listed && !own && !first {
			// Others took this entry for dead while they did not reach it.
			announced = false
		}
	}
}

func (d *daemon) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := d.store.Put(ctx, fleet.KindEntries, d.settings.Name, entrySpec{
		Address: d.settings.PeerAddress, DataCentre: d.settings.DataCentre, CPU: d.settings.CPUShare,
	})
	if err != nil {
		d.logger.Warn("entry not announced", "error", err)
	}
	return err == nil
}

// entryForgotten removes the object of an entry that was not reached for long:
// nothing else would, and the dead would take the places of hubs. One that
// lives announces itself again when it misses its own object.
func (d *daemon) entryForgotten(address string) {
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
		d.logger.Info("entry removed that was not reached for long", "entry", m.Name, "address", address, "error", err)
		return
	}
}

// listEntries takes the list of entries, and reports whether it was read and
// whether this entry is in it.
func (d *daemon) listEntries(ctx context.Context, stale bool) (listed, own bool) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	changes, err := d.store.List(callCtx, fleet.KindEntries, stale)
	if err != nil {
		d.logger.Warn("entries not listed", "error", err)
		return false, false
	}
	var members []peers.Member
	for _, o := range changes.Objects {
		var spec entrySpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			d.logger.Warn("entry's object not read", "entry", o.Name, "error", err)
			continue
		}
		own = own || o.Name == d.settings.Name
		members = append(members, peers.Member{Name: o.Name, Address: spec.Address, DataCentre: spec.DataCentre, CPU: spec.CPU})
	}
	d.members.Store(&members)
	d.mesh.SetMembers(ctx, members)
	d.listOnce.Do(func() { close(d.listed) })
	d.peersChanged()
	return true, own
}

const (
	// listPatience is how long a starting entry waits for the list of entries
	// before it asks for everything else.
	listPatience = 300 * time.Millisecond
	// hubPatience is how long it then leaves the asking to the hubs: several
	// hundred entries that start at once would wait for each other's reads for
	// longer, as the store bounds the reads of all.
	hubPatience = 3 * time.Second
)

// waitsForHubs reports whether this entry, which knows nothing yet, leaves the
// asking to the hubs of a large deployment.
func (d *daemon) waitsForHubs() bool {
	up := time.Since(d.started)
	select {
	case <-d.listed:
		return up < hubPatience && d.mesh.IsSpoke()
	default:
		return up < listPatience
	}
}

// stages has jobs done by the entry that dispatches.
type stages struct {
	self  peers.Identity
	mesh  *peers.Mesh
	local *coordinate.Coordinator
}

// maxDispatchers bounds the entries that are asked to dispatch one job.
const maxDispatchers = 4

// Submit implements gateway.Stages.
func (s *stages) Submit(ctx context.Context, j dispatch.Job, subject string) (peers.Outcome, gateway.StageResults, error) {
	excluded := make(map[string]bool)
	lost := make(map[string]int)
	var made results
	for range maxDispatchers {
		link := s.mesh.Dispatcher(ctx, excluded)
		j.PriorResults = made.soFar()
		if link == nil {
			return s.submitLocal(ctx, j, subject)
		}
		o, err := link.Submit(ctx, peers.NewJob(time.Now(), j, subject, s.self), made.add)
		o.Dispatcher = link.Peer.Name
		if err == nil {
			if o.Refused {
				// Nobody else knows of what was made before.
				s.local.FreeHandles(handlesOf(j.PriorResults))
			}
			return o, linkTicket{link: link, id: j.ID, handles: o.Handles, local: s.local}, nil
		}
		if ctx.Err() != nil {
			go link.Cancel(j.ID)
			return o, nil, err
		}
		// The same entry keeps the job for a moment if only the link was lost.
		if lost[link.Peer.Name]++; lost[link.Peer.Name] > 1 {
			excluded[link.Peer.Name] = true
		}
	}
	return s.submitLocal(ctx, j, subject)
}

func (s *stages) submitLocal(ctx context.Context, j dispatch.Job, subject string) (peers.Outcome, gateway.StageResults, error) {
	o := s.local.Submit(ctx, peers.NewJob(time.Now(), j, subject, s.self), func([]dispatch.StageResults) {})
	o.Dispatcher = s.self.Name
	if o.Refused {
		s.local.FreeHandles(handlesOf(j.PriorResults))
	}
	if ctx.Err() != nil {
		s.local.Cancel(j.ID)
	}
	return o, localTicket{jobs: s.local, id: j.ID}, ctx.Err()
}

// results collects what was made for one job.
type results struct {
	mu   sync.Mutex
	made []dispatch.StageResults
}

func (r *results) add(made []dispatch.StageResults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made = append(r.made, made...)
}

func (r *results) soFar() []dispatch.StageResults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.made)
}

func handlesOf(made []dispatch.StageResults) []string {
	var handles []string
	for _, m := range made {
		handles = append(handles, m.Handles...)
	}
	return handles
}

type linkTicket struct {
	link    *peers.Link
	id      string
	handles []string
	local   *coordinate.Coordinator
}

// Release implements gateway.Ticket.
func (t linkTicket) Release(engineFailed bool) {
	go func() {
		if !t.link.Release(t.id, engineFailed) {
			// Nobody else knows of the results any more.
			t.local.FreeHandles(t.handles)
		}
	}()
}

type localTicket struct {
	jobs peers.JobHandler
	id   string
}

// Release implements gateway.Ticket.
func (t localTicket) Release(engineFailed bool) { t.jobs.Release(t.id, engineFailed) }

// rankAmong returns the place of self among the names, by rendezvous hashing
// for each endpoint.
func rankAmong(self string, names []string) func(endpoint string) int {
	others := append([]string(nil), names...)
	sort.Strings(others)
	return func(endpoint string) int {
		own := xxhash.Sum64String(endpoint + "/" + self)
		rank := 0
		for _, n := range others {
			if n != self && xxhash.Sum64String(endpoint+"/"+n) > own {
				rank++
			}
		}
		return rank
	}
}

// listen opens a listener whose connections fail when the peer stays silent.
func listen(ctx context.Context, address string) (net.Listener, error) {
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
