// Package explain collects the log lines of one request from all processes of a deployment and
// summarizes how the request ended and why.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("explain")

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// stateChangeWindow is how long before the first line of a request the state changes of its
	// processes are included in the report.
	stateChangeWindow = 5 * time.Second
)

// Line is a parsed line of a process's log.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Fields holds the remaining JSON members of the line, undecoded.
	Fields map[string]json.RawMessage
}

// Text returns a field as text. It returns the empty string if the line has no such field.
func (l Line) Text(name string) string {
	raw, found := l.Fields[name]
	if !found {
		return ""
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// Read parses the lines of one log and skips lines that are not JSON log records. Line.Process is
// the last word before the JSON object, or name if there is none.
func Read(r io.Reader, name string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text(), name); ok {
			lines = append(lines, l)
		}
	}
	return lines, Error.Wrap(scanner.Err())
}

func parseLine(text, name string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Process: name, Fields: make(map[string]json.RawMessage)}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		l.Process = words[len(words)-1]
	}
	if json.Unmarshal([]byte(text[start:]), &l.Fields) != nil {
		return Line{}, false
	}
	if json.Unmarshal(l.Fields["time"], &l.Time) != nil || json.Unmarshal(l.Fields["msg"], &l.Message) != nil {
		return Line{}, false
	}
	delete(l.Fields, "time")
	delete(l.Fields, "msg")
	return l, true
}

// Report holds the log lines that concern one request.
type Report struct {
	ID string
	// Lines name the request, ordered by time.
	Lines []Line
	// StateChanges are the lines on which a process that logged the request reports a change of its
	// state, shortly before the request or during it.
	StateChanges []Line
	// Summary says in one sentence how the request ended and why.
	Summary string
}

// stateChangeMessages are the log messages that report a change of a process's state.
var stateChangeMessages = []string{
	"start", "stop", "stopped", "reload", "configuration in force", "data centres out", "peer lost", "peer linked",
	"store does not answer", "store history gone, listing again", "states learnt from a peer", "log lines dropped",
}

// NewReport returns the report of the request id, built from the log lines of all processes.
func NewReport(id string, lines []Line) Report {
	r := Report{ID: id}
	processes := make(map[string]bool)
	for _, l := range lines {
		if mentionsRequest(l, id) {
			r.Lines = append(r.Lines, l)
			processes[l.Process] = true
		}
	}
	sortByTime(r.Lines)
	if len(r.Lines) == 0 {
		r.Summary = "no log names this request"
		return r
	}
	from, to := r.Lines[0].Time.Add(-stateChangeWindow), r.Lines[len(r.Lines)-1].Time
	for _, l := range lines {
		if processes[l.Process] && slices.Contains(stateChangeMessages, l.Message) && l.Time.After(from) && !l.Time.After(to) {
			r.StateChanges = append(r.StateChanges, l)
		}
	}
	sortByTime(r.StateChanges)
	r.Summary = summarize(r.Lines)
	return r
}

func mentionsRequest(l Line, id string) bool {
	return l.Text("request") == id || slices.Contains(strings.Split(l.Text("requests"), ","), id)
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// summarize describes the outcome from the last "request" line, which the entry that received the
// request logs when it ends.
func summarize(lines []Line) string {
	var end *Line
	for i := range lines {
		if lines[i].Message == "request" {
			end = &lines[i]
		}
	}
	if end == nil {
		return "the entry that took the request logged no end of it: it was ended itself, or its log was cut"
	}
	after := fmt.Sprintf(" after %s ms", end.Text("took_ms"))
	reason := end.Text("reason")
	sends := end.Text("sends")
	switch {
	case end.Text("outcome") == "client left":
		return "the client left" + after + describeWait(end)
	case end.Text("outcome") == "broken off":
		return "the stream was broken off" + after + ": " + reason + describeSends(sends)
	case end.Text("own") == "true" && end.Text("retry_after_ms") != "0" && end.Text("retry_after_ms") != "":
		return "refused as not run" + after + ": " + reason + "; told to come back in " + end.Text("retry_after_ms") + " ms" + describeSends(sends)
	case end.Text("own") == "true":
		return "ended by the entry with " + end.Text("status") + after + ": " + reason + describeSends(sends)
	case end.Text("status") >= "500":
		return "an endpoint answered " + end.Text("status") + " of its own" + after + describeSends(sends)
	case end.Text("status") == "" || end.Text("status") == "0":
		return "ended without an answer" + after + ": " + reason + describeSends(sends)
	}
	return "answered with " + end.Text("status") + after + describeSends(sends)
}

func describeWait(l *Line) string {
	if sends := l.Text("sends"); sends != "" {
		return describeSends(sends)
	}
	return "; it waited for its stages, which were forecast to take " + l.Text("forecast_ms") + " ms"
}

func describeSends(sends string) string {
	if sends == "" {
		return "; it was sent to no endpoint"
	}
	return "; sent to " + sends
}

// Write prints the report as text, with times relative to the request's first line.
func (r Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", r.ID, r.Summary)
	all := append(slices.Clone(r.Lines), r.StateChanges...)
	sortByTime(all)
	for _, l := range all {
		fmt.Fprintf(&b, "%9s  %-22s %s%s\n", fmt.Sprintf("%+d ms", l.Time.Sub(r.Lines[0].Time).Milliseconds()), l.Process, l.Message, formatFields(l))
	}
	_, err := io.WriteString(w, b.String())
	return Error.Wrap(err)
}

func formatFields(l Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "level" && name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		if text := l.Text(name); text != "" && text != "0" && text != "false" {
			fmt.Fprintf(&b, " %s=%s", name, text)
		}
	}
	return b.String()
}
