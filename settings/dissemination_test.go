package settings_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/gossip"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/operator"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/standin"
)

// fleetControl is the control plane of a fleet: followers that are connected by real links and
// use the stand-in platform over HTTP. Entries and agents do nothing else.
type fleetControl struct {
	memory    *platform.Memory
	followers []*settings.Follower
	instances []platform.Instance
	links     atomic.Int64
	linkBytes atomic.Int64 // sent on all links, each byte counted once
	httpBytes atomic.Int64 // of all calls to the platform, both directions
	reach     reachability
	stop      func()
}

// reachability controls whether the daemons can reach the platform.
type reachability struct {
	mu  sync.Mutex
	ctx context.Context
	end context.CancelFunc
}

// restore makes the platform reachable.
func (r *reachability) restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx, r.end = context.WithCancel(context.Background())
}

// cut cancels all calls to the platform, and fails new ones until restore.
func (r *reachability) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end()
}

func (r *reachability) current() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ctx
}

// handler serves h while the platform is reachable.
func (r *reachability) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		reachable := r.current()
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		defer context.AfterFunc(reachable, cancel)()
		if reachable.Err() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, req.WithContext(ctx))
	})
}

// idleHandler is an agent's link handler that runs no calls.
type idleHandler struct{ name string }

func (h idleHandler) Hello(link.HelloParams) (link.HelloResult, error) {
	return link.HelloResult{Agent: h.name, AgentBoot: contract.BootID(h.name)}, nil
}
func (idleHandler) Run(context.Context, link.RunParams, func(string)) link.RunResult {
	return link.RunResult{}
}
func (idleHandler) Attach(context.Context, link.AttachParams, func(string)) link.RunResult {
	return link.RunResult{}
}
func (idleHandler) Settle(context.Context, link.SettleParams) link.SettleResult {
	return link.SettleResult{}
}
func (idleHandler) Cancel(link.CancelParams) {}
func (idleHandler) Load() link.Load          { return link.Load{Limit: 8} }

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

func newFleetControl(tb testing.TB, dataCentres, entries, agents, organisations int) *fleetControl {
	tb.Helper()
	c := &fleetControl{}
	p := standin.NewPlatform(standin.PlatformOptions{})
	c.memory = p.Memory()
	c.reach.restore()
	srv := httptest.NewUnstartedServer(c.reach.handler(p.Handler()))
	srv.Listener = countingListener{srv.Listener, &c.httpBytes}
	srv.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.accept(tb, settings.ChangeID("first"), tree(organisations))
	for dc := range dataCentres {
		c.startDataCentre(ctx, tb, &running, srv.URL, fmt.Sprintf("dc%d", dc), entries, agents)
	}
	c.stop = func() {
		cancel()
		running.Wait()
		c.reach.cut()
		srv.Close()
	}
	return c
}

func (c *fleetControl) connect(tb testing.TB, url string) *platform.Client {
	client, err := platform.NewClient(platform.ClientOptions{URL: url})
	if err != nil {
		tb.Fatal(err)
	}
	return client
}

// startDataCentre starts agents with their listeners, then entries that watch the store and keep
// a link to each agent of the data centre.
func (c *fleetControl) startDataCentre(ctx context.Context, tb testing.TB, running *sync.WaitGroup, url, dc string, entries, agents int) {
	var names []string
	var addrs []string
	for i := range entries {
		names = append(names, fmt.Sprintf("%s-entry-%d", dc, i))
	}
	for i := range agents {
		name := fmt.Sprintf("%s-agent-%d", dc, i)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		addrs = append(addrs, l.Addr().String())
		c.startAgent(ctx, tb, running, url, dc, name, countingListener{l, &c.linkBytes})
	}
	for _, name := range names {
		c.startEntry(ctx, tb, running, url, name, names, addrs)
	}
}

func (c *fleetControl) startAgent(ctx context.Context, tb testing.TB, running *sync.WaitGroup, url, dc, name string, l net.Listener) {
	store := c.connect(tb, url)
	var srv *link.Server
	f := settings.NewFollower(settings.FollowerOptions{
		Store: store, Instance: name, Candidates: func() []string { return nil },
		OnChange: func() { srv.BroadcastState() },
		FetchFromPeer: func(ctx context.Context, have settings.Version) (link.SettingsResult, error) {
			return srv.FetchSettings(ctx, have)
		},
	})
	srv = link.NewServer(idleHandler{name}, link.ServerOptions{Gossip: gossip.Adapter{Follower: f}})
	running.Go(func() { _ = srv.Serve(ctx, l) })
	running.Go(func() { f.Run(ctx); store.Close() })
	c.followers = append(c.followers, f)
	c.instances = append(c.instances, platform.Instance{
		Name: name, Pool: "encoders", Kind: pipeline.Encode, DataCentre: dc, AgentAddress: l.Addr().String(), State: platform.Live})
}

