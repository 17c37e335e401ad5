package peers

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/dispatch"
)

// servingHandler handles the messages on a link that a peer dialled. Those about jobs take effect in the order in
// which they were sent, as a cancellation must not be handled before the submission of its job. All others are
// handled concurrently.
type servingHandler struct {
	m *Mesh
	// ctx ends when this entry stops serving. It outlives the link.
	ctx         context.Context
	jobMessages sequence
}

// Handle implements jsonrpc2.Handler.
func (h *servingHandler) Handle(_ context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	switch r.Method {
	case methodSubmit, methodCancel, methodRelease:
		h.jobMessages.add(func() {
			result, err := h.m.handleJobMessage(r)
			go h.reply(conn, r, result, err)
		})
	default:
		go h.reply(conn, r, h.m.handle, nil)
	}
}

// responder returns the result of a call, or an error.
type responder func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error)

// reply answers a call with what respond returns, or with err if that is set. It does not answer notifications.
func (h *servingHandler) reply(conn *jsonrpc2.Conn, r *jsonrpc2.Request, respond responder, err error) {
	jsonrpc2.HandlerWithError(func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		if err != nil || respond == nil {
			return nil, err
		}
		return respond(ctx, conn, r)
	}).Handle(h.ctx, conn, r)
}

// handleJobMessage applies a message about a job. For a submission, it returns a function that waits for the job's
// outcome.
func (m *Mesh) handleJobMessage(r *jsonrpc2.Request) (responder, error) {
	if r.Method == methodSubmit {
		return m.handleSubmission(r)
	}
	var notification JobParams
	if err := json.Unmarshal(paramsOf(r), &notification); err != nil {
		return nil, Error.Wrap(err)
	}
	job := dispatch.JobID(notification.ID, notification.Run)
	switch {
	case r.Method == methodCancel:
		m.o.Jobs.Cancel(job)
	case notification.InputsRead:
		m.o.Jobs.InputsRead(job)
	default:
		m.o.Jobs.Release(job, dispatch.EngineReport{Failed: notification.EngineFailed, Load: decodeLoad(notification.EngineLoad)})
	}
	return nil, nil
}

// handleSubmission admits a job and returns a function that waits for its outcome and reports its results meanwhile.
func (m *Mesh) handleSubmission(r *jsonrpc2.Request) (responder, error) {
	var j Job
	if err := json.Unmarshal(paramsOf(r), &j); err != nil {
		return nil, Error.Wrap(err)
	}
	if m.isLeaving() {
		return func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return MovedOutcome(true), nil }, nil
	}
	await := m.o.Jobs.Admit(j)
	return func(ctx context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) (any, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-conn.DisconnectNotify():
				cancel()
			case <-ctx.Done():
			}
		}()
		return await(ctx, func(results []dispatch.StageResults) {
			if err := conn.Notify(ctx, methodResults, JobResults{ID: j.ID, Run: j.Run, Results: results}); err != nil {
				m.o.Logger.Warn("results not sent to the submitter", "request", j.ID, "error", err)
			}
		}), nil
	}, nil
}

// paramsOf returns the parameters of a message, or a JSON null if it has none.
func paramsOf(r *jsonrpc2.Request) json.RawMessage {
	if r.Params == nil {
		return json.RawMessage("null")
	}
	return *r.Params
}

// sequence runs functions one at a time, in the order in which they were added, without blocking the caller.
type sequence struct {
	mu      sync.Mutex
	pending []func()
	running bool
}

// add runs f after all functions that were added before have returned.
func (s *sequence) add(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, f)
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run runs the pending functions until there are none.
func (s *sequence) run() {
	for f := s.next(); f != nil; f = s.next() {
		f()
	}
}

// next removes the first pending function and returns it. If there is none, it returns nil and ends run.
func (s *sequence) next() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		s.pending, s.running = nil, false
		return nil
	}
	f := s.pending[0]
	s.pending[0], s.pending = nil, s.pending[1:]
	return f
}
