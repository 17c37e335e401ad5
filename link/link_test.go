package link

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/azurelead/azurelead/contract"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeAgent answers runs with a function and records cancellations.
type fakeAgent struct {
	run func(ctx context.Context, p RunParams, emit func(string)) RunResult

	mu        sync.Mutex
	cancelled []contract.AttemptID
}

func (f *fakeAgent) Hello(HelloParams) (HelloResult, error) {
	return HelloResult{Agent: "a1", AgentBoot: "boot-1"}, nil
}

func (f *fakeAgent) Run(ctx context.Context, p RunParams, emit func(string)) RunResult {
	return f.run(ctx, p, emit)
}

func (f *fakeAgent) Attach(_ context.Context, p AttachParams, emit func(string)) RunResult {
	if p.From < 0 {
		panic("agent received an attach from a negative token index")
	}
	emit("late")
	return RunResult{Run: contract.Ran, TokenCount: p.From + 1}
}

func (f *fakeAgent) Settle(context.Context, SettleParams) SettleResult {
	return SettleResult{State: AttemptClosed}
}

func (f *fakeAgent) Cancel(p CancelParams) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, p.Attempt)
}

func (f *fakeAgent) Load() Load { return Load{Limit: 7} }

func startServer(t testing.TB, h Handler, o ServerOptions) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, o)
	served := make(chan struct{})
	go func() { _ = s.Serve(context.Background(), l); close(served) }()
	t.Cleanup(func() { _ = s.Close(); <-served })
	return s, l.Addr().String()
}

func dial(t testing.TB, addr string, o ClientOptions) *Client {
	t.Helper()
	c, err := Dial(context.Background(), addr, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Many streams share one link. Each caller must get all of its own tokens, in order and before its
// result.
func TestConcurrentRunsShareLink(t *testing.T) {
	const runs, tokens = 50, 200
	f := &fakeAgent{run: func(_ context.Context, p RunParams, emit func(string)) RunResult {
		for i := range tokens {
			emit(fmt.Sprintf("%s/%d ", p.Stage, i))
		}
		return RunResult{Run: contract.Ran, TokenCount: tokens}
	}}
	_, addr := startServer(t, f, ServerOptions{})
	c := dial(t, addr, ClientOptions{})
	var wg sync.WaitGroup
	for i := range runs {
		wg.Go(func() {
			stage := fmt.Sprint(i)
			var got, want strings.Builder
			for j := range tokens {
				fmt.Fprintf(&want, "%s/%d ", stage, j)
			}
			p := RunParams{Attempt: contract.NewAttemptID(), Stage: stage}
			res, err := c.Run(context.Background(), p, func(ch Chunk) { got.WriteString(strings.Join(ch.Tokens, "")) })
			if err != nil || res.TokenCount != tokens || got.String() != want.String() {
				t.Errorf("run %d: error %v, token count %d, tokens differ: %s", i, err, res.TokenCount, cmp.Diff(want.String(), got.String()))
			}
		})
	}
	wg.Wait()
}

// The class of an error must tell whether the peer may have received the call.
func TestErrorsReportWhetherCallWasSent(t *testing.T) {
	started := make(chan struct{})
	f := &fakeAgent{run: func(ctx context.Context, _ RunParams, _ func(string)) RunResult {
		close(started)
		<-ctx.Done()
		return RunResult{}
	}}
	_, addr := startServer(t, f, ServerOptions{})
	c := dial(t, addr, ClientOptions{})
	go func() { <-started; _ = c.Close() }()
	if _, err := c.Run(context.Background(), RunParams{Attempt: "1"}, nil); !Lost.Has(err) {
		t.Errorf("link closed during a run: %v, want Lost", err)
	}
	<-c.Done()
	if _, err := c.Run(context.Background(), RunParams{Attempt: "2"}, nil); !NotSent.Has(err) {
		t.Errorf("run on a closed link: %v, want NotSent", err)
	}
}

// A caller that gives up must cancel the attempt at the agent, and a late answer must not be
// delivered.
func TestCallerCancellationReachesAgent(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	f := &fakeAgent{run: func(_ context.Context, p RunParams, emit func(string)) RunResult {
		if p.Attempt == "slow" {
			close(started)
			<-release
		}
		emit("x")
		return RunResult{Run: contract.Ran, TokenCount: 1}
	}}
	_, addr := startServer(t, f, ServerOptions{})
	c := dial(t, addr, ClientOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	if _, err := c.Run(ctx, RunParams{Attempt: "slow"}, nil); err != context.Canceled {
		t.Fatalf("cancelled caller: %v", err)
	}
	if _, err := c.Settle(context.Background(), SettleParams{Attempt: "slow"}); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	got := f.cancelled
	f.mu.Unlock()
	if diff := cmp.Diff([]contract.AttemptID{"slow"}, got); diff != "" {
		t.Errorf("cancelled attempts differ: %s", diff)
	}
	close(release)
	if _, err := c.Run(context.Background(), RunParams{Attempt: "next"}, func(ch Chunk) {
		if ch.Attempt != "next" {
			t.Errorf("got a chunk of %s", ch.Attempt)
		}
	}); err != nil {
		t.Error(err)
	}
}

// blackhole forwards bytes until swallow is called. It then discards them and keeps the connections
// open, like a middlebox that has lost its connection state.
type blackhole struct {
	mu     sync.Mutex
	silent map[net.Conn]bool
	conns  []net.Conn
}

func (b *blackhole) swallow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		b.silent[c] = true
	}
}

func (b *blackhole) forward(dst, src net.Conn) {
	defer dst.Close()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		b.mu.Lock()
		silent := b.silent[src] || b.silent[dst]
		b.mu.Unlock()
		if !silent {
			_, _ = dst.Write(buf[:n])
		}
	}
}