func (c *fleetControl) startEntry(ctx context.Context, tb testing.TB, running *sync.WaitGroup, url, name string, names, addrs []string) {
	store := c.connect(tb, url)
	entryLinks := &openLinks{}
	f := settings.NewFollower(settings.FollowerOptions{
		Store: store, Instance: name, Candidates: func() []string { return names }, OnChange: entryLinks.announce})
	o := link.ClientOptions{
		Hello:  link.HelloParams{Entry: name, EntryBoot: contract.BootID(name)},
		Gossip: gossip.Adapter{Follower: f},
	}
	c.links.Add(int64(len(addrs)))
	for _, addr := range addrs {
		running.Go(func() { entryLinks.keep(ctx, addr, o) })
	}
	running.Go(func() { f.Run(ctx); store.Close() })
	c.followers = append(c.followers, f)
}

// openLinks are the open links of an entry.
type openLinks struct{ m sync.Map }

// announce announces the version on all links at once, as the daemons do.
func (u *openLinks) announce() {
	u.m.Range(func(l, _ any) bool { l.(*link.Client).Tell(); return true })
}

func (u *openLinks) keep(ctx context.Context, addr string, o link.ClientOptions) {
	for ctx.Err() == nil {
		l, err := link.Dial(ctx, addr, o)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		u.m.Store(l, nil)
		select {
		case <-l.Done():
		case <-ctx.Done():
			_ = l.Close()
		}
		u.m.Delete(l)
	}
}

func tree(organisations int) settings.EditFunc {
	return func(d settings.Document) (settings.Document, error) {
		d.Pipelines = map[string]settings.Pipeline{}
		for i := range 8 {
			d.Pipelines[fmt.Sprintf("pipeline-%d", i)] = settings.Pipeline{Stages: []settings.Stage{
				{Name: "encode", Kind: pipeline.Encode, Pool: "encoders"}, {Name: "retrieve", Kind: pipeline.Retrieve, Pool: "retrievers"},
				{Name: "rerank", Kind: pipeline.Rerank, Pool: "rerankers"}, {Name: "generate", Kind: pipeline.Generate, Pool: "engines", Model: "m"}}}
		}
		d.Organisations = map[string]settings.Organisation{}
		for i := range organisations {
			name := fmt.Sprintf("organisation-%d", i)
			d.Organisations[name] = settings.Organisation{
				TokenSHA256: []string{settings.TokenDigest(name), settings.TokenDigest(name + "'")},
				Request:     settings.RequestOverrides{Priority: new(3), MaxTokens: new(512)},
				Pipelines:   map[string]settings.OrganisationPipeline{"pipeline-1": {Request: settings.RequestOverrides{RetryPercent: new(5)}}},
			}
		}
		d.DataCentres = map[string]settings.DataCentre{}
		for i := range 18 {
			d.DataCentres[fmt.Sprintf("dc%d", i)] = settings.DataCentre{Region: fmt.Sprintf("r%d", i%5)}
		}
		return d, nil
	}
}

func setWeight(w int) settings.EditFunc {
	return func(d settings.Document) (settings.Document, error) {
		o := d.Organisations["organisation-0"]
		o.Weight = w
		d.Organisations["organisation-0"] = o
		return d, nil
	}
}

func (c *fleetControl) accept(tb testing.TB, id settings.ChangeID, edit settings.EditFunc) settings.Outcome {
	tb.Helper()
	out := settings.Accept(context.Background(), c.memory, 0, edit, id, "test")
	if out.State != settings.Accepted {
		tb.Fatalf("change %s: %s %v", id, out.State, out.Err)
	}
	return out
}

// countBehind returns the number of followers below version v.
func (c *fleetControl) countBehind(v settings.Version) int {
	n := 0
	for _, f := range c.followers {
		if f.Version() < v {
			n++
		}
	}
	return n
}

