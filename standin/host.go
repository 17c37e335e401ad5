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

// HeaderBoot carries the boot id of the process that answered.
const HeaderBoot = "X-Boot-Id"

const (
	// relistenPause passes between attempts to take the address back.
	relistenPause = 10 * time.Millisecond
	// stopGrace bounds how long a stop waits for answers in progress.
	stopGrace = 500 * time.Millisecond
)

// life is one life of a stand-in's process: what runs in it dies with it.
type life struct {
	boot contract.BootID
	ctx  context.Context
	end  context.CancelFunc
	// next closes when the life after this one begins.
	next chan struct{}
}

func newLife() *life {
	ctx, cancel := context.WithCancel(context.Background())
	return &life{boot: contract.NewBootID(), ctx: ctx, end: cancel, next: make(chan struct{})}
}

// host serves HTTP and can crash: it then closes all connections, refuses new
// ones for a while and comes back with another boot id.
type host struct {
	handler http.Handler
	downFor time.Duration
	// reborn runs, when set, before a new life begins.
	reborn func()

	mu      sync.Mutex
	life    *life
	crashes int
}

func newHost(downFor time.Duration) *host {
	return &host{downFor: downFor, life: newLife()}
}

// current returns the life that runs or that ended last.
func (h *host) current() *life {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// Crashes returns how often the stand-in crashed.
func (h *host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Boot returns the boot id of the current life.
func (h *host) Boot() contract.BootID { return h.current().boot }

// Crash ends the current life as a dying process does.
func (h *host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life.ctx.Err() != nil {
		return
	}
	h.crashes++
	h.life.end()
	time.AfterFunc(h.downFor, h.revive)
}

func (h *host) revive() {
	if h.reborn != nil {
		h.reborn()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := h.life
	h.life = newLife()
	close(ended.next)
}

// Handler returns the stand-in's HTTP handler. While the stand-in is down it
// drops every connection.
func (h *host) Handler() http.Handler { return http.HandlerFunc(h.serveHTTP) }

func (h *host) serveHTTP(w http.ResponseWriter, r *http.Request) {
	l := h.current()
	if l.ctx.Err() != nil {
		drop(w)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	w.Header().Set(HeaderBoot, string(l.boot))
	h.handler.ServeHTTP(w, r.WithContext(ctx))
	if l.ctx.Err() != nil {
		drop(w)
	}
}

// Serve answers on ln until ctx ends. After a crash it listens again on the
// same address.
func (h *host) Serve(ctx context.Context, ln net.Listener) error {
	for ctx.Err() == nil {
		l := h.current()
		if err := h.serveLife(ctx, l, ln); err != nil {
			return err
		}
		select {
		case <-l.next:
		case <-ctx.Done():
			return nil
		}
		again, err := relisten(ctx, ln.Addr())
		if err != nil {
			return err
		}
		ln = again
	}
	_ = ln.Close()
	return nil
}

// serveLife serves until the life or ctx ends.
func (h *host) serveLife(ctx context.Context, l *life, ln net.Listener) error {
	server := &http.Server{Handler: h.Handler()}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	select {
	case err := <-failed:
		return Error.Wrap(err)
	case <-l.ctx.Done():
		_ = server.Close()
	case <-ctx.Done():
		stop(server)
	}
	<-failed
	return nil
}

func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

// relisten takes an address back, which another socket may hold for a moment.
func relisten(ctx context.Context, addr net.Addr) (net.Listener, error) {
	var config net.ListenConfig
	for {
		ln, err := config.Listen(ctx, addr.Network(), addr.String())
		if err == nil {
			return ln, nil
		}
		select {
		case <-time.After(relistenPause):
		case <-ctx.Done():
			return nil, Error.Wrap(errors.Join(err, ctx.Err()))
		}
	}
}

// drop closes the connection without an answer, as a dying process does.
func drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
