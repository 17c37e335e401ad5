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

// idleHandler is the link handler of an agent that receives only pings.
type idleHandler struct{ boot contract.BootID }

func (h idleHandler) Hello(link.HelloParams) (link.HelloResult, error) {
	return link.HelloResult{
		Agent: "agent-0001", AgentBoot: h.boot, Endpoint: "agent-0001", Pool: "engines", Kind: pipeline.Generate,
		DataCentre: "dc-01", Settings: 1400, Load: h.Load(),
	}, nil
}

func (h idleHandler) Run(_ context.Context, p link.RunParams, _ func(string)) link.RunResult {
	return link.RunResult{Attempt: p.Attempt}
}

func (h idleHandler) Attach(_ context.Context, p link.AttachParams, _ func(string)) link.RunResult {
	return link.RunResult{Attempt: p.Attempt}
}

func (h idleHandler) Settle(context.Context, link.SettleParams) link.SettleResult {
	return link.SettleResult{}
}
func (h idleHandler) Cancel(link.CancelParams) {}
func (h idleHandler) Load() link.Load          { return link.Load{Limit: 32, InFlight: 3, ServiceUS: 250000} }

// countingListener counts the bytes read and written on all accepted connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// agentServer serves links on the loopback interface until the benchmark ends.
func agentServer(b *testing.B) (*countingListener, *link.Server) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := &countingListener{Listener: l}
	s := link.NewServer(idleHandler{contract.NewBootID()}, link.ServerOptions{IdleTimeout: time.Hour})
	go func() { _ = s.Serve(context.Background(), c) }()
	b.Cleanup(func() { _ = s.Close() })
	return c, s
}

// monitor is shared by all links, as in an entry.
var monitor = link.NewMonitor()

func dial(b *testing.B, addr string) *link.Client {
	b.Helper()
	c, err := link.Dial(context.Background(), addr, link.ClientOptions{
		Hello:        link.HelloParams{Entry: "entry-001", EntryBoot: contract.NewBootID(), DataCentre: "dc-01", Settings: 1400},
		PingInterval: time.Hour, Monitor: monitor,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

// memoryInUse returns the bytes of live heap objects and stacks of the process.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// linkCount is the number of open links over which costs per link are averaged.
const linkCount = 300

// BenchmarkLinkMemory opens links with both ends in this process and reports the
// memory of both ends of one link, without the kernel's buffers.
func BenchmarkLinkMemory(b *testing.B) {
	l, _ := agentServer(b)
	_ = dial(b, l.Addr().String())
	before := memoryInUse()
	for range linkCount {
		dial(b, l.Addr().String())
	}
	time.Sleep(100 * time.Millisecond) // let the last handshakes finish
	perLink := (memoryInUse() - before) / linkCount
	for b.Loop() {
		runtime.Gosched()
	}
	report(b, "B/link", perLink)
}

// idleDuration is the period over which the CPU time of idle links is measured.
const idleDuration = 3 * time.Second

// BenchmarkIdleLink opens links without any traffic, pings included, and reports
// the share of a core that both ends of one link use.
func BenchmarkIdleLink(b *testing.B) {
	l, _ := agentServer(b)
	for range linkCount {
		dial(b, l.Addr().String())
	}
	runtime.GC()
	cpu := cpuTime()
	time.Sleep(idleDuration)
	spent := cpuTime() - cpu
	for b.Loop() {
		runtime.Gosched()
	}
	report(b, "cpu-ns/s", float64(spent)/idleDuration.Seconds()/linkCount)
}

// BenchmarkDial reports the CPU time of both ends and the bytes of opening and
// closing a link: a connection without TLS and the handshake.
func BenchmarkDial(b *testing.B) {
	l, _ := agentServer(b)
	o := link.ClientOptions{
		Hello:        link.HelloParams{Entry: "entry-001", EntryBoot: contract.NewBootID(), DataCentre: "dc-01", Settings: 1400},
		PingInterval: time.Hour,
	}
	bytes, cpu, n := l.bytes.Load(), cpuTime(), 0
	for b.Loop() {
		c, err := link.Dial(context.Background(), l.Addr().String(), o)
		if err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
		n++
	}
	report(b, "cpu-ns/dial", float64(cpuTime()-cpu)/float64(n))
	report(b, "B/dial", float64(l.bytes.Load()-bytes)/float64(n))
}

// BenchmarkPing reports the CPU time of both ends and the bytes of one ping with
// its response.
func BenchmarkPing(b *testing.B) {
	l, _ := agentServer(b)
	c := dial(b, l.Addr().String())
	var r link.PingResult
	bytes, cpu, n := l.bytes.Load(), cpuTime(), 0
	for b.Loop() {
		if err := c.Call(context.Background(), link.MethodPing, link.PingParams{Settings: 1400}, &r); err != nil {
			b.Fatal(err)
		}
		n++
	}
	report(b, "cpu-ns/ping", float64(cpuTime()-cpu)/float64(n))
	report(b, "B/ping", float64(l.bytes.Load()-bytes)/float64(n))
}