// inForce waits until every follower has version v, and returns how long that took.
func (c *fleetControl) inForce(tb testing.TB, v settings.Version) time.Duration {
	tb.Helper()
	start := time.Now()
	for behind := c.countBehind(v); behind > 0; behind = c.countBehind(v) {
		if time.Since(start) > time.Minute {
			tb.Fatalf("%d of %d followers are below version %d after a minute", behind, len(c.followers), v)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// TestAcceptedChangeSpreadsWithoutTheStore makes the store unreachable for every daemon before a
// change is accepted, so that no watcher sees it. The operator's announcement and the peers alone
// must distribute the change to every process, including one that starts later.
func TestAcceptedChangeSpreadsWithoutTheStore(t *testing.T) {
	c := newFleetControl(t, 2, 2, 5, 3)
	defer c.stop()
	c.inForce(t, 1)
	c.reach.cut()
	out := c.accept(t, "second", setWeight(2))
	announcement, err := operator.Announce(t.Context(), out.Tree, c.instances, nil)
	if err != nil || announcement.InForce != announcement.Notified || announcement.Notified != 6 {
		t.Fatalf("%+v, %v", announcement, err)
	}
	c.inForce(t, 2)
	late := c.lateStart(t)
	for late.Version() < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	if got := late.Current().Document.Organisations["organisation-0"].Weight; got != 2 {
		t.Fatalf("a process started during the outage has weight %d", got)
	}
}

// lateStart starts an entry that is linked to a single agent and cannot reach the store.
func (c *fleetControl) lateStart(t *testing.T) *settings.Follower {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.startEntry(ctx, t, &running, "http://127.0.0.1:1", "late", []string{"late"}, []string{c.instances[0].AgentAddress})
	t.Cleanup(func() { cancel(); running.Wait() })
	return c.followers[len(c.followers)-1]
}

// BenchmarkDissemination measures a fleet of the size of the target deployment: 380 daemons in
// 18 data centres and 410 organisations. It reports how long each of three changes takes to be in
// force everywhere, the last one with the store unreachable for all daemons before it is
// accepted, and the cost of the control plane while nothing changes.
func BenchmarkDissemination(b *testing.B) {
	for b.Loop() {
		c := newFleetControl(b, 18, 3, 18, 410)
		b.ReportMetric(c.inForce(b, 1).Seconds(), "s/start")
		time.Sleep(5 * time.Second)
		c.measureIdle(b)
		for i, name := range []string{"s/first", "s/second", "s/store-lost"} {
			linkBytesBefore, httpBytesBefore, calls := c.linkBytes.Load(), c.httpBytes.Load(), c.memory.Calls()
			if i == 2 {
				c.reach.cut()
			}
			start := time.Now()
			out := c.accept(b, settings.ChangeID(name), setWeight(i+2))
			if _, err := operator.Announce(context.Background(), out.Tree, c.instances, nil); err != nil {
				b.Fatal(err)
			}
			c.inForce(b, out.Version)
			b.ReportMetric(time.Since(start).Seconds(), name)
			b.Logf("%s: %d bytes of links, %d of store calls, %d store reads, %d store writes", name,
				c.linkBytes.Load()-linkBytesBefore, c.httpBytes.Load()-httpBytesBefore, c.memory.Calls().Reads()-calls.Reads(), c.memory.Calls().Writes()-calls.Writes())
		}
		c.measureRejoin(b)
		c.stop()
	}
}

// measureRejoin accepts changes while the fleet is cut off from the store, and reports how long
// they take to be in force everywhere once the store is reachable again.
func (c *fleetControl) measureRejoin(b *testing.B) {
	time.Sleep(time.Minute)
	var out settings.Outcome
	for i := range 3 {
		out = c.accept(b, settings.ChangeID(fmt.Sprintf("missed-%d", i)), setWeight(10+i))
	}
	calls := c.memory.Calls()
	c.reach.restore()
	b.ReportMetric(c.inForce(b, out.Version).Seconds(), "s/rejoin")
	b.Logf("rejoin: %d store reads", c.memory.Calls().Reads()-calls.Reads())
}

// measureIdle reports the cost of the control plane while no setting changes.
func (c *fleetControl) measureIdle(b *testing.B) {
	const window = 20 * time.Second
	linkBytesBefore, httpBytesBefore, calls, cpu := c.linkBytes.Load(), c.httpBytes.Load(), c.memory.Calls(), processorTime()
	time.Sleep(window)
	daemons, seconds := float64(len(c.followers)), window.Seconds()
	b.ReportMetric(float64(c.linkBytes.Load()-linkBytesBefore)*2/daemons/seconds, "link-B/s/daemon")
	b.ReportMetric(float64(c.linkBytes.Load()-linkBytesBefore)/float64(c.links.Load())/seconds, "B/s/link")
	b.ReportMetric(float64(c.httpBytes.Load()-httpBytesBefore)/daemons/seconds, "store-B/s/daemon")
	b.ReportMetric(float64(c.memory.Calls().Reads()-calls.Reads())/seconds, "store-reads/s")
	b.ReportMetric((processorTime()-cpu).Seconds()/daemons/seconds*100, "%core/daemon")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
