package gateway

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// checkEventStream returns an error if the header of a response states that its body is not a stream of events.
func checkEventStream(h http.Header) error {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	if mediaType = strings.TrimSpace(mediaType); mediaType != "" && !strings.EqualFold(mediaType, "text/event-stream") {
		return Error.New("%q in place of a stream of events", mediaType)
	}
	if encoding := h.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return Error.New("a stream of events with encoding %q", encoding)
	}
	return nil
}

// eventFields are the fields of the event-stream format.
var eventFields = [][]byte{[]byte("id"), []byte("event"), []byte("data"), []byte("retry")}

// platformFieldPrefix begins the names of the fields that the platform adds to events.
var platformFieldPrefix = []byte("azurelead-")

// parseEvent returns the number of an event, or 0 if it has none. raw is the whole event with the empty line. It
// returns errNotAnEvent if a line is no field or comment, the number is not positive or stated twice, or only some
// lines end with a carriage return.
func parseEvent(raw []byte) (id int64, err error) {
	lineEnd := []byte("\n")
	if bytes.HasSuffix(raw, []byte("\r\n")) {
		lineEnd = []byte("\r\n")
	}
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, lineEnd)
		raw = rest
		if bytes.ContainsAny(line, "\r\n") {
			return 0, errNotAnEvent
		}
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isEventField(name) {
			return 0, errNotAnEvent
		}
		if string(name) != "id" {
			continue
		}
		if id != 0 {
			return 0, errNotAnEvent
		}
		if id, err = parseEventID(value); err != nil {
			return 0, err
		}
	}
	return id, nil
}

// carriesData reports whether the event has a data field, and is not just a comment.
func (ev event) carriesData() bool {
	return bytes.HasPrefix(ev.raw, []byte("data")) || bytes.Contains(ev.raw, []byte("\ndata"))
}

func isEventField(name []byte) bool {
	for _, field := range eventFields {
		if bytes.Equal(name, field) {
			return true
		}
	}
	return bytes.HasPrefix(name, platformFieldPrefix)
}

// parseEventID parses the number of an event. Events are numbered from 1.
func parseEventID(value []byte) (int64, error) {
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
	if err != nil || id == 0 {
		return 0, errNotAnEvent
	}
	return int64(id), nil
}
