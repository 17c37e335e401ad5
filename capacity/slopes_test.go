package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/membership"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/standin"
	"github.com/azurelead/azurelead/suspect"
)

// report reports a benchmark metric and records it for TestMain.
func report(b *testing.B, unit string, v float64) {
	b.Helper()
	b.ReportMetric(v, unit)
	measurements[b.Name()+" "+unit] = v
}

// measurements holds the latest reported values by benchmark and unit.
var measurements = map[string]float64{}

// instances returns the agents and entries of a fleet.
func instances(size FleetSize) []platform.Instance {
	var out []platform.Instance
	for i := range size.Agents {
		out = append(out, platform.Instance{
			Name: fmt.Sprintf("agent-%04d", i), Pool: fmt.Sprintf("pool-%02d", i/size.DataCentres%size.Pools), Kind: pipeline.Generate,
			DataCentre: fmt.Sprintf("dc-%02d", i%size.DataCentres), AgentAddress: fmt.Sprintf("10.0.%d.%d:7400", i/256, i%256), State: platform.Live,
		})
	}
	for i := range size.Entries {
		out = append(out, platform.Instance{
			Name: fmt.Sprintf("entry-%03d", i), Pool: membership.EntryPool,
			DataCentre: fmt.Sprintf("dc-%02d", i%size.DataCentres), AgentAddress: fmt.Sprintf("10.1.%d.%d:7400", i/256, i%256), State: platform.Live,
		})
	}
	return out
}

// Default subset sizes of an entry, within its data centre and outside it.
const (
	localSubsetSize  = 4
	remoteSubsetSize = 1
)

// inFirstRegion reports whether a data centre is in the first of the target's five
// regions.
func inFirstRegion(dataCentre string) bool { return dataCentre < "dc-04" }

// BenchmarkTargets selects the links of an entry at the target's size, and reports
// their number and the time of one selection.
func BenchmarkTargets(b *testing.B) {
	list, table := instances(Target), membership.NewTable()
	var targets []platform.Instance
	for b.Loop() {
		table.Update(list)
		targets = table.Targets(time.Now(), membership.TargetOptions{
			Self: "entry-001", DataCentre: "dc-01", InRegion: inFirstRegion, LocalSize: localSubsetSize, RemoteSize: remoteSubsetSize,
		})
	}
	report(b, "links/entry", float64(len(targets)))
	report(b, "ns", float64(b.Elapsed().Nanoseconds())/float64(b.N))
}

