package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// caller is a request that waits for the result of a flight.
type caller struct {
	e       *Entry
	w       http.ResponseWriter
	req     *Request
	f       *flight
	joined  bool
	started time.Time
}

// answer waits for the flight to end, or for ctx, and writes the answer.
func (c *caller) answer(ctx context.Context) {
	select {
	case <-c.f.done:
	case <-ctx.Done():
	}
	p, reports, results := c.outcome(ctx)
	if p != nil {
		writeProblem(c.w, c.req.ID, p, reports)
		c.e.recordRequest(c.req, p, c.started)
		return
	}
	c.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(c.w).Encode(c.buildAnswer(reports, results, true))
	c.e.recordRequest(c.req, nil, c.started)
}

// outcome returns how the request ended for this caller.
func (c *caller) outcome(ctx context.Context) (*contract.Problem, []StageReport, []ServiceResult) {
	select {
	case <-c.f.done:
		reports, results := c.f.snapshot()
		return c.f.failure(), reports, results
	default:
	}
	reports, results, final := c.f.earlyOutcome()
	run := requestRunState(c.req.Pipeline, reports)
	if !final {
		run = run.LeastCertain(contract.MayHaveRun) // the run continues for other callers
	}
	return earlyProblem(ctx, run), reports, results
}

// buildAnswer builds the answer document. Streams omit the text, which they have sent already.
func (c *caller) buildAnswer(reports []StageReport, results []ServiceResult, withText bool) Answer {
	a := Answer{
		RequestID: c.req.ID,
		Pipeline:  c.req.PipelineName,
		Results:   results,
		Count:     c.f.answer.count(),
		Digest:    c.f.answer.digest(),
		Joined:    c.joined,
		Run:       requestRunState(c.req.Pipeline, reports),
		Stages:    reports,
		Cost:      totalUsage(reports),
	}
	if withText {
		a.Answer = c.f.answer.text()
	}
	if c.joined {
		a.Cost = pipeline.Usage{}
	}
	return a
}

// stream sends tokens as they arrive, then the closing event. If the run fails
// before its first token, the caller gets a plain problem response.
func (c *caller) stream(ctx context.Context) {
	flusher := http.NewResponseController(c.w)
	sent := 0
	open := false
	var buf []byte
	for {
		tokens, wait, closed := c.f.answer.next(sent)
		if len(tokens) > 0 {
			c.openStream(&open)
			buf = appendTokens(buf[:0], sent, tokens)
			sent += len(tokens)
			if _, err := c.w.Write(buf); err != nil {
				return
			}
			_ = flusher.Flush()
			continue
		}
		if closed {
			break
		}
		select {
		case <-wait:
			continue
		case <-ctx.Done():
		}
		break
	}
	c.endStream(ctx, open)
	_ = flusher.Flush()
}

func (c *caller) openStream(open *bool) {
	if *open {
		return
	}
	*open = true
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
	c.w.WriteHeader(http.StatusOK)
}

func (c *caller) endStream(ctx context.Context, open bool) {
	p, reports, results := c.outcome(ctx)
	c.e.recordRequest(c.req, p, c.started)
	if p != nil && !open {
		writeProblem(c.w, c.req.ID, p, reports)
		return
	}
	c.openStream(&open)
	if p != nil {
		doc := *p
		doc.RequestID = c.req.ID
		c.writeEvent("problem", ProblemReport{Problem: &doc, Stages: reports})
		return
	}
	c.writeEvent("done", c.buildAnswer(reports, results, false))
}

// writeEvent writes a server-sent event with a JSON body.
func (c *caller) writeEvent(name string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		return
	}
	buf := append([]byte("event: "), name...)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, body...)
	_, _ = c.w.Write(append(buf, "\n\n"...))
}

// appendTokens appends one event per token to buf, numbered from first.
func appendTokens(buf []byte, first int, tokens []string) []byte {
	for i, t := range tokens {
		buf = append(buf, "id: "...)
		buf = strconv.AppendInt(buf, int64(first+i), 10)
		buf = append(buf, "\nevent: token\ndata: {\"n\":"...)
		buf = strconv.AppendInt(buf, int64(first+i), 10)
		buf = append(buf, ",\"text\":"...)
		buf, _ = json.Append(buf, t, 0)
		buf = append(buf, "}\n\n"...)
	}
	return buf
}
