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

// report shows a figure, and hands it to make slopes.
func report(b *testing.B, unit string, v float64) {
	b.Helper()
	b.ReportMetric(v, unit)
	figures[b.Name()+" "+unit] = v
}

// figures are the latest figures by benchmark and unit.
var figures = map[string]float64{}

// instances lists the target's entries and agents.
func instances(z FleetSize) []platform.Instance {
	var out []platform.Instance
	for i := range z.Agents {
		out = append(out, platform.Instance{
			Name: fmt.Sprintf("agent-%04d", i), Pool: fmt.Sprintf("pool-%02d", i/z.DataCentres%z.Pools), Kind: pipeline.Generate,
			DataCentre: fmt.Sprintf("dc-%02d", i%z.DataCentres), AgentAddress: fmt.Sprintf("10.0.%d.%d:7400", i/256, i%256), State: platform.Live,
		})
	}
	for i := range z.Entries {
		out = append(out, platform.Instance{
			Name: fmt.Sprintf("entry-%03d", i), Pool: membership.EntryPool,
			DataCentre: fmt.Sprintf("dc-%02d", i%z.DataCentres), AgentAddress: fmt.Sprintf("10.1.%d.%d:7400", i/256, i%256), State: platform.Live,
		})
	}
	return out
}

// subsetSize and farSubsetSize are the entry's defaults.
const (
	subsetSize    = 4
	farSubsetSize = 1
)

// inFirstRegion selects the data centres of one of the target's five regions.
func inFirstRegion(dataCentre string) bool { return dataCentre < "dc-04" }

// BenchmarkTargets chooses an entry's links at the target's size, and reports
// how many there are.
func BenchmarkTargets(b *testing.B) {
	list, table := instances(Target), membership.NewTable()
	var targets []platform.Instance
	for b.Loop() {
		table.Update(list)
		targets = table.Targets(time.Now(), membership.TargetOptions{
			Self: "entry-001", DataCentre: "dc-01", InRegion: inFirstRegion, LocalSize: subsetSize, RemoteSize: farSubsetSize,
		})
	}
	report(b, "links/entry", float64(len(targets)))
	report(b, "ns", float64(b.Elapsed().Nanoseconds())/float64(b.N))
}

