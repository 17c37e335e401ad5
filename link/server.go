package link

import (
	"context"
	"encoding/json"
	"net"
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

// Server is the agent's side of its links.
type Server struct {
	h       Handler
	o       ServerOptions
	methods map[string]Method
}

// NewServer returns a server for h.
func NewServer(h Handler, o ServerOptions) *Server {
	o.setDefaults()
	return &Server{h: h, o: o, methods: map[string]Method{}}
}

// Handle adds a method. It must be called before Serve.
func (s *Server) Handle(method string, m Method) { s.methods[method] = m }

// Serve accepts links on l until ctx ends or Close is called, then returns
// after every link has closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return Error.New("not built yet")
}

// Leave tells every peer that this agent takes no new work.
func (s *Server) Leave() {}

// Close closes the listener and all links.
func (s *Server) Close() error { return nil }
