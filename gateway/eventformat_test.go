package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Bytes that are no event were passed on between the events of a stream: an event is one in the platform's form, or the
// stream has broken off there.
func TestBytesThatAreNoEventEndStream(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	cases := []struct{ name, text string }{
		{"error response", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed\n\n"},
		{"error response inside an event", "id: 2\ndata: HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed"},
		{"error response without a field inside an event", "id: 2\ndata: HTTP/1.1 500 Internal Server Error\r\n\r\nfailed"},
		{"text", "the engine has failed\n\n"},
		{"JSON", "{\"error\":\"the engine has failed\"}\n\n"},
		{"HTML", "<html>\n<p>id: 2</p>\n</html>\n\n"},
		{"text after a number", "id: 2\nthe engine has failed\n\n"},
		{"no number", "id: x\ndata: b\n\n"},
		{"number without a value", "id\ndata: b\n\n"},
		{"number zero", "id: 0\ndata: b\n\n"},
		{"negative number", "id: -2\ndata: b\n\n"},
		{"number with a sign", "id: +2\ndata: b\n\n"},
		{"number too large", "id: 9223372036854775808\ndata: b\n\n"},
		{"number with a zero byte", "id: 2\x00\ndata: b\n\n"},
		{"two numbers", "id: 2\ndata: b\nid: 3\n\n"},
		{"carriage return inside a line", "id: 2\ndata: b\rid: 3\n\n"},
		{"carriage returns only", "id: 2\rdata: b\r\r\n\n"},
		{"different line ends", "id: 2\r\ndata: b\n\n"},
		{"chunk size", "f\r\nid: 2\r\ndata: b\r\n\r\n"},
	}
	for _, c := range cases {
		got, err := readAll(strings.NewReader(first + c.text))
		if len(got) != 1 || !errors.Is(err, errNotAnEvent) {
			t.Errorf("%s: got %d events, error %v", c.name, len(got), err)
		}
	}
}

// What the platform and the event-stream format allow in an event is passed on.
func TestEventsInThePlatformsForm(t *testing.T) {
	cases := []struct {
		text string
		id   int64
		data bool
	}{
		{"azurelead-weight-versions: 3\nid: 7\ndata: b\n\n", 7, true},
		{"id:7\nevent: token\nretry: 1000\ndata\ndata: HTTP/1.1 500 Internal Server Error\n\n", 7, true},
		{": comment: with data\r\nid: 07\r\ndata:\r\n\r\n", 7, true},
		{"data: b\n\n", 0, true},
		{": comment\n\n", 0, false},
		{": data\n\n", 0, false},
		{"\r\n", 0, false},
	}
	for _, c := range cases {
		got, err := readAll(strings.NewReader(c.text))
		if len(got) != 1 || string(got[0].raw) != c.text || got[0].id != c.id || got[0].carriesData() != c.data || !errors.Is(err, io.EOF) {
			t.Errorf("%q: got %+v, error %v", c.text, got, err)
		}
	}
}

// A response of another type is not relayed as a stream, even if its text can be taken for one.
func TestResponseOfAnotherTypeIsNoStream(t *testing.T) {
	cases := []struct {
		contentType, encoding string
		ok                    bool
	}{
		{"text/event-stream", "", true},
		{"Text/Event-Stream; charset=utf-8", "identity", true},
		{"", "", true},
		{"text/plain; charset=utf-8", "", false},
		{"application/json", "", false},
		{"text/html", "", false},
		{"text/event-streams", "", false},
		{"text/event-stream", "gzip", false},
	}
	for _, c := range cases {
		err := checkEventStream(http.Header{"Content-Type": {c.contentType}, "Content-Encoding": {c.encoding}})
		if (err == nil) != c.ok {
			t.Errorf("%q, %q: %v", c.contentType, c.encoding, err)
		}
	}
}