// listed serves the target's list of instances to a client, and counts bytes.
func listed(b *testing.B) (*platform.Client, *counted, *platform.Memory) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c, p := &counted{Listener: l}, standin.NewPlatform(standin.PlatformOptions{})
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go func() { _ = p.Serve(ctx, c) }()
	p.Memory().SetInstances(instances(Target))
	client, err := platform.NewClient(platform.ClientOptions{URL: "http://" + l.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(client.Close)
	return client, c, p.Memory()
}

// BenchmarkListUnchanged asks for a list that has not changed.
func BenchmarkListUnchanged(b *testing.B) {
	client, l, _ := listed(b)
	if _, err := client.Instances(context.Background()); err != nil {
		b.Fatal(err)
	}
	bytes, cpu, n := l.bytes.Load(), processor(), 0
	for b.Loop() {
		if _, err := client.Instances(context.Background()); err != nil {
			b.Fatal(err)
		}
		n++
	}
	report(b, "cpu-ns/read", float64(processor()-cpu)/float64(n))
	report(b, "B/read", float64(l.bytes.Load()-bytes)/float64(n))
}

// BenchmarkListChanged reads the whole list after each change of one instance.
func BenchmarkListChanged(b *testing.B) {
	client, l, memory := listed(b)
	list := instances(Target)
	bytes, cpu, n := l.bytes.Load(), processor(), 0
	for b.Loop() {
		n++
		list[n%len(list)].AgentAddress = fmt.Sprintf("10.2.0.1:%d", 1024+n%60000)
		memory.SetInstances(list)
		if _, err := client.Instances(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	report(b, "cpu-ns/read", float64(processor()-cpu)/float64(n))
	report(b, "B/read", float64(l.bytes.Load()-bytes)/float64(n))
}

// BenchmarkOwnInstance reads the agent's own entry of the list.
func BenchmarkOwnInstance(b *testing.B) {
	client, l, _ := listed(b)
	bytes, cpu, n := l.bytes.Load(), processor(), 0
	for b.Loop() {
		if _, err := client.Instance(context.Background(), "agent-0500"); err != nil {
			b.Fatal(err)
		}
		n++
	}
	report(b, "cpu-ns/read", float64(processor()-cpu)/float64(n))
	report(b, "B/read", float64(l.bytes.Load()-bytes)/float64(n))
}

// tree is a settings document with n organisations.
func tree(n int) settings.Document {
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
	for o := range n {
		name := fmt.Sprintf("organisation-%03d", o)
		tokens := []string{settings.TokenDigest(name + "a"), settings.TokenDigest(name + "b")}
		d.Organisations[name] = settings.Organisation{
			TokenSHA256: tokens, Weight: 10, Request: settings.RequestOverrides{MaxDeadline: &deadline},
		}
	}
	return d
}

// accept accepts the document, or one change of it.
func accept(b *testing.B, store platform.Store, id string, edit settings.EditFunc) *settings.Follower {
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

func whole(n int) settings.EditFunc {
	return func(settings.Document) (settings.Document, error) { return tree(n), nil }
}

// BenchmarkSettingsMemory reports what one organisation takes in a follower.
func BenchmarkSettingsMemory(b *testing.B) {
	small := accept(b, platform.NewMemory(platform.MemoryOptions{}), "small", whole(10))
	before := inUse()
	large := accept(b, platform.NewMemory(platform.MemoryOptions{}), "large", whole(Target.Organisations))
	held := inUse() - before
	// The store of the benchmark holds each value once more; a daemon does not.
	for b.Loop() {
		_ = small.Version() + large.Version()
	}
	report(b, "B/organisation", held/float64(Target.Organisations))
}

// BenchmarkSettingsChange carries changes of one organisation from a process
// that has them to one that has not, at the target's number of organisations.
func BenchmarkSettingsChange(b *testing.B) {
	store := platform.NewMemory(platform.MemoryOptions{})
	from := accept(b, store, "first", whole(Target.Organisations))
	to := settings.NewFollower(settings.FollowerOptions{Store: down{}, Candidates: func() []string { return nil }})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go to.Run(ctx)
	carry := func() int {
		size := 0
		to.ObserveVersion(from.Version(), func(_ context.Context, have settings.Version) (link.SettingsResult, error) {
			r, err := from.ChangesSince(have)
			size = len(r.Delta)
			return r, err
		})
		for to.Version() < from.Version() {
			time.Sleep(50 * time.Microsecond)
		}
		return size
	}
	size, n := 0, 0
	all := carry()
	var spent time.Duration
	for b.Loop() {
		n++
		b.StopTimer()
		from = accept(b, store, fmt.Sprint("change", n), func(d settings.Document) (settings.Document, error) {
			o := d.Organisations["organisation-007"]
			o.Weight = 1 + n%1000
			d.Organisations["organisation-007"] = o
			return d, nil
		})
		cpu := processor()
		b.StartTimer()
		size = carry()
		spent += processor() - cpu
	}
	report(b, "B/tree", float64(all))
	report(b, "B/change", float64(size))
	report(b, "cpu-ns/change", float64(spent)/float64(n))
}

// down is a store that is never reached.
type down struct{ platform.Store }

func (down) Get(context.Context, string) (platform.Object, error) {
	return platform.Object{}, platform.Unavailable.New("down")
}

func (down) List(context.Context, string) ([]platform.Object, error) {
	return nil, platform.Unavailable.New("down")
}

func (down) Watch(ctx context.Context, _ string, _ uint64) (platform.Object, error) {
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

// BenchmarkClaim claims and finishes calls at one writer, many at once, and
// reports processor time and bytes written for one claim with its outcome, and
// the memory of one remembered key.
func BenchmarkClaim(b *testing.B) {
	const atOnce = 16
	bytes := &writes{Store: platform.NewMemory(platform.MemoryOptions{})}
	l := claim.NewLedger(claim.Options{Store: bytes, Shards: 1, UpdateInterval: time.Millisecond, CallsPerSecond: 1e6, CallBurst: 1e6})
	defer l.Close()
	f := claim.NewForwarder(claim.ForwarderOptions{Ledger: l})
	defer f.Close()
	cpu, n := processor(), 0
	for b.Loop() {
		done := make(chan error, atOnce)
		for range atOnce {
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
		for range atOnce {
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		}
	}
	report(b, "cpu-ns/claim", float64(processor()-cpu)/float64(n))
	report(b, "B/claim", float64(bytes.n)/float64(n))
	report(b, "kept-B/claim", float64(kept(b, bytes.Store))/float64(n))
}

// kept is the size of all objects of claims.
func kept(b *testing.B, store platform.Store) int {
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

// writes counts the bytes written to a store by one writer.
type writes struct {
	platform.Store
	n int
}

func (w *writes) Put(ctx context.Context, key string, value json.RawMessage, ifVersion uint64) (uint64, error) {
	w.n += len(value)
	return w.Store.Put(ctx, key, value, ifVersion)
}

// BenchmarkKeyMemory reports the memory of a remembered key in a writer's index.
func BenchmarkKeyMemory(b *testing.B) {
	const keys = 200000
	before := inUse()
	index := make(map[claim.ID]uint64)
	for n := range keys {
		index[claim.NewID("organisation-007", fmt.Sprint(n))] = uint64(n / 300)
	}
	perKey := (inUse() - before) / keys
	for b.Loop() {
		_ = index[claim.ID{}]
	}
	report(b, "B/key", perKey)
}

// BenchmarkSuspects merges a full message into a full table.
func BenchmarkSuspects(b *testing.B) {
	const marks = 1024
	before := inUse()
	table := suspect.New(suspect.Options{Capacity: marks})
	for n := range marks {
		digest := fmt.Sprintf("%016x/generate", n)
		table.Crashed([]string{digest, digest + "b"})
	}
	held := inUse() - before
	message := table.Suspects()
	raw, err := json.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		table.Merge(message)
		message = table.Suspects()
	}
	report(b, "B/mark", held/marks)
	report(b, "wire-B/mark", float64(len(raw))/float64(len(message)))
	report(b, "ns/message", float64(b.Elapsed().Nanoseconds())/float64(b.N))
}