// serveInstanceList serves the target's instance list, and returns a client of it, the
// listener that counts its bytes and the store behind it.
func serveInstanceList(b *testing.B) (*platform.Client, *countingListener, *platform.Memory) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c, p := &countingListener{Listener: l}, standin.NewPlatform(standin.PlatformOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = p.Serve(ctx, c) }()
	p.Memory().SetInstances(instances(Target))
	client, err := platform.NewClient(platform.ClientOptions{URL: "http://" + l.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(client.Close)
	return client, c, p.Memory()
}

// BenchmarkListUnchanged reads an unchanged instance list.
func BenchmarkListUnchanged(b *testing.B) {
	client, l, _ := serveInstanceList(b)
	if _, err := client.Instances(context.Background()); err != nil {
		b.Fatal(err)
	}
	bytes, cpu, n := l.bytes.Load(), cpuTime(), 0
	for b.Loop() {
		if _, err := client.Instances(context.Background()); err != nil {
			b.Fatal(err)
		}
		n++
	}
	report(b, "cpu-ns/read", float64(cpuTime()-cpu)/float64(n))
	report(b, "B/read", float64(l.bytes.Load()-bytes)/float64(n))
}

// BenchmarkListChanged reads the whole instance list after each change of one
// instance.
func BenchmarkListChanged(b *testing.B) {
	client, l, memory := serveInstanceList(b)
	list := instances(Target)
	bytes, cpu, n := l.bytes.Load(), cpuTime(), 0
	for b.Loop() {
		n++
		list[n%len(list)].AgentAddress = fmt.Sprintf("10.2.0.1:%d", 1024+n%60000)
		memory.SetInstances(list)
		if _, err := client.Instances(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	report(b, "cpu-ns/read", float64(cpuTime()-cpu)/float64(n))
	report(b, "B/read", float64(l.bytes.Load()-bytes)/float64(n))
}

// BenchmarkOwnInstance reads a single instance, as an agent reads its own.
func BenchmarkOwnInstance(b *testing.B) {
	client, l, _ := serveInstanceList(b)
	bytes, cpu, n := l.bytes.Load(), cpuTime(), 0
	for b.Loop() {
		if _, err := client.Instance(context.Background(), "agent-0500"); err != nil {
			b.Fatal(err)
		}
		n++
	}
	report(b, "cpu-ns/read", float64(cpuTime()-cpu)/float64(n))
	report(b, "B/read", float64(l.bytes.Load()-bytes)/float64(n))
}

// settingsDocument returns a settings document with the given number of organisations.
func settingsDocument(organisations int) settings.Document {
	deadline := settings.Duration(4 * time.Second)
	d := settings.Document{
		Pipelines: map[string]settings.Pipeline{}, Organisations: map[string]settings.Organisation{},
		DataCentres: map[string]settings.DataCentre{},
	}
	for p := range 8 {
		var stages []settings.Stage
		for k, kind := range pipeline.Kinds[:4] {
			stages = append(stages, settings.Stage{Name: string(kind), Kind: kind, Pool: fmt.Sprintf("pool-%02d", k)})
		}
		d.Pipelines[fmt.Sprintf("pipeline-%d", p)] = settings.Pipeline{Stages: stages}
	}
	for dc := range Target.DataCentres {
		d.DataCentres[fmt.Sprintf("dc-%02d", dc)] = settings.DataCentre{Region: fmt.Sprintf("region-%d", dc%5)}
	}
	for o := range organisations {
		name := fmt.Sprintf("organisation-%03d", o)
		tokens := []string{settings.TokenDigest(name + "a"), settings.TokenDigest(name + "b")}
		d.Organisations[name] = settings.Organisation{
			TokenSHA256: tokens, Weight: 10, Request: settings.RequestOverrides{MaxDeadline: &deadline},
		}
	}
	return d
}

// acceptChange submits an edit of the settings and returns a follower at the new
// version.
func acceptChange(b *testing.B, store platform.Store, id string, edit settings.EditFunc) *settings.Follower {
	b.Helper()
	o := settings.Accept(context.Background(), store, 0, edit, settings.ChangeID(id), "operator")
	if o.State != settings.Accepted {
		b.Fatal(o.State, o.Err)
	}
	f, err := o.Tree.Follower()
	if err != nil {
		b.Fatal(err)
	}
	return f
}

func replaceDocument(organisations int) settings.EditFunc {
	return func(settings.Document) (settings.Document, error) { return settingsDocument(organisations), nil }
}

// BenchmarkSettingsMemory reports the memory of one organisation in a follower.
func BenchmarkSettingsMemory(b *testing.B) {
	small := acceptChange(b, platform.NewMemory(platform.MemoryOptions{}), "small", replaceDocument(10))
	before := memoryInUse()
	large := acceptChange(b, platform.NewMemory(platform.MemoryOptions{}), "large", replaceDocument(Target.Organisations))
	used := memoryInUse() - before
	// The in-memory store holds a second copy of each value, which a daemon does
	// not have.
	for b.Loop() {
		_ = small.Version() + large.Version()
	}
	report(b, "B/organisation", used/float64(Target.Organisations))
}

// BenchmarkSettingsChange transfers changes of one organisation to a follower with
// an outdated version, at the target's number of organisations, and reports their
// size and CPU time.
func BenchmarkSettingsChange(b *testing.B) {
	store := platform.NewMemory(platform.MemoryOptions{})
	source := acceptChange(b, store, "first", replaceDocument(Target.Organisations))
	receiver := settings.NewFollower(settings.FollowerOptions{Store: unavailableStore{}, Candidates: func() []string { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go receiver.Run(ctx)
	transfer := func() int {
		size := 0
		receiver.ObserveVersion(source.Version(), func(_ context.Context, have settings.Version) (link.SettingsResult, error) {
			r, err := source.ChangesSince(have)
			size = len(r.Delta)
			return r, err
		})
		for receiver.Version() < source.Version() {
			time.Sleep(50 * time.Microsecond)
		}
		return size
	}
	size, n := 0, 0
	treeBytes := transfer()
	var spent time.Duration
	for b.Loop() {
		n++
		b.StopTimer()
		source = acceptChange(b, store, fmt.Sprint("change", n), func(d settings.Document) (settings.Document, error) {
			o := d.Organisations["organisation-007"]
			o.Weight = 1 + n%1000
			d.Organisations["organisation-007"] = o
			return d, nil
		})
		cpu := cpuTime()
		b.StartTimer()
		size = transfer()
		spent += cpuTime() - cpu
	}
	report(b, "B/tree", float64(treeBytes))
	report(b, "B/change", float64(size))
	report(b, "cpu-ns/change", float64(spent)/float64(n))
}

// unavailableStore is a store that is never reachable.
type unavailableStore struct{ platform.Store }

func (unavailableStore) Get(context.Context, string) (platform.Object, error) {
	return platform.Object{}, platform.Unavailable.New("down")
}

func (unavailableStore) List(context.Context, string) ([]platform.Object, error) {
	return nil, platform.Unavailable.New("down")
}

func (unavailableStore) Watch(ctx context.Context, _ string, _ uint64) (platform.Object, error) {
	<-ctx.Done()
	return platform.Object{}, platform.Unavailable.New("down")
}

func claimRequest(n int) claim.Request {
	r := claim.Request{
		Organisation: "organisation-007", Key: fmt.Sprintf("visit-%d/book", n), Fingerprint: "0123456789abcdef/book",
		Attempt: contract.NewAttemptID(),
	}
	for c := range 3 {
		r.Candidates = append(r.Candidates, claim.Candidate{
			Agent: fmt.Sprintf("agent-%04d", c), Addr: "10.0.1.7:7400", Boot: contract.NewBootID(),
		})
	}
	return r
}

// BenchmarkClaim acquires and finishes claims concurrently at one writer. It
// reports the CPU time and the bytes written for one claim with its outcome, and
// the bytes that stay in the store for it.
func BenchmarkClaim(b *testing.B) {
	const concurrency = 16
	store := &countingStore{Store: platform.NewMemory(platform.MemoryOptions{})}
	l := claim.NewLedger(claim.Options{Store: store, Shards: 1, UpdateInterval: time.Millisecond, CallsPerSecond: 1e6, CallBurst: 1e6})
	defer l.Close()
	f := claim.NewForwarder(claim.ForwarderOptions{Ledger: l})
	defer f.Close()
	cpu, n := cpuTime(), 0
	for b.Loop() {
		done := make(chan error, concurrency)
		for range concurrency {
			n++
			go func(n int) {
				r := claimRequest(n)
				_, err := f.Acquire(context.Background(), r)
				if err == nil {
					err = f.Finish(context.Background(), r, claim.Outcome{Run: contract.Ran, Body: json.RawMessage(`{"reference":"visit","accepted":true}`)})
				}
				done <- err
			}(n)
		}
		for range concurrency {
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		}
	}
	report(b, "cpu-ns/claim", float64(cpuTime()-cpu)/float64(n))
	report(b, "B/claim", float64(store.written)/float64(n))
	report(b, "kept-B/claim", float64(storedClaimBytes(b, store.Store))/float64(n))
}

// storedClaimBytes returns the size of all stored claim objects.
func storedClaimBytes(b *testing.B, store platform.Store) int {
	b.Helper()
	objects, err := store.List(context.Background(), "claims/")
	if err != nil {
		b.Fatal(err)
	}
	n := 0
	for _, o := range objects {
		n += len(o.Value)
	}
	return n
}

// countingStore counts the bytes that one writer writes to a store. It is not safe for
// concurrent use.
type countingStore struct {
	platform.Store
	written int
}

func (s *countingStore) Put(ctx context.Context, key string, value json.RawMessage, ifVersion uint64) (uint64, error) {
	s.written += len(value)
	return s.Store.Put(ctx, key, value, ifVersion)
}

// BenchmarkKeyMemory reports the memory of one retained key in a writer's index.
func BenchmarkKeyMemory(b *testing.B) {
	const keys = 200000
	before := memoryInUse()
	index := make(map[claim.ID]uint64)
	for n := range keys {
		index[claim.NewID("organisation-007", fmt.Sprint(n))] = uint64(n / 300)
	}
	perKey := (memoryInUse() - before) / keys
	for b.Loop() {
		_ = index[claim.ID{}]
	}
	report(b, "B/key", perKey)
}

// BenchmarkSuspects merges a full message into a full table. It reports the time
// of a merge, and the size of one suspect in memory and in a message.
func BenchmarkSuspects(b *testing.B) {
	const capacity = 1024
	before := memoryInUse()
	table := suspect.New(suspect.Options{Capacity: capacity})
	for n := range capacity {
		digest := fmt.Sprintf("%016x/generate", n)
		table.Crashed([]string{digest, digest + "b"})
	}
	used := memoryInUse() - before
	message := table.Suspects()
	raw, err := json.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		table.Merge(message)
		message = table.Suspects()
	}
	report(b, "B/mark", used/capacity)
	report(b, "wire-B/mark", float64(len(raw))/float64(len(message)))
	report(b, "ns/message", float64(b.Elapsed().Nanoseconds())/float64(b.N))
}
