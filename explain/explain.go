// Package explain collects what the processes of a deployment logged of one
// request and says in words how it ended and why.
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
	// maxLine bounds one line of a log, in bytes.
	maxLine = 1 << 20
	// before is how long before a request changes of what processes believed are
	// part of its story.
	before = 5 * time.Second
)

// Line is one line of a process's log.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Fields are the line's other members as they stand.
	Fields map[string]json.RawMessage
}

// Text returns a field as text; it is empty when there is none.
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

// Read reads the lines of one log. What is no line of ours is passed over. A
// process's name before the line is taken as its process, else the file's name.
func Read(r io.Reader, name string) ([]Line, error) {
	var lines []Line
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 64<<10), maxLine)
	for in.Scan() {
		if l, ok := parse(in.Text(), name); ok {
			lines = append(lines, l)
		}
	}
	return lines, Error.Wrap(in.Err())
}

func parse(text, name string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{Process: name, Fields: make(map[string]json.RawMessage)}
	if words := strings.Fields(text[:at]); len(words) > 0 {
		l.Process = words[len(words)-1]
	}
	if json.Unmarshal([]byte(text[at:]), &l.Fields) != nil {
		return Line{}, false
	}
	if json.Unmarshal(l.Fields["time"], &l.Time) != nil || json.Unmarshal(l.Fields["msg"], &l.Message) != nil {
		return Line{}, false
	}
	delete(l.Fields, "time")
	delete(l.Fields, "msg")
	return l, true
}

// Report is what is known of one request.
type Report struct {
	ID string
	// Lines touch the request, in order of time.
	Lines []Line
	// StateChanges are changes of what the processes concerned believed, shortly
	// before or while the request ran.
	StateChanges []Line
	// Summary says how the request ended and why.
	Summary string
}

// beliefs are the messages of lines that change what a process believes.
var beliefs = []string{
	"start", "stop", "stopped", "reload", "configuration in force", "data centres out", "peer lost", "peer linked",
	"store does not answer", "store history gone, listing again", "states learnt from a peer", "log lines dropped",
}

// NewReport collects the story of a request.
func NewReport(id string, lines []Line) Report {
	s := Report{ID: id}
	processes := make(map[string]bool)
	for _, l := range lines {
		if touches(l, id) {
			s.Lines = append(s.Lines, l)
			processes[l.Process] = true
		}
	}
	sortByTime(s.Lines)
	if len(s.Lines) == 0 {
		s.Summary = "no log names this request"
		return s
	}
	from, to := s.Lines[0].Time.Add(-before), s.Lines[len(s.Lines)-1].Time
	for _, l := range lines {
		if processes[l.Process] && slices.Contains(beliefs, l.Message) && l.Time.After(from) && !l.Time.After(to) {
			s.StateChanges = append(s.StateChanges, l)
		}
	}
	sortByTime(s.StateChanges)
	s.Summary = cause(s.Lines)
	return s
}

func touches(l Line, id string) bool {
	return l.Text("request") == id || slices.Contains(strings.Split(l.Text("requests"), ","), id)
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// cause reads the request's last line at the entry that took it.
func cause(lines []Line) string {
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
		return "the client left" + after + waitedFor(end)
	case end.Text("outcome") == "broken off":
		return "the stream was broken off" + after + ": " + reason + sentTo(sends)
	case end.Text("own") == "true" && end.Text("retry_after_ms") != "0" && end.Text("retry_after_ms") != "":
		return "refused as not run" + after + ": " + reason + "; told to come back in " + end.Text("retry_after_ms") + " ms" + sentTo(sends)
	case end.Text("own") == "true":
		return "ended by the entry with " + end.Text("status") + after + ": " + reason + sentTo(sends)
	case end.Text("status") >= "500":
		return "an endpoint answered " + end.Text("status") + " of its own" + after + sentTo(sends)
	case end.Text("status") == "" || end.Text("status") == "0":
		return "ended without an answer" + after + ": " + reason + sentTo(sends)
	}
	return "answered with " + end.Text("status") + after + sentTo(sends)
}

func waitedFor(l *Line) string {
	if sends := l.Text("sends"); sends != "" {
		return sentTo(sends)
	}
	return "; it waited for its stages, which were forecast to take " + l.Text("forecast_ms") + " ms"
}

func sentTo(sends string) string {
	if sends == "" {
		return "; it was sent to no endpoint"
	}
	return "; sent to " + sends
}

// Write prints a story for people.
func (s Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", s.ID, s.Summary)
	all := append(slices.Clone(s.Lines), s.StateChanges...)
	sortByTime(all)
	for _, l := range all {
		fmt.Fprintf(&b, "%9s  %-22s %s%s\n", fmt.Sprintf("%+d ms", l.Time.Sub(s.Lines[0].Time).Milliseconds()), l.Process, l.Message, fields(l))
	}
	_, err := io.WriteString(w, b.String())
	return Error.Wrap(err)
}

func fields(l Line) string {
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
