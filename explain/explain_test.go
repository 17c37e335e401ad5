package explain

import (
	"strings"
	"testing"
)

const log = `
noise
  3.1 entry-a {"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"store does not answer","kind":"config"}
  3.2 entry-b {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"stage call","requests":"x,refused","tasks":3}
  3.3 entry-a {"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"request","request":"refused","outcome":"refused","own":true,"status":503,"reason":"the stages are expected to end after the deadline","took_ms":4,"retry_after_ms":300,"sends":""}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"request","request":"failed","outcome":"answered","own":false,"status":500,"took_ms":40,"sends":"i-1@a answered"}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"request","request":"cut","outcome":"broken off","own":true,"status":502,"reason":"the stream broke off: EOF","took_ms":400,"sends":"i-1@a lost"}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"stage call","requests":"killed","took_ms":400}
`

func TestNewReport(t *testing.T) {
	lines, err := Read(strings.NewReader(log), "file")
	if err != nil || len(lines) != 6 {
		t.Fatal(len(lines), err)
	}
	cases := []struct {
		id, summary         string
		lines, stateChanges int
	}{
		{"refused", "refused as not run after 4 ms: the stages are expected to end after the deadline; told to come back in 300 ms; it was sent to no endpoint", 2, 1},
		{"failed", "an endpoint answered 500 of its own after 40 ms; sent to i-1@a answered", 1, 0},
		{"cut", "the stream was broken off after 400 ms: the stream broke off: EOF; sent to i-1@a lost", 1, 0},
		{"killed", "the entry that took the request logged no end of it: it was ended itself, or its log was cut", 1, 0},
		{"other", "no log names this request", 0, 0},
	}
	for _, c := range cases {
		r := NewReport(c.id, lines)
		if r.Summary != c.summary || len(r.Lines) != c.lines || len(r.StateChanges) != c.stateChanges {
			t.Errorf("%s: %q, %d lines, %d state changes", c.id, r.Summary, len(r.Lines), len(r.StateChanges))
		}
		var b strings.Builder
		if err := r.Write(&b); err != nil || !strings.Contains(b.String(), c.summary) {
			t.Errorf("%s: %v %s", c.id, err, b.String())
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(log)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text), "f")
		if err != nil {
			return
		}
		for _, l := range lines {
			_ = NewReport(l.Text("request"), lines)
		}
	})
}
