package peers

import (
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// After a change all entries ask the few that know it. Some are served at a time; one that stops reading
// or has all parts makes room for the next.
func TestTransferQueue(t *testing.T) {
	q := newTransferQueue()
	var conns []*jsonrpc2.Conn
	for range maxServedTransfers + 2 {
		conns = append(conns, new(jsonrpc2.Conn))
	}
	served, waiting := conns[:maxServedTransfers], conns[maxServedTransfers:]
	start := time.Now()
	for _, c := range served {
		if !q.admit(c, start) {
			t.Error("a peer was rejected although there was room")
		}
	}
	later := start.Add(pingTimeout / 2)
	if q.admit(waiting[0], later) {
		t.Errorf("%d peers are served at a time", maxServedTransfers+1)
	}
	if !q.admit(served[0], later) {
		t.Error("a served peer was rejected midway")
	}
	ended := q.ended
	q.end(waiting[0]) // it was not served
	select {
	case <-ended:
		t.Error("the end of a transfer that had not begun was announced")
	default:
	}
	q.end(served[0])
	select {
	case <-ended:
	default:
		t.Error("the end of a transfer was not announced")
	}
	if !q.admit(waiting[0], later) {
		t.Error("no room after the end of a transfer")
	}
	// Of those served, served[1] has not read since the start.
	if !q.admit(waiting[1], start.Add(pingTimeout+time.Millisecond)) {
		t.Error("a peer that stopped reading kept its turn")
	}
}
