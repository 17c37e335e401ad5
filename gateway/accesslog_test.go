package gateway

import (
	"io"
	"testing"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/roster"
)

// The log line of a stream that went on elsewhere says how each attempt before ended.
func TestLogLineSaysWhyAStreamBrokeOff(t *testing.T) {
	var r accessRecord
	for _, err := range []error{io.ErrUnexpectedEOF, errUnnumberedEvent} {
		a := &attempt{endpoint: roster.Candidate{Endpoint: catalog.Endpoint{ID: "s-1", DataCentre: "north", Version: "v1"}}, events: len(r.sends)}
		r.addAttempt(a)
		a.err = err
		r.addStreamEnd(a)
	}
	want := []string{"s-1@north v1 answered with 0 events: unexpected EOF", "s-1@north v1 answered with 1 events: gateway: event without a number"}
	for i, send := range r.sends {
		if send != want[i] {
			t.Errorf("%q, want %q", send, want[i])
		}
	}
}
