package gatewaydaemon

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
)

const (
	// originPassInterval is the interval at which an entry passes the origins of its new streams to the dispatcher,
	// largeOriginPassInterval the one in a deployment with hubs: hundreds of entries pass theirs to one.
	originPassInterval      = 30 * time.Millisecond
	largeOriginPassInterval = time.Second
	// originWriteInterval is the shortest time between two writes of origins. A stream whose entry and holders end
	// before its origin is written is ambiguous, so it is a fraction of the time for which the shortest streams run.
	originWriteInterval = 100 * time.Millisecond
	// maxPendingOrigins bounds the origins that wait to be passed or written.
	maxPendingOrigins = 8192
	// recallInterval is the shortest time between two reads of the origins in the store. recallWait bounds the time
	// for which a client waits for one.
	recallInterval = time.Second
	recallWait     = 400 * time.Millisecond
	// recallTimeout bounds a read of all origins, whose pages make progress each.
	recallTimeout = 5 * time.Second
)

// originRecord is the spec of a store object with the origins of streams: the keys of attempts by service
// and version. An object is never changed, and is deleted after origin.TTL.
type originRecord struct {
	Services map[string]map[string][]string `json:"services"`
}

// newOriginRecord returns the record of some origins.
func newOriginRecord(list []origin.Record) originRecord {
	o := originRecord{Services: make(map[string]map[string][]string)}
	for _, r := range list {
		if o.Services[r.Service] == nil {
			o.Services[r.Service] = make(map[string][]string)
		}
		o.Services[r.Service][r.Version] = append(o.Services[r.Service][r.Version], r.Key)
	}
	return o
}

// origins returns the origins of a record.
func (o originRecord) origins() []origin.Record {
	var list []origin.Record
	for service, versions := range o.Services {
		for version, keys := range versions {
			for _, key := range keys {
				list = append(list, origin.Record{Key: key, Service: service, Version: version})
			}
		}
	}
	return list
}

// originRecords keeps the announced origins of streams in the store, so that they are known after all entries were
// restarted. Entries pass theirs to the dispatcher, which writes those of all entries in one object.
type originRecords struct {
	store  *fleet.Store
	table  *origin.Table
	logger *slog.Logger
	// dispatcher returns a link to the dispatcher; nil if that is this entry.
	dispatcher func(ctx context.Context) *peers.Link
	dispatches func() bool
	usesHubs   func() bool
	// prefix begins the names of the objects that this process writes.
	prefix string

	mu sync.Mutex
	// unpassed are origins that wait to be passed to the dispatcher, unwritten those that wait to be written.
	unpassed, unwritten []origin.Record
	// reading is closed when the current read of the store ends; nil if there is none. readAt is when the
	// last one began.
	reading chan struct{}
	readAt  time.Time
	// expiries holds the times at which objects are to be deleted, by name.
	expiries map[string]time.Time

	// writes counts the writes, of which the last began at writtenAt. Only run accesses them.
	writes    int
	writtenAt time.Time
	// adopted is set once the dispatcher has added the objects that former dispatchers have left to expiries. Only
	// clean accesses it.
	adopted bool
}

func newOriginRecords(d *daemon) *originRecords {
	return &originRecords{
		store: d.store, table: d.origins.table, logger: d.logger, dispatches: d.dispatching.Load, expiries: make(map[string]time.Time),
		usesHubs:   func() bool { return d.mesh.UsesHubs() },
		dispatcher: func(ctx context.Context) *peers.Link { return d.mesh.Dispatcher(ctx, nil) },
		prefix:     d.settings.Name + "-" + rand.Text(),
	}
}

// add adds origins of this entry's streams.
func (o *originRecords) add(list []origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unpassed = o.appendBounded(o.unpassed, list)
}

// take adds origins that this entry is to write.
func (o *originRecords) take(list []origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unwritten = o.appendBounded(o.unwritten, list)
}

func (o *originRecords) appendBounded(pending, list []origin.Record) []origin.Record {
	if room := maxPendingOrigins - len(pending); len(list) > room {
		o.logger.Warn("origins of streams are not written to the store", "streams", len(list)-room)
		list = list[:room]
	}
	return append(pending, list...)
}

// run passes and writes origins until ctx is done.
func (o *originRecords) run(ctx context.Context) {
	for sleep(ctx, o.passInterval()) {
		o.pass(ctx)
		if time.Since(o.writtenAt) >= originWriteInterval {
			o.write(ctx)
		}
	}
}

func (o *originRecords) passInterval() time.Duration {
	if o.usesHubs() {
		return largeOriginPassInterval
	}
	return originPassInterval
}

