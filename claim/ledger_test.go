package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/platform"
)

// runWithForwarder runs a test in virtual time with one forwarder that uses the store directly.
func runWithForwarder(t *testing.T, o Options, test func(*testing.T, *platform.Memory, *Forwarder)) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.NewMemory(platform.MemoryOptions{})
		o.Store = store
		l := NewLedger(o)
		f := NewForwarder(ForwarderOptions{Ledger: l})
		test(t, store, f)
		f.Close()
		l.Close()
	})
}

func newRequest(key string, a contract.AttemptID) Request {
	return Request{Organisation: "o", Key: key, Fingerprint: "f", Attempt: a}
}

func requireState(t *testing.T, f *Forwarder, r Request, state State) Decision {
	t.Helper()
	d, err := f.Acquire(context.Background(), r)
	if err != nil || d.State != state {
		t.Fatalf("attempt %s: %+v, %v, want %s", r.Attempt, d, err, state)
	}
	return d
}

// TestLateOutcomeOfAReleasedAttempt checks that an attempt whose claim was released and
// granted to another attempt cannot finish or release the claim of the other attempt,
// as an entry would try after a long pause.
func TestLateOutcomeOfAReleasedAttempt(t *testing.T) {
	runWithForwarder(t, Options{Shards: 1}, func(t *testing.T, _ *platform.Memory, f *Forwarder) {
		first, second := newRequest("k", "first"), newRequest("k", "second")
		requireState(t, f, first, Granted)
		if err := f.Release(context.Background(), first); err != nil {
			t.Fatal(err)
		}
		requireState(t, f, second, Granted)
		if err := f.Finish(context.Background(), first, Outcome{Run: contract.Ran}); !NotHolder.Has(err) {
			t.Errorf("late outcome: got %v, want NotHolder", err)
		}
		if err := f.Release(context.Background(), first); err != nil {
			t.Error(err)
		}
		if d := requireState(t, f, newRequest("k", "third"), Held); d.Attempt != second.Attempt {
			t.Errorf("the claim is held by attempt %s", d.Attempt)
		}
		if d, err := f.Acquire(context.Background(), first); err == nil {
			t.Errorf("abandoned attempt: got %+v, want an error", d)
		}
	})
}

// TestOutcomeReplayAndKeyReuse checks that an outcome is replayed, that a body above the
// limit is not stored, and that another call with the same key is detected.
func TestOutcomeReplayAndKeyReuse(t *testing.T) {
	runWithForwarder(t, Options{Shards: 1, MaxOutcomeBytes: 16}, func(t *testing.T, _ *platform.Memory, f *Forwarder) {
		for key, body := range map[string]string{"small": `{"a":1}`, "large": `"` + strings.Repeat("x", 100) + `"`} {
			r := newRequest(key, "first")
			requireState(t, f, r, Granted)
			if err := f.Finish(context.Background(), r, Outcome{Run: contract.Ran, Body: json.RawMessage(body)}); err != nil {
				t.Fatal(err)
			}
			o := requireState(t, f, newRequest(key, "second"), Finished).Outcome
			kept := string(o.Body) == body
			if o.Run != contract.Ran || kept != (key == "small") || !kept && o.Code != contract.CodeOutcomeUnknown {
				t.Errorf("%s: %+v", key, o)
			}
			r.Attempt, r.Fingerprint = "third", "other"
			requireState(t, f, r, KeyReused)
		}
	})
}

// TestStoreDownIsRefusedAtOnce checks that claims are refused without delay during a
// store outage of ten minutes, that the store receives only infrequent probes, and that
// claims are granted again soon after the outage.
func TestStoreDownIsRefusedAtOnce(t *testing.T) {
	const outage, interval = 10 * time.Minute, 100 * time.Millisecond
	runWithForwarder(t, Options{Shards: 1}, func(t *testing.T, store *platform.Memory, f *Forwarder) {
		requireState(t, f, newRequest("before", "a"), Granted)
		store.SetFaults(platform.Faults{Down: true})
		before, slow := store.Calls(), 0
		for n := range int(outage / interval) {
			sentAt := time.Now()
			if _, err := f.Acquire(context.Background(), newRequest(strconv.Itoa(n), "a")); !Unavailable.Has(err) {
				t.Fatalf("request %d: %v", n, err)
			}
			if time.Since(sentAt) > interval {
				slow++
			}
			time.Sleep(interval)
		}
		if slow > 0 {
			t.Errorf("%d requests were not refused at once", slow)
		}
		calls := store.Calls()
		probes := calls.Reads() + calls.Writes() - before.Reads() - before.Writes()
		if bound := int64(2 * outage / defaultBreakerProbeInterval); probes == 0 || probes > bound {
			t.Errorf("%d calls to the store during the outage, want 1 to %d", probes, bound)
		}
		store.SetFaults(platform.Faults{})
		time.Sleep(2 * defaultBreakerProbeInterval)
		requireState(t, f, newRequest("after", "a"), Granted)
	})
}

// TestKeysExpireAfterRetention checks that a key is remembered for the retention period
// after its last change, even if the writer changes, and that it expires together with
// the objects that hold it.
func TestKeysExpireAfterRetention(t *testing.T) {
	runWithForwarder(t, Options{Shards: 1, SegmentBytes: 1}, func(t *testing.T, store *platform.Memory, f *Forwarder) {
		r := newRequest("k", "first")
		requireState(t, f, r, Granted)
		if err := f.Finish(context.Background(), r, Outcome{Run: contract.Ran}); err != nil {
			t.Fatal(err)
		}
		for n := range 11 { // other claims advance the shard's clock
			time.Sleep(defaultRetention / 12)
			requireState(t, f, newRequest("other"+strconv.Itoa(n), "x"), Granted)
		}
		successor := NewLedger(Options{Store: store, SegmentBytes: 1})
		g := NewForwarder(ForwarderOptions{Ledger: successor})
		requireState(t, g, newRequest("k", "second"), Finished)
		for n := range 14 {
			time.Sleep(defaultRetention / 12)
			requireState(t, g, newRequest("later"+strconv.Itoa(n), "x"), Granted)
		}
		requireState(t, g, newRequest("k", "third"), Granted)
		g.Close()
		successor.Close()
		objects, err := store.List(context.Background(), "claims/0/segment/000000000000")
		if err != nil || len(objects) > 0 {
			t.Errorf("the first segment was not deleted: %v, %v", objects, err)
		}
	})
}
