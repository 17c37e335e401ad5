package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/platform"
)

// TestWriterDiesAtEachStep ends the usual writer at each step of the update
// that grants a claim, and of the one that records its outcome. The entry turns
// to the next writer with the same attempt: the claim is granted once, another
// entry finds it held and then finished with the outcome that was acknowledged.
func TestWriterDiesAtEachStep(t *testing.T) {
	for _, action := range []Action{ActionAcquire, ActionFinish} {
		for _, step := range Steps {
			t.Run(string(action)+" "+string(step), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { writerDies(t, action, step) })
			})
		}
	}
}

func writerDies(t *testing.T, action Action, step Step) {
	f := newFleet(1, Options{Store: platform.NewMemory(platform.MemoryOptions{}), Shards: 1, SegmentBytes: 1})
	defer f.close()
	f.lossy = false
	f.granted = nil
	seal(t, f) // a record is there, so that each update seals a segment first
	usual := rank(0, f.live())[0].Agent
	arm := func(a Action) {
		if a == action {
			f.crash(usual, step)
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
	time.Sleep(time.Minute) // late messages and updates end
	if f.hits != 1 {
		t.Errorf("the writer died %d times at %s", f.hits, step)
	}
	if d, err := f.entries[2].Acquire(context.Background(), other); err != nil || d.State != Finished {
		t.Errorf("a minute later: %+v, %v", d, err)
	}
}

func seal(t *testing.T, f *fleet) {
	t.Helper()
	for _, e := range f.entries {
		r := Request{Organisation: "o", Key: "earlier", Fingerprint: "f", Attempt: "earlier"}
		if _, err := e.Acquire(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
}
