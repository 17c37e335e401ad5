package link

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Handler is the agent behind a Server. Its methods are called concurrently.
type Handler interface {
	// Hello answers the handshake; an error refuses the link.
	Hello(p HelloParams) (HelloResult, error)
	// Run runs an attempt and reports its tokens to emit in order. ctx ends
	// with the link, so that the handler can decide what a lost link means.
	Run(ctx context.Context, p RunParams, emit func(token string)) RunResult
	// Attach reports the tokens from p.From on and returns the result.
	Attach(ctx context.Context, p AttachParams, emit func(token string)) RunResult
	// Settle tells what became of an attempt, closing it if it never ran.
	Settle(ctx context.Context, p SettleParams) SettleResult
	// Cancel ends an attempt. It must not block.
	Cancel(p CancelParams)
	// Load returns the current load, for pings. It must not block.
	Load() Load
}

// Method handles a call that is not of the link's own, such as claims and orders.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

// acceptPause keeps a listener that cannot accept from spinning.
const acceptPause = 10 * time.Millisecond

// Server is the agent's side of its links.
type Server struct {
	h       Handler
	o       ServerOptions
	methods map[string]Method

	mu       sync.Mutex
	links    map[*serverLink]struct{}
	listener net.Listener
	leaving  bool
	closed   bool
	// busy counts calls of the data path that are not answered yet, and
	// leaving words that are not acknowledged yet.
	busy int
	// idle is closed when busy falls to 0 while a shutdown waits.
	idle chan struct{}
	wg   sync.WaitGroup
}

// NewServer returns a server for h.
func NewServer(h Handler, o ServerOptions) *Server {
	o.setDefaults()
	return &Server{h: h, o: o, methods: map[string]Method{}, links: map[*serverLink]struct{}{}}
}

// Handle adds a method. It must be called before Serve.
func (s *Server) Handle(method string, m Method) { s.methods[method] = m }

// Serve accepts links on l until ctx ends or Close is called, then returns
// after every link has closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.closed {
		_ = l.Close()
	}
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.accept(l)
	s.wg.Wait()
	return err
}

func (s *Server) accept(l net.Listener) error {
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			s.add(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.o.Logger.Warn("accept failed", "error", err)
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) add(conn net.Conn) {
	if s.o.TLS != nil {
		conn = tls.Server(conn, s.o.TLS)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	k := newServerLink(s, conn)
	s.links[k] = struct{}{}
	s.wg.Go(func() {
		k.serve()
		s.mu.Lock()
		delete(s.links, k)
		s.mu.Unlock()
	})
}

// Leave tells every peer that this agent takes no new work. The list of
// instances lags, so the word on the link goes first.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	s.leaving = true
	for k := range s.links {
		s.busy++
		go k.leave()
	}
}

// BroadcastState tells every peer the load, the settings version and the marks at once.
func (s *Server) BroadcastState() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.links {
		if k.greeted.Load() {
			go k.spread()
		}
	}
}

// FetchSettings asks any one linked peer for the settings above have.
func (s *Server) FetchSettings(ctx context.Context, have Version) (SettingsResult, error) {
	s.mu.Lock()
	var peer *serverLink
	for k := range s.links {
		if k.greeted.Load() {
			peer = k
			break
		}
	}
	s.mu.Unlock()
	if peer == nil {
		return SettingsResult{}, NotSent.New("no peer is linked")
	}
	return peer.ask(ctx, have)
}

// Shutdown waits until every peer has acknowledged the leaving word and every
// call is answered, then closes. When ctx ends first it closes at once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.mu.Lock()
	idle := make(chan struct{})
	if s.busy == 0 {
		close(idle)
	} else {
		s.idle = idle
	}
	s.mu.Unlock()
	var err error
	select {
	case <-idle:
	case <-ctx.Done():
		err = Error.New("shutdown cut calls short: %w", ctx.Err())
	}
	return errs.Combine(err, s.Close())
}

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy++
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	if s.busy == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Close closes the listener and all links.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for k := range s.links {
		_ = k.s.Close()
	}
	return nil
}
