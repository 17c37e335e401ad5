package roster

import (
	"testing"
	"time"
)

// step is what is recorded of a request: its outcome, or that its stream has begun soundly.
type step struct {
	outcome  Outcome
	progress bool
}

func TestHealthFollowsWholeResponses(t *testing.T) {
	answered, failed, refused := step{outcome: Answered}, step{outcome: Failed}, step{outcome: Refused}
	lost, unreachable, progress := step{outcome: ConnectionLost}, step{outcome: Unreachable}, step{progress: true}
	for _, c := range []struct {
		name  string
		steps []step
		down  bool
	}{
		{"one lost response", []step{lost}, false},
		{"two lost responses", []step{lost, lost}, true},
		{"a whole response between them", []step{lost, answered, lost}, false},
		{"an error of its own between them", []step{lost, failed, lost}, false},
		{"a refusal between them", []step{lost, refused, lost}, true},
		{"streams that break off after their beginning", []step{progress, lost, progress, lost}, true},
		{"the beginning of a stream at a failed endpoint", []step{lost, lost, progress}, false},
		{"the stream breaks off", []step{lost, lost, progress, lost}, true},
		{"the stream ends, another breaks off", []step{lost, lost, progress, answered, lost}, false},
		{"a refusal by a failed endpoint", []step{unreachable, refused}, true},
		{"a whole response of a failed endpoint", []step{unreachable, answered}, false},
	} {
		h := &health{}
		for i, s := range c.steps {
			h.probing = h.down
			if s.progress {
				h.recordProgress()
			} else {
				h.record(epoch.Add(time.Duration(i)*time.Second), s.outcome, time.Millisecond)
			}
			if h.probing {
				t.Errorf("%s: the probe has not ended after step %d", c.name, i)
			}
		}
		if h.down != c.down {
			t.Errorf("%s: down %t, want %t", c.name, h.down, c.down)
		}
	}
}

// Requests in flight that all failed at once put the endpoint into the longest backoff, as if each had tried it anew.
func TestRequestsThatFailTogetherCountAsOneFailure(t *testing.T) {
	for _, c := range []struct {
		name     string
		together int
		probes   int
		want     time.Duration
	}{
		{"two", 2, 0, 2 * minBackoff},
		{"many", 40, 0, 2 * minBackoff},
		{"many, and a probe that fails", 40, 1, 4 * minBackoff},
		{"many, and probes that fail", 40, 9, maxBackoff},
	} {
		h, now := &health{}, epoch
		for range c.together {
			h.record(now, ConnectionLost, 0)
		}
		for range c.probes {
			now = h.retryAt
			h.record(now, ConnectionLost, 0)
		}
		if got := h.retryAt.Sub(now); got != c.want {
			t.Errorf("%s: backoff %v, want %v", c.name, got, c.want)
		}
	}
}

// An engine whose clients leave their streams early was marked as failed by its second lost connection, however long after
// the first, and for longer by each further one.
func TestRareLossesDoNotAddUp(t *testing.T) {
	h := &health{}
	for i := range 5 {
		h.recordProgress()
		if h.record(epoch.Add(time.Duration(i)*time.Hour), ConnectionLost, 0); h.down {
			t.Errorf("the endpoint counts as failed after loss %d", i+1)
		}
	}
}
