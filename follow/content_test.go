package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

// largeObject returns an object of n bytes that cannot be compressed.
func largeObject(name string, revision int64, n int) fleet.Object {
	random := rand.New(rand.NewPCG(uint64(revision), 2))
	text := make([]byte, n)
	for i := range text {
		text[i] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+-"[random.IntN(64)]
	}
	return fleet.Object{Name: name, Revision: revision, Spec: json.RawMessage(`"` + string(text) + `"`)}
}

// followerOf returns a follower that knows some objects.
func followerOf(revision int64, objects ...fleet.Object) *Follower {
	f := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	f.replaceState("k", point{revision: revision}, objects, true)
	return f
}

// A configuration is one object, which thousands of routes make as large as the store allows. The parts
// that have arrived must not be lost when a peer fails: another one has the same content.
func TestLargeStateContinuesAtAnotherPeer(t *testing.T) {
	object := largeObject("main", 9, 500<<10)
	first, second := followerOf(9, object), followerOf(12, object)
	receiver := followerOf(3, largeObject("main", 3, 500<<10))
	refer := func(from *Follower) State {
		states := from.StatesSince(receiver.StaleKinds(from.Digests()))
		if len(states) != 1 || states[0].Content == nil || len(states[0].Objects)+len(states[0].Compressed) > 0 {
			t.Fatalf("%d states, want one that refers to its content", len(states))
		}
		return states[0]
	}
	var d Download
	// read reads up to a number of parts and returns the number of bytes read.
	read := func(from *Follower, parts int) (bytes int) {
		if err := d.Resume(refer(from)); err != nil {
			t.Fatal(err)
		}
		for range parts {
			request, more := d.Next()
			if !more {
				break
			}
			p := from.ReadPart(request)
			bytes += len(p.Data)
			if err := d.Add(p); err != nil {
				t.Fatal(err)
			}
		}
		return bytes
	}
	before := read(first, 5)
	size := refer(second).Content.Size
	if rest := read(second, 1000); before == 0 || before+rest != size {
		t.Errorf("read %d and %d bytes of a content of %d", before, rest, size)
	}
	state, err := d.State()
	if err != nil {
		t.Fatal(err)
	}
	if newer, missing := receiver.ApplyStates([]State{state}); len(newer) != 1 || len(missing) != 0 {
		t.Errorf("newer %v, missing %v", newer, missing)
	}
	if receiver.Digests()[0].Checksum != second.Digests()[0].Checksum {
		t.Error("the receiver has another state than its peer")
	}
}

// An entry that does not know parts receives the compressed state in one message, as before.
func TestLargeStateForAnEntryWithoutParts(t *testing.T) {
	f := followerOf(9, largeObject("main", 9, 500<<10))
	states := f.StatesSince([]Position{{Kind: "k", Revision: 3}})
	if len(states) != 1 || states[0].Content != nil || len(states[0].Compressed) == 0 {
		t.Fatal("want one state with its content")
	}
	receiver := followerOf(3, object("main", 3))
	if newer, _ := receiver.ApplyStates(states); len(newer) != 1 {
		t.Error("the state was not taken")
	}
}

// A content that a peer has replaced can still be read, or a store that changes often would leave slow
// entries without any newer state. Much older ones are dropped.
func TestReplacedContentCanStillBeRead(t *testing.T) {
	f := followerOf(1, largeObject("main", 1, 100<<10))
	var requests []PartRequest
	for revision := int64(2); revision < 2+maxContents+1; revision++ {
		f.replaceState("k", point{revision: revision}, []fleet.Object{largeObject("main", revision, 100<<10)}, true)
		ref := f.StatesSince([]Position{{Kind: "k", ReadsParts: true}})[0].Content
		requests = append(requests, PartRequest{Kind: "k", ID: ref.ID})
	}
	for i, r := range requests {
		if got, want := len(f.ReadPart(r).Data) > 0, i > 0; got != want {
			t.Errorf("content %d of %d can be read: %t, want %t", i+1, len(requests), got, want)
		}
	}
}

