package capacity

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
)

// idle is the handler of an agent that is only pinged.
type idle struct{ boot contract.BootID }

func (h idle) Hello(link.HelloParams) (link.HelloResult, error) {
	return link.HelloResult{
		Agent: "agent-0001", AgentBoot: h.boot, Endpoint: "agent-0001", Pool: "engines", Kind: pipeline.Generate,
		DataCentre: "dc-01", Settings: 1400, Load: h.Load(),
	}, nil
}

func (h idle) Run(_ context.Context, p link.RunParams, _ func(string)) link.RunResult {
	return link.RunResult{Attempt: p.Attempt}
}

func (h idle) Attach(_ context.Context, p link.AttachParams, _ func(string)) link.RunResult {
	return link.RunResult{Attempt: p.Attempt}
}

func (h idle) Settle(context.Context, link.SettleParams) link.SettleResult {
	return link.SettleResult{}
}
func (h idle) Cancel(link.CancelParams) {}
func (h idle) Load() link.Load          { return link.Load{Limit: 32, InFlight: 3, ServiceUS: 250000} }

// counted counts the bytes of all connections that it accepts.
type counted struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	l *counted
}

func (l *counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l}, nil
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

// agentServer serves links on the loopback until the benchmark ends.
func agentServer(b *testing.B) (*counted, *link.Server) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := &counted{Listener: l}
	s := link.NewServer(idle{contract.NewBootID()}, link.ServerOptions{IdleTimeout: time.Hour})
	go func() { _ = s.Serve(context.Background(), c) }()
	b.Cleanup(func() { _ = s.Close() })
	return c, s
}

// watch is shared by all links, as an entry does it.
var watch = link.NewMonitor()

func dial(b *testing.B, addr string) *link.Client {
	b.Helper()
	c, err := link.Dial(context.Background(), addr, link.ClientOptions{
		Hello:        link.HelloParams{Entry: "entry-001", EntryBoot: contract.NewBootID(), DataCentre: "dc-01", Settings: 1400},
		PingInterval: time.Hour, Monitor: watch,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

// inUse is the memory that the process holds for live objects and stacks.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// processor is the processor time that the process has used.
func processor() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// linksHeld is how many links the memory of one is taken from.
const linksHeld = 300

// BenchmarkLinkMemory holds links, both ends in this process, and reports the
// memory of one pair of ends. The kernel's buffers are not in it.
func BenchmarkLinkMemory(b *testing.B) {
	l, _ := agentServer(b)
	_ = dial(b, l.Addr().String())
	before := inUse()
	for range linksHeld {
		dial(b, l.Addr().String())
	}
	time.Sleep(100 * time.Millisecond) // the last handshakes end
	perLink := (inUse() - before) / linksHeld
	for b.Loop() {
		runtime.Gosched()
	}
	report(b, "B/link", perLink)
}

// idleFor is how long idle links are watched for their processor time.
const idleFor = 3 * time.Second

// BenchmarkIdleLink holds links that carry nothing, not even pings, and reports
// the share of a core that one of them takes, both ends.
func BenchmarkIdleLink(b *testing.B) {
	l, _ := agentServer(b)
	for range linksHeld {
		dial(b, l.Addr().String())
	}
	runtime.GC()
	cpu := processor()
	time.Sleep(idleFor)
	spent := processor() - cpu
	for b.Loop() {
		runtime.Gosched()
	}
	report(b, "cpu-ns/s", float64(spent)/idleFor.Seconds()/linksHeld)
}

// BenchmarkDial opens and closes links: a connection without TLS and the
// handshake, at both ends.
func BenchmarkDial(b *testing.B) {
	l, _ := agentServer(b)
	o := link.ClientOptions{
		Hello:        link.HelloParams{Entry: "entry-001", EntryBoot: contract.NewBootID(), DataCentre: "dc-01", Settings: 1400},
		PingInterval: time.Hour,
	}
	bytes, cpu, n := l.bytes.Load(), processor(), 0
	for b.Loop() {
		c, err := link.Dial(context.Background(), l.Addr().String(), o)
		if err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
		n++
	}
	report(b, "cpu-ns/dial", float64(processor()-cpu)/float64(n))
	report(b, "B/dial", float64(l.bytes.Load()-bytes)/float64(n))
}

// BenchmarkPing reports the processor time of both ends and the bytes of one
// ping with its answer.
func BenchmarkPing(b *testing.B) {
	l, _ := agentServer(b)
	c := dial(b, l.Addr().String())
	var r link.PingResult
	bytes, cpu, n := l.bytes.Load(), processor(), 0
	for b.Loop() {
		if err := c.Call(context.Background(), link.MethodPing, link.PingParams{Settings: 1400}, &r); err != nil {
			b.Fatal(err)
		}
		n++
	}
	report(b, "cpu-ns/ping", float64(processor()-cpu)/float64(n))
	report(b, "B/ping", float64(l.bytes.Load()-bytes)/float64(n))
}
