package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

// tokenEvent is one token of a caller's stream.
type tokenEvent struct {
	N    int    `json:"n"`
	Text string `json:"text"`
}

// streamReader reads the server-sent events of one answer.
type streamReader struct {
	sample  *Sample
	started time.Time
	digest  *contract.Digest
	count   int
}

// readStream reads events up to the closing one.
func (o *Sample) readStream(r io.Reader, started time.Time) {
	s := &streamReader{sample: o, started: started, digest: contract.NewDigest()}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	event := ""
	for lines.Scan() {
		if name, ok := bytes.CutPrefix(lines.Bytes(), []byte("event: ")); ok {
			event = string(name)
			continue
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if ok && s.take(event, data) {
			return
		}
	}
	o.Detail = "the stream ended without its closing event"
}

// take handles one event and reports whether it closed the stream.
func (s *streamReader) take(event string, data []byte) bool {
	switch event {
	case "token":
		return !s.token(data)
	case "done":
		var a entry.Answer
		if json.Unmarshal(data, &a) == nil {
			s.sample.answered(a, s.digest.String(), s.count)
		}
		return true
	case "problem":
		var p entry.ProblemReport
		if json.Unmarshal(data, &p) == nil && p.Problem != nil {
			s.sample.refused(p)
		}
		return true
	}
	return false
}

// token takes one token, and reports whether it was the one due.
func (s *streamReader) token(data []byte) bool {
	var t tokenEvent
	if json.Unmarshal(data, &t) != nil || t.N != s.count {
		s.sample.Detail = "a token is missing or out of order"
		return false
	}
	if s.count == 0 {
		s.sample.FirstToken = time.Since(s.started)
	}
	s.count++
	s.digest.Add(t.Text)
	return true
}