// Entries that have heard of a fleet's restart up to different points must read one content: compressing
// another for each of them would evict those that are being read, and none would be read to its end.
func TestReceiversAtDifferentPointsReadOneContent(t *testing.T) {
	var objects []fleet.Object
	for i := range 40 {
		objects = append(objects, largeObject(fmt.Sprint("e", i), int64(10+i), 8<<10))
	}
	f := followerOf(50, objects...)
	ids := make(map[string]bool)
	for revision := int64(1); revision < 20; revision++ {
		s := f.StatesSince([]Position{{Kind: "k", Revision: revision, ReadsParts: true}})[0]
		if s.Content == nil || !s.Full {
			t.Fatalf("from revision %d: no full state in parts", revision)
		}
		ids[s.Content.ID] = true
	}
	if len(ids) != 1 {
		t.Errorf("%d contents for one state", len(ids))
	}
	if s := f.StatesSince([]Position{{Kind: "k", Revision: 45, ReadsParts: true}})[0]; s.Full || len(s.Compressed) == 0 {
		t.Error("a few changed objects are not sent alone")
	}
}

func TestMalformedContentIsRejected(t *testing.T) {
	ref := func(size int) State {
		return State{Kind: "k", Content: &ContentRef{ID: contentID([]byte("abcdef")), Size: size}}
	}
	cases := []struct {
		name  string
		state State
		parts []string
	}{
		{"no reference", State{Kind: "k"}, nil},
		{"empty", ref(0), nil},
		{"negative size", ref(-1), nil},
		{"too large", ref(maxContentBytes + 1), nil},
		{"part without data", ref(6), []string{"abc", ""}},
		{"more than announced", ref(6), []string{"abc", "defg"}},
		{"another content", ref(6), []string{"abc", "xyz"}},
	}
	for _, c := range cases {
		var d Download
		err := d.Resume(c.state)
		for _, p := range c.parts {
			if err == nil {
				err = d.Add(Part{Data: []byte(p)})
			}
		}
		if err == nil {
			_, err = d.State()
		}
		if err == nil {
			t.Errorf("%s: accepted", c.name)
		}
	}
	f := followerOf(1, largeObject("main", 1, 100<<10))
	id := f.StatesSince([]Position{{Kind: "k", ReadsParts: true}})[0].Content.ID
	for _, r := range []PartRequest{{Kind: "k", ID: id, Offset: -1}, {Kind: "k", ID: id, Offset: 1 << 30}, {Kind: "k", ID: "x"}, {Kind: "x", ID: id}} {
		if p := f.ReadPart(r); len(p.Data) > 0 {
			t.Errorf("request %+v returned %d bytes", r, len(p.Data))
		}
	}
}

// An entry that leaves the store to others must read it itself when the state that they announce does not
// arrive, and leave it to them again afterwards.
func TestOverdueStateIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var reads []time.Time
		s := &fakeStore{}
		s.watch = func(ctx context.Context, _ int64) (fleet.Changes, error) {
			reads = append(reads, time.Now())
			return fleet.Changes{Revision: 9, Objects: []fleet.Object{object("a", 9)}}, nil
		}
		f := newFollower(s, func(map[string]fleet.Object, bool) {})
		f.o.ReadsStore = func() bool { return false }
		f.replaceState("k", point{revision: 5}, []fleet.Object{object("a", 5)}, false)
		peer := followerOf(9, object("a", 9))
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		if len(reads) != 0 {
			t.Errorf("%d reads before a newer state was announced", len(reads))
		}
		announced := time.Now()
		for i := range 100 {
			f.StaleKinds(peer.Digests())
			if i == 5 && f.Behind() != 500*time.Millisecond {
				t.Errorf("behind by %v half a second after the announcement", f.Behind())
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(reads) != 1 || reads[0].Sub(announced) < maxBehind || reads[0].Sub(announced) > maxBehind+2*idlePollInterval {
			t.Errorf("reads %v, want one about %v after %v", reads, maxBehind, announced)
		}
		if f.Digests()[0].Checksum != peer.Digests()[0].Checksum {
			t.Error("the announced state is still missing")
		}
		if f.Behind() != 0 {
			t.Errorf("behind by %v with the announced state", f.Behind())
		}
		cancel()
		<-done
	})
}
