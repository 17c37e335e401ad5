package gateway

import (
	"cmp"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/azurelead/azurelead/memorybudget"
)

const (
	// defaultBodyLimit bounds a request body, in bytes, if the configuration sets no limit.
	defaultBodyLimit = 4 << 20
	// defaultUploadBudget is the size of the budget for request bodies if the options name none, in bytes.
	defaultUploadBudget = 64 << 20
	// maxDiscardTime bounds the reading of a refused request's body.
	maxDiscardTime = 30 * time.Second
)

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
	body, err := q.readUntil(q.deadline, limit)
	switch {
	case memorybudget.TooLarge.Has(err):
		return bodyTooLarge()
	case memorybudget.Error.Has(err):
		return notRunResponse(err.Error(), busyRetryAfter)
	case err != nil && !q.progress.advance(phaseReading):
		return stoppedResponse()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return clientError(http.StatusRequestTimeout, "body not read in time")
	case err != nil:
		q.record.outcome = "body not read"
		return clientError(http.StatusBadRequest, "body not read")
	}
	q.body = body
	q.gw.opts.OnRead(q.r.Context())
	return nil
}

func bodyTooLarge() *response {
	return clientError(http.StatusRequestEntityTooLarge, "body too large")
}

// readUntil reads the body to its end, up to limit bytes, until a deadline. It counts towards the budget until the end of
// the request.
func (q *request) readUntil(deadline time.Time, limit int64) ([]byte, error) {
	if err := q.boundReading(deadline); err != nil {
		return nil, err
	}
	owner := "uploads of " + cmp.Or(q.organisationName(), "all clients")
	held := q.gw.opts.Uploads.Reserve(owner)
	q.kept.add(held.Release)
	if !q.incoming.Ended() {
		q.gw.opts.OnUpload(q.r.Context(), owner)
	}
	body, err := memorybudget.Read(q.incoming, memorybudget.ReadOptions{Length: q.r.ContentLength, Limit: limit, Hold: held.Resize})
	q.noteExpiry(err)
	return body, err
}

// boundReading sets the time until which the body is read.
func (q *request) boundReading(deadline time.Time) error {
	if q.incoming.Ended() {
		return nil
	}
	return q.progress.boundReading(func() error { return q.setReadDeadline(deadline) })
}

func (q *request) setReadDeadline(deadline time.Time) error {
	return http.NewResponseController(q.w).SetReadDeadline(deadline)
}

// noteExpiry records that a read ended at its deadline, which ends the context of the client's connection.
func (q *request) noteExpiry(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.progress.unblock()
	}
}

// discardBody reads the rest of the body without keeping it. It returns an error if the end is not reached within
// bounds, or is not to be waited for.
func (q *request) discardBody() error {
	timeout := maxDiscardTime
	if q.headers.Timeout > 0 {
		timeout = min(timeout, q.headers.Timeout-deadlineMargin)
	}
	if err := q.boundReading(q.started.Add(timeout)); err != nil {
		return err
	}
	err := q.incoming.Discard()
	q.noteExpiry(err)
	return err
}