// pass passes the origins of this entry's new streams to the dispatcher. If it does not take them, this entry
// writes them itself.
func (o *originRecords) pass(ctx context.Context) {
	o.mu.Lock()
	list := o.unpassed
	o.unpassed = nil
	o.mu.Unlock()
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if link := o.dispatcher(ctx); link != nil {
		err := link.StoreOrigins(ctx, list)
		if err == nil {
			return
		}
		o.logger.Warn("the dispatcher does not take origins of streams", "dispatcher", link.Peer.Name, "streams", len(list), "error", err)
	}
	o.take(list)
}

// write writes the origins that wait for it. After a failure they wait for the next call, which writes another
// object: a write that was not answered may be executed later.
func (o *originRecords) write(ctx context.Context) {
	o.mu.Lock()
	list := o.unwritten
	o.unwritten = nil
	o.mu.Unlock()
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o.writtenAt = time.Now()
	name := fmt.Sprintf("%s-%d", o.prefix, o.writes)
	o.writes++
	o.expireLater(name)
	if err := o.store.Put(ctx, fleet.KindOrigins, name, newOriginRecord(list)); err != nil {
		o.logger.Warn("failed to write the origins of streams", "streams", len(list), "error", err)
		o.take(list)
	}
}

// expireLater makes an object be deleted after origin.TTL, unless that is planned already.
func (o *originRecords) expireLater(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, planned := o.expiries[name]; !planned {
		o.expiries[name] = time.Now().Add(origin.TTL)
	}
}

// originCleanInterval is the interval at which old objects are deleted.
const originCleanInterval = time.Second

// clean deletes old objects until ctx is done: those of this process and, while this entry is the dispatcher, those
// that former dispatchers have left.
func (o *originRecords) clean(ctx context.Context) {
	for sleep(ctx, originCleanInterval) {
		switch {
		case !o.dispatches():
			o.adopted = false
		case !o.adopted:
			o.adopted = o.adopt(ctx)
		}
		o.deleteExpired(ctx, time.Now())
	}
}

// adopt plans the deletion of all objects and reports whether they could be listed.
func (o *originRecords) adopt(ctx context.Context) bool {
	changes, err := o.list(ctx)
	if err != nil {
		o.logger.Warn("failed to list the origins of streams", "error", err)
		return false
	}
	for _, object := range changes.Objects {
		o.expireLater(object.Name)
	}
	return true
}

// deleteExpired deletes the objects that have expired. One that cannot be deleted is left to the next dispatcher.
func (o *originRecords) deleteExpired(ctx context.Context, now time.Time) {
	for _, name := range o.takeExpired(now) {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		if err := o.store.Delete(callCtx, fleet.KindOrigins, name); err != nil {
			o.logger.Info("origins of streams were not deleted", "object", name, "error", err)
		}
		cancel()
	}
}

// takeExpired removes the objects that have expired from the plan, and returns their names.
func (o *originRecords) takeExpired(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name, at := range o.expiries {
		if !now.Before(at) {
			names = append(names, name)
			delete(o.expiries, name)
		}
	}
	return names
}

func (o *originRecords) list(ctx context.Context) (fleet.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	return o.store.List(ctx, fleet.KindOrigins, false)
}

// recall reads the origins in the store into the table, unless that was done within recallInterval, and waits for it
// for at most recallWait.
func (o *originRecords) recall(ctx context.Context) {
	reading := o.beginRecall()
	if reading == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recallWait)
	defer cancel()
	select {
	case <-reading:
	case <-ctx.Done():
	}
}

// beginRecall begins a read of the store if one is due. It returns a channel that is closed when the current one ends;
// nil if there is none.
func (o *originRecords) beginRecall() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reading == nil && time.Since(o.readAt) >= recallInterval {
		o.reading, o.readAt = make(chan struct{}), time.Now()
		go o.read(o.reading)
	}
	return o.reading
}

// read merges the origins in the store into the table.
func (o *originRecords) read(done chan struct{}) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.reading = nil
		close(done)
	}()
	changes, err := o.list(context.Background())
	if err != nil {
		o.logger.Warn("failed to read the origins of streams", "error", err)
		return
	}
	streams := 0
	for _, object := range changes.Objects {
		var record originRecord
		if err := json.Unmarshal(object.Spec, &record); err != nil {
			o.logger.Warn("failed to decode origins of streams", "object", object.Name, "error", err)
			continue
		}
		list := record.origins()
		streams += len(list)
		o.table.Merge(time.Now(), list)
	}
	o.logger.Info("origins of streams read", "objects", len(changes.Objects), "streams", streams)
}
