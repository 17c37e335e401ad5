package gatewaydaemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
)

const (
	// versionRecordName is the name of the only object of fleet.KindVersions.
	versionRecordName = "listed"
	// versionSyncInterval is the interval at which the dispatcher checks whether the record is to be written.
	// Changes of the endpoints are checked at once.
	versionSyncInterval = time.Second
	// versionReadInterval is the interval at which the dispatcher reads the record again: another entry may have
	// written it, and a restored store may have lost it.
	versionReadInterval = 10 * time.Second
	// versionReadWait bounds the time for which a client that resumes a stream waits until an entry that has just
	// started has read the record.
	versionReadWait = 300 * time.Millisecond
)

// versionRecord is the spec of the store object with the versions of services. It has no times, so that clocks of
// machines are not compared: the dispatcher drops a version once it has not been listed for origin.TTL.
type versionRecord struct {
	// Services holds the sorted versions that each service has, or had within origin.TTL.
	Services map[string][]string `json:"services"`
}

// versionHistory keeps the versions that services have had in the store, so that they are known after all entries
// were restarted.
type versionHistory struct {
	store   *fleet.Store
	roster  *roster.Roster
	logger  *slog.Logger
	isSpoke func() bool
	// writes reports whether this entry is the one that writes the record.
	writes func() bool
	// awaitsEntries reports whether the entry does not know yet whether it is a spoke.
	awaitsEntries func() bool
	// read is closed once the record has been read.
	read chan struct{}
	// syncRequests holds a value while the record is to be checked at once.
	syncRequests chan struct{}
	// stored is what the store held at readAt or this entry has written since; nil if it is not known. Only run
	// accesses it.
	stored map[string][]string
	readAt time.Time
}

func newVersionHistory(d *daemon) *versionHistory {
	return &versionHistory{
		store: d.store, roster: d.roster, logger: d.logger, writes: d.dispatching.Load, awaitsEntries: d.awaitsEntryList,
		isSpoke: func() bool { return d.mesh.IsSpoke() }, read: make(chan struct{}), syncRequests: make(chan struct{}, 1),
	}
}

// run reads the record, and then writes it when the versions have changed while this entry is the dispatcher,
// until ctx is done.
func (h *versionHistory) run(ctx context.Context) {
	for h.awaitsEntries() && sleep(ctx, statePollInterval) {
	}
	for !h.restore(ctx) {
		if !sleep(ctx, versionSyncInterval) {
			return
		}
	}
	timer := time.NewTicker(versionSyncInterval)
	defer timer.Stop()
	for {
		h.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.syncRequests:
		}
	}
}

// requestSync makes run check the record at once.
func (h *versionHistory) requestSync() {
	select {
	case h.syncRequests <- struct{}{}:
	default: // a request is already pending
	}
}

// awaitRead waits until the record has been read, for at most versionReadWait.
func (h *versionHistory) awaitRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, versionReadWait)
	defer cancel()
	select {
	case <-h.read:
	case <-ctx.Done():
	}
}

// restore reads the versions that services had before this process started, and reports whether that succeeded.
// A missing record says that no entry has run before. Spokes, of which there are hundreds, read a state that may be
// some seconds old: it can only lack a version that was listed and left within these.
func (h *versionHistory) restore(ctx context.Context) bool {
	recorded, err := h.list(ctx, h.isSpoke())
	if err != nil {
		h.logger.Warn("failed to read the versions of services", "error", err)
		return false
	}
	h.roster.RestoreVersions(time.Now(), origin.TTL, recorded)
	h.logger.Info("versions of services read", "services", recorded)
	close(h.read)
	return true
}

// sync writes the record if this entry is the dispatcher and the versions have changed.
func (h *versionHistory) sync(ctx context.Context) {
	if !h.writes() {
		h.stored = nil
		return
	}
	if h.stored == nil || time.Since(h.readAt) > versionReadInterval {
		stored, err := h.list(ctx, false)
		if err != nil {
			h.logger.Warn("failed to read the versions of services", "error", err)
			return
		}
		h.stored, h.readAt = stored, time.Now()
	}
	recent := h.roster.RecentVersions(time.Now(), origin.TTL)
	if maps.EqualFunc(recent, h.stored, slices.Equal) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := h.store.Put(callCtx, fleet.KindVersions, versionRecordName, versionRecord{Services: recent}); err != nil {
		h.logger.Warn("failed to write the versions of services", "error", err)
		h.stored = nil
		return
	}
	h.logger.Info("versions of services written", "services", recent)
	h.stored = recent
}

// list reads the record. The result is not nil if there is no error.
func (h *versionHistory) list(ctx context.Context, allowStale bool) (map[string][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	changes, err := h.store.List(ctx, fleet.KindVersions, allowStale)
	if err != nil {
		return nil, err
	}
	var record versionRecord
	for _, o := range changes.Objects {
		if o.Name != versionRecordName {
			continue
		}
		if err := json.Unmarshal(o.Spec, &record); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if record.Services == nil {
		return map[string][]string{}, nil
	}
	return record.Services, nil
}
