package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// HeaderBoot is the HTTP header with the boot id of the process that responds.
const HeaderBoot = "X-Boot-Id"

const (
	// relistenInterval is the time between attempts to listen on the address again.
	relistenInterval = 10 * time.Millisecond
	// shutdownTimeout is how long a shutdown waits for calls in progress.
	shutdownTimeout = 500 * time.Millisecond
)

// process is one simulated process of a stand-in, from its start to its crash, which
// cancels the calls in progress.
type process struct {
	boot   contract.BootID
	ctx    context.Context
	cancel context.CancelFunc
	// restarted is closed when the successor of this process has started.
	restarted chan struct{}
}

func newProcess() *process {
	ctx, cancel := context.WithCancel(context.Background())
	return &process{boot: contract.NewBootID(), ctx: ctx, cancel: cancel, restarted: make(chan struct{})}
}

// host serves HTTP and simulates crashes: it closes all connections, refuses new
// ones for downFor and then starts a process with a new boot id.
type host struct {
	handler http.Handler
	downFor time.Duration
	// onRestart is called before a new process starts, if it is set.
	onRestart func()

	mu      sync.Mutex
	process *process
	crashes int
}

func newHost(downFor time.Duration) *host {
	return &host{downFor: downFor, process: newProcess()}
}

// currentProcess returns the running process or, after a crash, the one that crashed.
func (h *host) currentProcess() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// Crashes returns the number of crashes so far.
func (h *host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Boot returns the boot id of the current process.
func (h *host) Boot() contract.BootID { return h.currentProcess().boot }

// Crash simulates a crash of the current process. It has no effect while the
// stand-in is down.
func (h *host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process.ctx.Err() != nil {
		return
	}
	h.crashes++
	h.process.cancel()
	time.AfterFunc(h.downFor, h.restartProcess)
}

func (h *host) restartProcess() {
	if h.onRestart != nil {
		h.onRestart()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.process
	h.process = newProcess()
	close(previous.restarted)
}

// Handler returns the HTTP handler of the stand-in. It drops every connection
// while the stand-in is down.
func (h *host) Handler() http.Handler { return http.HandlerFunc(h.serveHTTP) }

func (h *host) serveHTTP(w http.ResponseWriter, r *http.Request) {
	p := h.currentProcess()
	if p.ctx.Err() != nil {
		dropConnection(w)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	w.Header().Set(HeaderBoot, string(p.boot))
	h.handler.ServeHTTP(w, r.WithContext(ctx))
	if p.ctx.Err() != nil {
		dropConnection(w)
	}
}

// answerThenCrash answers a request without content and crashes once the request has
// ended. A crash before that could cut the connection before the answer has left.
func (h *host) answerThenCrash(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush() // a client that has left needs no answer
	context.AfterFunc(r.Context(), h.Crash)
}

// Serve serves HTTP on ln until ctx ends. It closes ln after a crash and listens
// on the same address again after the restart.
func (h *host) Serve(ctx context.Context, ln net.Listener) error {
	for ctx.Err() == nil {
		p := h.currentProcess()
		if err := h.serveProcess(ctx, p, ln); err != nil {
			return err
		}
		select {
		case <-p.restarted:
		case <-ctx.Done():
			return nil
		}
		next, err := relisten(ctx, ln.Addr())
		if err != nil {
			return err
		}
		ln = next
	}
	_ = ln.Close()
	return nil
}

// serveProcess serves until the process crashes or ctx ends.
func (h *host) serveProcess(ctx context.Context, p *process, ln net.Listener) error {
	server := &http.Server{Handler: h.Handler()}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ln) }()
	select {
	case err := <-serveErr:
		return Error.Wrap(err)
	case <-p.ctx.Done():
		_ = server.Close()
	case <-ctx.Done():
		shutdown(server)
	}
	<-serveErr
	return nil
}

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

// relisten listens on addr again. It retries because another socket may use the
// address for a short time.
func relisten(ctx context.Context, addr net.Addr) (net.Listener, error) {
	var config net.ListenConfig
	for {
		ln, err := config.Listen(ctx, addr.Network(), addr.String())
		if err == nil {
			return ln, nil
		}
		select {
		case <-time.After(relistenInterval):
		case <-ctx.Done():
			return nil, Error.Wrap(errors.Join(err, ctx.Err()))
		}
	}
}

// dropConnection resets the connection without a response, as a crash of the process
// does.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
