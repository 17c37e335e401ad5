package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// defaultBodyLimit bounds a request body, in bytes, if the configuration sets no limit.
	defaultBodyLimit = 4 << 20
	// maxDiscardBytes and maxDiscardTime bound what is read of the body of a refused request.
	maxDiscardBytes = 64 << 20
	maxDiscardTime  = 30 * time.Second
)

// errBodyUnread is returned for bodies whose end is not reached.
var errBodyUnread = Error.New("the body has not been read to its end")

// readBody reads the request body up to the configured limit, until the request's deadline. It returns a response if
// that fails.
func (q *request) readBody() *response {
	limit := q.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if q.r.ContentLength > limit {
		return bodyTooLarge()
	}
	body, err := q.readUntil(q.deadline, limit+1)
	switch {
	case err != nil && !q.progress.advance(phaseReading):
		return stoppedResponse()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return clientError(http.StatusRequestTimeout, "body not read in time")
	case err != nil:
		q.record.outcome = "body not read"
		return clientError(http.StatusBadRequest, "body not read")
	case int64(len(body)) > limit:
		return bodyTooLarge()
	}
	q.body = body
	return nil
}

func bodyTooLarge() *response {
	return clientError(http.StatusRequestEntityTooLarge, "body too large")
}

// readUntil reads the body to its end, or its first limit bytes, until a deadline.
func (q *request) readUntil(deadline time.Time, limit int64) ([]byte, error) {
	if err := q.boundReading(deadline); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(q.incoming, limit))
}

// boundReading sets the time until which the body is read.
func (q *request) boundReading(deadline time.Time) error {
	if q.incoming.ended {
		return nil // a deadline would end net/http's watch for the client's leaving
	}
	return q.progress.boundReading(func() error { return q.setReadDeadline(deadline) })
}

func (q *request) setReadDeadline(deadline time.Time) error {
	return http.NewResponseController(q.w).SetReadDeadline(deadline)
}

// discardBody reads the rest of the body without keeping it. It returns an error if the end is not reached within
// bounds, or is not to be waited for: the client waits for permission to send, or this entry stops.
func (q *request) discardBody() error {
	if !q.incoming.begun && !q.incoming.ended && strings.EqualFold(q.r.Header.Get("Expect"), "100-continue") {
		return errBodyUnread
	}
	timeout := maxDiscardTime
	if q.headers.Timeout > 0 {
		timeout = min(timeout, q.headers.Timeout-deadlineMargin)
	}
	if err := q.boundReading(q.started.Add(timeout)); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, q.incoming, maxDiscardBytes)
	switch err {
	case io.EOF:
		return nil
	case nil:
		return errBodyUnread
	}
	return err
}

// incomingBody is a request's body as it arrives.
type incomingBody struct {
	body     io.Reader
	progress *progress
	// begun is set once the reading has begun, ended once the end has been read.
	begun, ended bool
}

// newIncomingBody returns the body of a request.
func newIncomingBody(r *http.Request, p *progress) *incomingBody {
	return &incomingBody{body: r.Body, progress: p, ended: r.Body == http.NoBody}
}

// Read implements io.Reader.
func (b *incomingBody) Read(p []byte) (int, error) {
	b.begun = true
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.ended = true
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.progress.unblock()
	}
	return n, err
}
