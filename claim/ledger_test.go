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

// bubble runs a test of one entry that writes by itself, in virtual time.
func bubble(t *testing.T, o Options, test func(*testing.T, *platform.Memory, *Forwarder)) {
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

func requestOf(key string, a contract.AttemptID) Request {
	return Request{Organisation: "o", Key: key, Fingerprint: "f", Attempt: a}
}

func want(t *testing.T, f *Forwarder, r Request, state State) Decision {
	t.Helper()
	d, err := f.Acquire(context.Background(), r)
	if err != nil || d.State != state {
		t.Fatalf("attempt %s: %+v, %v, want %s", r.Attempt, d, err, state)
	}
	return d
}

// TestLateOutcomeOfAReleasedAttempt lets an entry wake after its claim was
// given to another attempt: what it reports must not end the other's claim.
func TestLateOutcomeOfAReleasedAttempt(t *testing.T) {
	bubble(t, Options{Shards: 1}, func(t *testing.T, _ *platform.Memory, f *Forwarder) {
		first, second := requestOf("k", "first"), requestOf("k", "second")
		want(t, f, first, Granted)
		if err := f.Release(context.Background(), first); err != nil {
			t.Fatal(err)
		}
		want(t, f, second, Granted)
		if err := f.Finish(context.Background(), first, Outcome{Run: contract.Ran}); !NotHolder.Has(err) {
			t.Errorf("late outcome: %v", err)
		}
		if err := f.Release(context.Background(), first); err != nil {
			t.Error(err)
		}
		if d := want(t, f, requestOf("k", "third"), Held); d.Attempt != second.Attempt {
			t.Errorf("held by %s", d.Attempt)
		}
		if d, err := f.Acquire(context.Background(), first); err == nil {
			t.Errorf("an attempt that was given up got %+v", d)
		}
	})
}

// TestOutcomesAndKeys replays an outcome, leaves out one that is too large,
// and tells another call under the same key.
func TestOutcomesAndKeys(t *testing.T) {
	bubble(t, Options{Shards: 1, MaxOutcomeBytes: 16}, func(t *testing.T, _ *platform.Memory, f *Forwarder) {
		for key, body := range map[string]string{"small": `{"a":1}`, "large": `"` + strings.Repeat("x", 100) + `"`} {
			r := requestOf(key, "first")
			want(t, f, r, Granted)
			if err := f.Finish(context.Background(), r, Outcome{Run: contract.Ran, Body: json.RawMessage(body)}); err != nil {
				t.Fatal(err)
			}
			o := want(t, f, requestOf(key, "second"), Finished).Outcome
			kept := string(o.Body) == body
			if o.Run != contract.Ran || kept != (key == "small") || !kept && o.Code != contract.CodeOutcomeUnknown {
				t.Errorf("%s: %+v", key, o)
			}
			r.Attempt, r.Fingerprint = "third", "other"
			want(t, f, r, KeyReused)
		}
	})
}

// TestStoreDownIsRefusedAtOnce asks for claims for ten minutes of an outage:
// they are refused without a wait, the store is asked by rare probes only, and
// claims are granted again soon after it is back.
func TestStoreDownIsRefusedAtOnce(t *testing.T) {
	const outage, every = 10 * time.Minute, 100 * time.Millisecond
	bubble(t, Options{Shards: 1}, func(t *testing.T, store *platform.Memory, f *Forwarder) {
		want(t, f, requestOf("before", "a"), Granted)
		store.SetFaults(platform.Faults{Down: true})
		before, slow := store.Calls(), 0
		for n := range int(outage / every) {
			asked := time.Now()
			if _, err := f.Acquire(context.Background(), requestOf(strconv.Itoa(n), "a")); !Unavailable.Has(err) {
				t.Fatalf("request %d: %v", n, err)
			}
			if time.Since(asked) > every {
				slow++
			}
			time.Sleep(every)
		}
		if slow > 0 {
			t.Errorf("%d requests waited", slow)
		}
		calls := store.Calls()
		probes := calls.Reads() + calls.Writes() - before.Reads() - before.Writes()
		if bound := int64(2 * outage / defaultBreakerPause); probes == 0 || probes > bound {
			t.Errorf("%d calls to a store that is down, bound %d", probes, bound)
		}
		store.SetFaults(platform.Faults{})
		time.Sleep(2 * defaultBreakerPause)
		want(t, f, requestOf("after", "a"), Granted)
	})
}

// TestKeysAreForgotten checks that a key is remembered for the retention after
// its last change, also over a change of the writer, and forgotten with the
// objects that held it.
func TestKeysAreForgotten(t *testing.T) {
	bubble(t, Options{Shards: 1, SegmentBytes: 1}, func(t *testing.T, store *platform.Memory, f *Forwarder) {
		r := requestOf("k", "first")
		want(t, f, r, Granted)
		if err := f.Finish(context.Background(), r, Outcome{Run: contract.Ran}); err != nil {
			t.Fatal(err)
		}
		for n := range 11 { // other claims move the shard's clock
			time.Sleep(defaultRetention / 12)
			want(t, f, requestOf("other"+strconv.Itoa(n), "x"), Granted)
		}
		successor := NewLedger(Options{Store: store, SegmentBytes: 1})
		g := NewForwarder(ForwarderOptions{Ledger: successor})
		want(t, g, requestOf("k", "second"), Finished)
		for n := range 14 {
			time.Sleep(defaultRetention / 12)
			want(t, g, requestOf("later"+strconv.Itoa(n), "x"), Granted)
		}
		want(t, g, requestOf("k", "third"), Granted)
		g.Close()
		successor.Close()
		objects, err := store.List(context.Background(), "claims/0/segment/000000000000")
		if err != nil || len(objects) > 0 {
			t.Errorf("the first segment is kept: %v, %v", objects, err)
		}
	})
}
