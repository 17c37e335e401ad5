package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

func readAll(r io.Reader) (events []event, err error) {
	e := newEventReader(r)
	for {
		ev, err := e.next()
		if err != nil {
			return events, err
		}
		events = append(events, ev)
	}
}

func TestEventsAreWhole(t *testing.T) {
	cases := []struct {
		name, text string
		want       []event
		err        error
	}{
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []event{{[]byte("id: 1\ndata: a\n\n"), 1}, {[]byte("id: 2\ndata: b\n\n"), 2}}, io.EOF},
		{"cut in a line", "id: 1\ndata: a\n\nid: 2\nda", []event{{[]byte("id: 1\ndata: a\n\n"), 1}}, io.ErrUnexpectedEOF},
		{"cut before the empty line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"carriage returns", "id: 7\r\ndata: a\r\n\r\n", []event{{[]byte("id: 7\r\ndata: a\r\n\r\n"), 7}}, io.EOF},
		{"another field before the number", "azurelead-weight-versions: 3\nid: 1\ndata: a\n\n", []event{{[]byte("azurelead-weight-versions: 3\nid: 1\ndata: a\n\n"), 1}}, io.EOF},
		{"no number", "data: a\n\n", []event{{[]byte("data: a\n\n"), 0}}, io.EOF},
		{"nothing", "", nil, io.EOF},
	}
	for _, c := range cases {
		for _, r := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
			got, err := readAll(r)
			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(event{})); diff != "" || !errors.Is(err, c.err) {
				t.Errorf("%s: %v\n%s", c.name, err, diff)
			}
		}
	}
}

// A line longer than the read buffer is read in fragments. A last fragment that holds only the line
// end must not be taken for the empty line that ends an event.
func TestLongLines(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n"
	got, err := readAll(strings.NewReader(text))
	if len(got) != 1 || string(got[0].raw) != text || !errors.Is(err, io.EOF) {
		t.Errorf("got %d events, error %v", len(got), err)
	}
	if _, err := readAll(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+5000))); !errors.Is(err, errEventTooLarge) {
		t.Errorf("endless line: got error %v", err)
	}
}

// For any input, the returned events joined together are a prefix of the input.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\r\n\r\n\n\nid:x\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readAll(strings.NewReader(text))
		joined := ""
		for _, ev := range events {
			joined += string(ev.raw)
		}
		if !strings.HasPrefix(text, joined) {
			t.Errorf("%q is not a prefix of %q", joined, text)
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && joined != text {
			t.Errorf("regular end of stream after %q of %q", joined, text)
		}
	})
}

// A line that is longer than the read buffer was read in fragments, and one that began with "id:" was taken for the
// number of the event: a last event with an earlier number was left out of a stream that looked complete.
func TestFragmentOfLongLineIsNoEventNumber(t *testing.T) {
	for n := 2000; n < 2100; n++ {
		text := "id: 2\ndata: " + strings.Repeat("x", n) + "id: 1\n\n"
		got, err := readAll(strings.NewReader(text))
		if len(got) != 1 || got[0].id != 2 || !errors.Is(err, io.EOF) {
			t.Fatalf("%d bytes before the text: got %d events, number %d, error %v", n, len(got), got[0].id, err)
		}
	}
}