func startBlackhole(t *testing.T, to string) (*blackhole, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &blackhole{silent: map[net.Conn]bool{}}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			b.mu.Lock()
			b.conns = append(b.conns, in, out)
			b.mu.Unlock()
			wg.Go(func() { b.forward(out, in) })
			wg.Go(func() { b.forward(in, out) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		b.mu.Lock()
		for _, c := range b.conns {
			_ = c.Close()
		}
		b.mu.Unlock()
		wg.Wait()
	})
	return b, l.Addr().String()
}

// A connection that goes silent for good while new connections work must be dropped. Its calls must
// end as Lost, so that they can be taken over on a new link.
func TestSilentLinkIsDropped(t *testing.T) {
	started := make(chan struct{})
	f := &fakeAgent{run: func(ctx context.Context, _ RunParams, _ func(string)) RunResult {
		close(started)
		<-ctx.Done()
		return RunResult{}
	}}
	_, direct := startServer(t, f, ServerOptions{IdleTimeout: time.Second})
	b, addr := startBlackhole(t, direct)
	o := ClientOptions{SilenceTimeout: 200 * time.Millisecond}
	c := dial(t, addr, o)
	go func() { <-started; b.swallow() }()
	_, err := c.Run(context.Background(), RunParams{Attempt: "1"}, nil)
	if !Lost.Has(err) {
		t.Fatalf("run on a silent link: %v, want Lost", err)
	}
	second := dial(t, addr, o)
	res, err := second.Attach(context.Background(), AttachParams{Attempt: "1", From: 3}, nil)
	if err != nil || res.TokenCount != 4 {
		t.Errorf("attach on a new link: %+v, %v", res, err)
	}
}

// A busy or idle link must not be taken for a silent one, and the peer's state must be requested
// whatever other traffic the link carries. Ticks: "b" stands for received bytes and a state update,
// "r" for received bytes alone, "." for nothing; "B", "R" and "-" are the same with a call
// outstanding. Actions: "k" none, "p" ping, "n" probe, "d" drop.
func TestSilenceDetectorActions(t *testing.T) {
	codes := map[action]byte{actionNone: 'k', actionPing: 'p', actionProbe: 'n', actionDrop: 'd'}
	for name, tc := range map[string]struct{ ticks, want string }{
		"answered":                 {"B-B-B", "kkkkk"},
		"idle is pinged":           {"b...b...", "kkkpkkkp"},
		"requests carry no state":  {"brrrrrr", "kkkpkkp"},
		"long stream is pinged":    {"BRRRRRR", "kkkpkkp"},
		"silent":                   {"B" + strings.Repeat("-", 12), "kkpknnnnnnnnd"},
		"idle time is not silence": {"b..--B", "kkkppk"},
	} {
		s := newSilenceDetector(400*time.Millisecond, 300*time.Millisecond)
		var got []byte
		var reads, stateUpdates uint64
		for _, k := range tc.ticks {
			if strings.ContainsRune("bBrR", k) {
				reads++
			}
			if strings.ContainsRune("bB", k) {
				stateUpdates++
			}
			got = append(got, codes[s.step(reads, stateUpdates, strings.ContainsRune("BR-", k))])
		}
		if diff := cmp.Diff(tc.want, string(got)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Peers must learn at once that an agent is leaving, because the list of instances lags.
func TestLeavingIsAnnouncedToPeers(t *testing.T) {
	s, addr := startServer(t, &fakeAgent{}, ServerOptions{})
	c := dial(t, addr, ClientOptions{})
	s.Leave()
	<-c.Leaving()
}

// A ping must return the agent's load without a run.
func TestPingReturnsLoad(t *testing.T) {
	_, addr := startServer(t, &fakeAgent{}, ServerOptions{})
	c := dial(t, addr, ClientOptions{})
	c.ping()
	if got := c.Load().Limit; got != 7 {
		t.Errorf("limit %d, want 7", got)
	}
}

// A planned stop must not cut a call. Callers keep sending until they are told that the agent is
// leaving, and each of their calls is either answered or certain not to have been sent.
func TestShutdownCutsNoCall(t *testing.T) {
	f := &fakeAgent{run: func(_ context.Context, _ RunParams, emit func(string)) RunResult {
		time.Sleep(time.Millisecond)
		emit("x")
		return RunResult{Run: contract.Ran, TokenCount: 1}
	}}
	s, addr := startServer(t, f, ServerOptions{})
	var wg sync.WaitGroup
	answered := make(chan struct{}, 400)
	for range 4 {
		c := dial(t, addr, ClientOptions{})
		for range 8 {
			wg.Go(func() {
				for {
					_, err := c.Run(context.Background(), RunParams{Attempt: contract.NewAttemptID()}, nil)
					if err != nil {
						if !NotSent.Has(err) {
							t.Errorf("call cut by a planned stop: %v", err)
						}
						return
					}
					select {
					case answered <- struct{}{}:
					default:
					}
				}
			})
		}
	}
	for range cap(answered) / 2 {
		<-answered
	}
	if err := s.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	wg.Wait()
}
