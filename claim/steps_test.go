package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/platform"
)

// TestWriterCrashAtEachStep crashes the preferred writer at each step of the update that
// grants a claim, and of the update that records its outcome. The entry sends the same
// attempt to the next writer. The claim must be granted once, and other entries must find
// it held and later finished with the acknowledged outcome.
func TestWriterCrashAtEachStep(t *testing.T) {
	for _, action := range []Action{ActionAcquire, ActionFinish} {
		for _, step := range Steps {
			t.Run(string(action)+" "+string(step), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testWriterCrash(t, action, step) })
			})
		}
	}
}

func testWriterCrash(t *testing.T, action Action, step Step) {
	f := newFleet(1, Options{Store: platform.NewMemory(platform.MemoryOptions{}), Shards: 1, SegmentBytes: 1})
	defer f.close()
	f.lossy = false
	f.granted = nil
	recordEarlierClaim(t, f) // store a record, so that each update seals a segment first
	preferred := rankWriters(0, f.liveWriters())[0].Agent
	arm := func(a Action) {
		if a == action {
			f.crash(preferred, step)
		}
	}
	r := Request{Organisation: "o", Key: "k", Fingerprint: "f", Attempt: "first"}
	arm(ActionAcquire)
	d, err := f.entries[0].Acquire(context.Background(), r)
	if err != nil || d.State != Granted {
		t.Fatalf("acquire: %+v, %v", d, err)
	}
	other := r
	other.Attempt = "second"
	if d, err := f.entries[1].Acquire(context.Background(), other); err != nil || d.State != Held || d.Attempt != r.Attempt {
		t.Fatalf("while held: %+v, %v", d, err)
	}
	arm(ActionFinish)
	if err := f.entries[0].Finish(context.Background(), r, Outcome{Run: contract.Ran, Detail: "whole"}); err != nil {
		t.Fatalf("finish: %v", err)
	}
	if d, err := f.entries[2].Acquire(context.Background(), other); err != nil || d.State != Finished || d.Outcome.Detail != "whole" {
		t.Fatalf("once finished: %+v, %v", d, err)
	}
	time.Sleep(time.Minute) // until late messages and updates have ended
	if f.crashes != 1 {
		t.Errorf("the writer crashed %d times at %s, want 1", f.crashes, step)
	}
	if d, err := f.entries[2].Acquire(context.Background(), other); err != nil || d.State != Finished {
		t.Errorf("a minute later: %+v, %v", d, err)
	}
}

func recordEarlierClaim(t *testing.T, f *fleet) {
	t.Helper()
	for _, e := range f.entries {
		r := Request{Organisation: "o", Key: "earlier", Fingerprint: "f", Attempt: "earlier"}
		if _, err := e.Acquire(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
}
