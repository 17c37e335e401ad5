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

// fakeAgent answers runs by a function and keeps what it was asked.
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
		panic("attach from a token below 0 reached the agent")
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

// Many streams share one link; each caller must get its own tokens, whole, in
// order and before its result.
func TestRunsShareALink(t *testing.T) {
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
				t.Errorf("run %d: %v, count %d, tokens differ: %s", i, err, res.TokenCount, cmp.Diff(want.String(), got.String()))
			}
		})
	}
	wg.Wait()
}

// An error must say truthfully whether the peer can have seen the call.
func TestErrorsTellWhetherTheCallWasSent(t *testing.T) {
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
		t.Errorf("cut while running: %v, want Lost", err)
	}
	<-c.Done()
	if _, err := c.Run(context.Background(), RunParams{Attempt: "2"}, nil); !NotSent.Has(err) {
		t.Errorf("run on a closed link: %v, want NotSent", err)
	}
}

// A caller that gives up must free the agent, and the late answer must reach nobody.
func TestGivingUpCancels(t *testing.T) {
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
		t.Fatalf("given up: %v", err)
	}
	if _, err := c.Settle(context.Background(), SettleParams{Attempt: "slow"}); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	got := f.cancelled
	f.mu.Unlock()
	if diff := cmp.Diff([]contract.AttemptID{"slow"}, got); diff != "" {
		t.Errorf("cancelled: %s", diff)
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

// blackhole forwards bytes until it is told to swallow them, keeping the
// connections open, as a middlebox does that has lost track of them.
type blackhole struct {
	mu      sync.Mutex
	silent  map[net.Conn]bool
	current []net.Conn
}

func (b *blackhole) swallow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.current {
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
			b.current = append(b.current, in, out)
			b.mu.Unlock()
			wg.Go(func() { b.forward(out, in) })
			wg.Go(func() { b.forward(in, out) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		b.mu.Lock()
		for _, c := range b.current {
			_ = c.Close()
		}
		b.mu.Unlock()
		wg.Wait()
	})
	return b, l.Addr().String()
}

// A connection that goes silent for good while new ones work must be left, and
// its calls handed back as lost, so that they can be taken over on a new link.
func TestSilentLinkIsLeft(t *testing.T) {
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
	again := dial(t, addr, o)
	res, err := again.Attach(context.Background(), AttachParams{Attempt: "1", From: 3}, nil)
	if err != nil || res.TokenCount != 4 {
		t.Errorf("attach on a new link: %+v, %v", res, err)
	}
}

// The watch must not take a busy or idle link for a silent one, and must hear
// of the peer's state whatever else the link carries. Ticks: "b" brought bytes
// and news, "r" bytes alone, "." nothing; "B", "R" and "-" with a call outstanding.
func TestSilenceVerdicts(t *testing.T) {
	letters := map[verdict]byte{verdictKeep: 'k', verdictPing: 'p', verdictProbe: 'n', verdictDrop: 'd'}
	for name, tc := range map[string]struct{ ticks, want string }{
		"answered":                 {"B-B-B", "kkkkk"},
		"idle is pinged":           {"b...b...", "kkkpkkkp"},
		"questions are no news":    {"brrrrrr", "kkkpkkp"},
		"a long stream is pinged":  {"BRRRRRR", "kkkpkkp"},
		"silent":                   {"B" + strings.Repeat("-", 12), "kkpknnnnnnnnd"},
		"idle time is not silence": {"b..--B", "kkkppk"},
	} {
		s := newSilence(400*time.Millisecond, 300*time.Millisecond)
		var got []byte
		var reads, news uint64
		for _, k := range tc.ticks {
			if strings.ContainsRune("bBrR", k) {
				reads++
			}
			if strings.ContainsRune("bB", k) {
				news++
			}
			got = append(got, letters[s.step(reads, news, strings.ContainsRune("BR-", k))])
		}
		if diff := cmp.Diff(tc.want, string(got)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// The leaving word must reach peers at once: the list of instances lags.
func TestLeavingReachesPeers(t *testing.T) {
	s, addr := startServer(t, &fakeAgent{}, ServerOptions{})
	c := dial(t, addr, ClientOptions{})
	s.Leave()
	<-c.Leaving()
}

// An agent that is pinged tells its load without a run.
func TestPingBringsLoad(t *testing.T) {
	_, addr := startServer(t, &fakeAgent{}, ServerOptions{})
	c := dial(t, addr, ClientOptions{})
	c.ping()
	if got := c.Load().Limit; got != 7 {
		t.Errorf("limit %d, want 7", got)
	}
}

// A planned stop must cut no call: callers keep sending until they are told,
// and each of their calls is either answered or surely not sent.
func TestShutdownCutsNoCall(t *testing.T) {
	f := &fakeAgent{run: func(_ context.Context, _ RunParams, emit func(string)) RunResult {
		time.Sleep(time.Millisecond)
		emit("x")
		return RunResult{Run: contract.Ran, TokenCount: 1}
	}}
	s, addr := startServer(t, f, ServerOptions{})
	var wg sync.WaitGroup
	warm := make(chan struct{}, 400)
	for range 4 {
		c := dial(t, addr, ClientOptions{})
		for range 8 {
			wg.Go(func() {
				for {
					_, err := c.Run(context.Background(), RunParams{Attempt: contract.NewAttemptID()}, nil)
					if err != nil {
						if !NotSent.Has(err) {
							t.Errorf("cut by a planned stop: %v", err)
						}
						return
					}
					select {
					case warm <- struct{}{}:
					default:
					}
				}
			})
		}
	}
	for range cap(warm) / 2 {
		<-warm
	}
	if err := s.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	wg.Wait()
}
