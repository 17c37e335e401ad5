package memorybudget

import (
	"fmt"
	"strings"
	"testing"
)

// One owner took all memory, or several of them left nothing for the others.
func TestBudgetIsSharedOut(t *testing.T) {
	for _, c := range []struct{ greedy, share int64 }{{1, 600}, {2, 400}, {3, 300}, {5, 200}} {
		b := New(1200)
		held := make([]*Reservation, c.greedy)
		for i := range held {
			held[i] = b.Reserve(fmt.Sprint(i))
		}
		for n := int64(1); n <= 1200; n++ {
			for _, r := range held {
				_ = r.Resize(Exempt + n) // fails above the share
			}
		}
		for _, r := range held {
			if r.taken != c.share {
				t.Errorf("%d greedy: one holds %d, want %d", c.greedy, r.taken, c.share)
			}
		}
		modest := b.Reserve("modest")
		if err := modest.Resize(Exempt + c.share/2); err != nil {
			t.Errorf("%d greedy: nothing left for another: %v", c.greedy, err)
		}
		for _, r := range append(held, modest) {
			r.Release()
			if err := r.Resize(1); !Error.Has(err) {
				t.Errorf("resized after the release: %v", err)
			}
		}
		if b.held != 0 || len(b.byOwner) != 0 {
			t.Errorf("%d greedy: %d bytes held by %v after all were given back", c.greedy, b.held, b.byOwner)
		}
	}
}

// Small reservations failed while others held all memory.
func TestExemptPartNeverFails(t *testing.T) {
	b := New(0)
	r := b.Reserve("x")
	for _, c := range []struct {
		n  int64
		ok bool
	}{{0, true}, {Exempt, true}, {Exempt + 1, false}, {50, true}} {
		if err := r.Resize(c.n); (err == nil) != c.ok {
			t.Errorf("%d bytes: error %v, want success: %v", c.n, err, c.ok)
		}
	}
}

// What was read was cut at its limit, or grew beyond it.
func TestReadKeepsLimit(t *testing.T) {
	for _, c := range []struct {
		sent, length, limit int64
		held                int64
		ok                  bool
	}{
		{0, -1, 100, 1 << 10, true},
		{100, -1, 100, 1 << 10, true},
		{101, -1, 100, 1 << 10, false},
		{800, 800, 1 << 20, 801, true},
		{200 << 10, -1, 300 << 10, 256 << 10, true},
		{300 << 10, -1, 300 << 10, 300<<10 + 1, true},
		{600 << 10, 600 << 10, 8 << 20, 600<<10 + 1, true},
		{600<<10 + 1, 600 << 10, 8 << 20, 750<<10 + 1, true},
		{300<<10 + 1, -1, 300 << 10, 300<<10 + 1, false},
		{10, 1 << 40, 1 << 41, Exempt, true},
		{0, 101, 100, 0, false},
	} {
		var held int64
		read, err := Read(strings.NewReader(strings.Repeat("x", int(c.sent))), ReadOptions{
			Length: c.length, Limit: c.limit, Hold: func(n int64) error { held = n; return nil },
		})
		if (err == nil) != c.ok || held != c.held || c.ok && int64(len(read)) != c.sent || !c.ok && !(TooLarge.Has(err) && Error.Has(err)) {
			t.Errorf("%+v: %d bytes read, %d held, error %v", c, len(read), held, err)
		}
	}
}

// Those that held memory and did nothing with it kept it from all others.
func TestMemoryIsReclaimed(t *testing.T) {
	b := New(10 << 20)
	var idle []*Reservation
	b.OnShortage(func(owner string) bool {
		if owner != "a" || len(idle) == 0 {
			return false
		}
		idle[0].Release()
		idle = idle[1:]
		return true
	})
	for range 3 {
		r := b.Reserve("a")
		if err := r.Resize(1<<20 + Exempt); err != nil {
			t.Fatal(err)
		}
		idle = append(idle, r)
	}
	if err := b.Reserve("a").Resize(4<<20 + Exempt); err != nil || len(idle) != 1 {
		t.Errorf("%v, %d of 3 are left", err, len(idle))
	}
	if err := b.Reserve("a").Resize(11<<20 + Exempt); !Error.Has(err) || len(idle) != 0 {
		t.Errorf("%v for more than there is, %d are left", err, len(idle))
	}
}
