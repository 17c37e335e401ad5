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
	// Hello answers the handshake. An error refuses the link.
	Hello(p HelloParams) (HelloResult, error)
	// Run runs an attempt and passes its tokens to emit in order. ctx ends with the link; the
	// handler decides whether the attempt then continues.
	Run(ctx context.Context, p RunParams, emit func(token string)) RunResult
	// Attach passes the tokens from index p.From on to emit and returns the result.
	Attach(ctx context.Context, p AttachParams, emit func(token string)) RunResult
	// Settle returns the state of an attempt. It closes an attempt that never ran.
	Settle(ctx context.Context, p SettleParams) SettleResult
	// Cancel cancels an attempt. It must not block.
	Cancel(p CancelParams)
	// Load returns the current load, which is sent with pings. It must not block.
	Load() Load
}

// Method handles a call that is not part of the link protocol itself, such as claims and orders.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

// acceptRetryDelay keeps the accept loop from spinning while accepting fails.
const acceptRetryDelay = 10 * time.Millisecond

// Server is the agent's side of its links.
type Server struct {
	handler Handler
	options ServerOptions
	methods map[string]Method

	mu       sync.Mutex
	links    map[*serverLink]struct{}
	listener net.Listener
	leaving  bool
	closed   bool
	// pending counts the calls of the data path that are not answered yet and the leaving messages
	// that are not acknowledged yet.
	pending int
	// idle is closed when pending falls to 0 during a shutdown.
	idle chan struct{}
	wg   sync.WaitGroup
}

// NewServer returns a server that passes calls to h.
func NewServer(h Handler, o ServerOptions) *Server {
	o.setDefaults()
	return &Server{handler: h, options: o, methods: map[string]Method{}, links: map[*serverLink]struct{}{}}
}

// Handle adds a method. It must be called before Serve.
func (s *Server) Handle(method string, m Method) { s.methods[method] = m }

// Serve accepts links on l until ctx ends or Close is called, and returns once every link has
// closed.
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
			s.addConn(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.options.Logger.Warn("accepting a link failed", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) addConn(conn net.Conn) {
	if s.options.TLS != nil {
		conn = tls.Server(conn, s.options.TLS)
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

// Leave tells every peer that this agent takes no new work. It notifies the peers directly because
// the list of instances lags.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	s.leaving = true
	for k := range s.links {
		s.pending++
		go k.announceLeaving()
	}
}

// BroadcastState sends the load, the settings version and the marks to every peer.
func (s *Server) BroadcastState() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.links {
		if k.handshakeDone.Load() {
			go k.sendState()
		}
	}
}

// FetchSettings asks one of the linked peers for the settings changes after version have. It
// returns an error of class NotSent if no peer is linked.
func (s *Server) FetchSettings(ctx context.Context, have Version) (SettingsResult, error) {
	s.mu.Lock()
	var peer *serverLink
	for k := range s.links {
		if k.handshakeDone.Load() {
			peer = k
			break
		}
	}
	s.mu.Unlock()
	if peer == nil {
		return SettingsResult{}, NotSent.New("no peer is linked")
	}
	return peer.fetchSettings(ctx, have)
}

// Shutdown waits until every peer has acknowledged the leaving message and every call is answered,
// and then closes the server. If ctx ends first, it closes at once and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.mu.Lock()
	idle := make(chan struct{})
	if s.pending == 0 {
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

func (s *Server) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending++
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	if s.pending == 0 && s.idle != nil {
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
		_ = k.stream.Close()
	}
	return nil
}
