package clientlimit

import (
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func newGuard(connections int, memory int64) *Guard {
	return New(Options{MaxConnections: connections, HeadMemory: memory, MaxHead: func() int { return 64 << 10 }})
}

// open opens a connection and returns how often it was evicted.
func open(t *testing.T, g *Guard, now time.Time) (*Conn, *int) {
	t.Helper()
	evicted := new(int)
	c, err := g.Open(now, "client", func(bool) { *evicted++ })
	if err != nil {
		t.Fatal(err)
	}
	return c, evicted
}

// A request in progress was cut for the sake of connections that send nothing, or a stalled one kept others out.
func TestStalestWaitingConnectionIsClosed(t *testing.T) {
	g := newGuard(3, 1<<20)
	served, servedEvicted := open(t, g, start)
	served.Handle()
	served.Serve()
	_, firstEvicted := open(t, g, start.Add(time.Second))
	second, secondEvicted := open(t, g, start.Add(2*time.Second))
	if _, err := g.Open(start.Add(1500*time.Millisecond), "client", nil); !TooManyConnections.Has(err) {
		t.Errorf("%v while no connection has stalled", err)
	}
	open(t, g, start.Add(4*time.Second))
	if *firstEvicted != 1 || *secondEvicted != 0 || *servedEvicted != 0 {
		t.Errorf("closed: first %d, second %d, served %d", *firstEvicted, *secondEvicted, *servedEvicted)
	}
	second.Handle()
	second.Serve()
	if _, err := g.Open(start.Add(4500*time.Millisecond), "client", nil); !TooManyConnections.Has(err) {
		t.Errorf("%v while all others are served or new", err)
	}
}

// Short header lines were counted by their bytes, of which they take a hundred times as many once parsed.
func TestLinesCountTowardsMemory(t *testing.T) {
	g := newGuard(0, 4<<20)
	many, _ := open(t, g, start)
	var err error
	lines := 0
	for ; err == nil && lines < 12_000; lines += 100 {
		err = many.Read(start, []byte(strings.Repeat("a:b\r\n", 100)))
	}
	if !NoMemory.Has(err) {
		t.Errorf("%v after %d short lines, want that there is no memory", err, lines)
	}
	many.Close()
	few, _ := open(t, g, start)
	if err := few.Read(start, []byte(strings.Repeat("x", 60<<10))); err != nil {
		t.Errorf("one long line of legal size: %v", err)
	}
	if err := few.Read(start, []byte(strings.Repeat("x", 8<<10))); !HeadTooLarge.Has(err) {
		t.Errorf("%v for a head above the limit", err)
	}
}

// Stalled heads kept an ordinary request out until their time had passed.
func TestStalledHeadsGiveWay(t *testing.T) {
	g := newGuard(0, 2<<20)
	evictions := 0
	for i := range 20 {
		c, err := g.Open(start.Add(time.Duration(i)*time.Millisecond), "crowd", func(bool) { evictions++ })
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Read(start, []byte(strings.Repeat("a:b\r\n", 1000))) // some are refused
	}
	if g.memory.Held() == 0 {
		t.Fatal("the crowd holds nothing")
	}
	ordinary, _ := open(t, g, start)
	if err := ordinary.Read(start, []byte(strings.Repeat("name: value\r\n", 20))); err != nil {
		t.Errorf("an ordinary head beside the crowd: %v", err)
	}
	large, _ := open(t, g, start)
	if err := large.Read(start.Add(2*time.Second), []byte(strings.Repeat("a:b\r\n", 4000))); err != nil || evictions == 0 {
		t.Errorf("a large head after the crowd has stalled: %v, %d closed", err, evictions)
	}
}

// What a request held stayed counted when its connection was used again or closed.
func TestMemoryIsGivenBack(t *testing.T) {
	g := newGuard(0, 4<<20)
	c, _ := open(t, g, start)
	for range 50 {
		if err := c.Read(start, []byte(strings.Repeat("a:b\r\n", 2000))); err != nil {
			t.Fatal(err)
		}
		c.Handle()
		if err := c.Read(start, []byte(strings.Repeat("\n", 1<<20))); err != nil {
			t.Fatalf("a body counted as a head: %v", err)
		}
		c.Await(start)
	}
	c.Close()
	if held := g.memory.Held(); held != 0 || len(g.conns) != 0 {
		t.Errorf("%d bytes and %d connections are left", held, len(g.conns))
	}
}

// A request was served although its client had been sent a 408: its head was completed after the connection had been evicted.
func TestEvictedConnectionTakesNothing(t *testing.T) {
	g := newGuard(1, 1<<20)
	var told []bool
	c, err := g.Open(start, "client", func(inHead bool) { told = append(told, inHead) })
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Read(start, []byte("POST /")); err != nil {
		t.Fatal(err)
	}
	open(t, g, start.Add(2*time.Second))
	if err := c.Read(start.Add(2*time.Second), []byte("x HTTP/1.1\r\n\r\n")); !Evicted.Has(err) {
		t.Errorf("%v for what arrives after the eviction", err)
	}
	if len(told) != 1 || !told[0] {
		t.Errorf("evictions %v, want a single one, while a head was read", told)
	}
}

// openFor opens a connection of an owner, and reports whether that was allowed.
func openFor(g *Guard, now time.Time, owner string) (*Conn, bool) {
	c, err := g.Open(now, owner, func(bool) {})
	return c, err == nil
}

// One address took all connections with requests that were read, which are never closed for others.
func TestOwnerLeavesConnections(t *testing.T) {
	g := newGuard(100, 1<<20)
	served := 0
	for range 200 {
		if c, ok := openFor(g, start, "crowd"); ok {
			c.Handle()
			c.Serve()
			served++
		}
	}
	if served != 75 {
		t.Errorf("one owner holds %d of 100 connections, want 75", served)
	}
	for _, owner := range []string{"second", "third", "fourth"} {
		for range 200 {
			if c, ok := openFor(g, start, owner); ok {
				c.Serve()
			}
		}
	}
	if _, ok := openFor(g, start, "ordinary"); !ok {
		t.Errorf("no connection is left, %d are open", len(g.conns))
	}
}

// An owner of many connections had those of others closed for its own.
func TestLargeOwnerReplacesItsOwn(t *testing.T) {
	g := newGuard(8, 1<<20)
	_, firstEvicted := open(t, g, start)
	for range 6 {
		openFor(g, start.Add(time.Second), "crowd")
	}
	if _, ok := openFor(g, start.Add(10*time.Second), "crowd"); !ok || *firstEvicted != 0 {
		t.Errorf("opened %v, the connection of another owner was closed %d times", ok, *firstEvicted)
	}
	if n := g.owners["crowd"].conns.Len(); n != 5 {
		t.Errorf("the crowd holds %d connections, want 5", n)
	}
}

// A client that sent a byte now and then kept its connection, while one at an ordinary rate is not closed for others.
func TestSlowClientsFallBehind(t *testing.T) {
	for _, c := range []struct {
		name    string
		handled bool
		bytes   int
		evicted int
	}{
		{"a byte of a head", false, 1, 1}, {"bytes of a body", true, 1 << 10, 1}, {"a body at an ordinary rate", true, 16 << 10, 0},
	} {
		g := newGuard(1, 1<<20)
		slow, evicted := open(t, g, start)
		now := start
		for range 20 {
			if c.handled {
				slow.Handle()
			}
			if err := slow.Read(now, make([]byte, c.bytes)); err != nil {
				t.Fatal(c.name, err)
			}
			now = now.Add(500 * time.Millisecond)
		}
		if _, err := g.Open(now, "client", func(bool) {}); *evicted != c.evicted || TooManyConnections.Has(err) != (c.evicted == 0) {
			t.Errorf("%s: closed %d times, want %d, and %v", c.name, *evicted, c.evicted, err)
		}
	}
}

// A client that did not read its response kept its connection for as long as there was more of it.
func TestUnreadResponsesGiveWay(t *testing.T) {
	for _, c := range []struct {
		name string
		// took is how long the client took for each of the earlier writes, and waits for how long the last one has waited.
		took, waits time.Duration
		evicted     int
	}{
		{"not read", 0, 2 * time.Second, 1}, {"just begun", 0, 500 * time.Millisecond, 0},
		{"read slowly", 400 * time.Millisecond, 200 * time.Millisecond, 1}, {"between writes", 0, 0, 0},
	} {
		g := newGuard(1, 1<<20)
		conn, evicted := open(t, g, start)
		conn.Handle()
		conn.Serve()
		now := start
		for range 10 {
			now = now.Add(5 * time.Second) // the endpoint is silent
			conn.BeginWrite(now)
			now = now.Add(c.took)
			conn.EndWrite(now, 100)
		}
		now = now.Add(5 * time.Second)
		if c.waits > 0 {
			conn.BeginWrite(now)
		}
		now = now.Add(c.waits)
		if _, ok := openFor(g, now, "client"); ok != (c.evicted == 1) || *evicted != c.evicted {
			t.Errorf("%s: closed %d times, want %d", c.name, *evicted, c.evicted)
		}
	}
}

// Stalled bodies of one organisation gave way to those of another.
func TestStalledUploadsGiveWayToTheirOwn(t *testing.T) {
	g := newGuard(0, 1<<20)
	own, ownEvicted := open(t, g, start)
	other, otherEvicted := open(t, g, start)
	for i, c := range []*Conn{own, other} {
		c.Handle()
		c.Upload([]string{"a", "b"}[i])
	}
	now := start.Add(time.Minute)
	if !g.EvictUpload(now, "a") || g.EvictUpload(now, "a") || g.EvictUpload(now, "c") || *ownEvicted != 1 || *otherEvicted != 0 {
		t.Errorf("closed: own %d, of another organisation %d", *ownEvicted, *otherEvicted)
	}
	other.Serve()
	if g.EvictUpload(now, "b") || len(g.uploads) != 0 {
		t.Errorf("%d organisations upload after all bodies have been read", len(g.uploads))
	}
}

// The search for a stalled connection visited all of them each time.
func TestSearchForStalledConnectionsIsShort(t *testing.T) {
	const n = 1000
	looks := 0
	q := newStallQueue(func(*Conn) bool { looks++; return true })
	for i := range n {
		at := start.Add(time.Duration(i) * time.Millisecond)
		q.add(&Conn{progressAt: at}, at)
	}
	for range n {
		c := q.stalled(start.Add(time.Minute), nil)
		if c == nil {
			t.Fatal("no connection has stalled")
		}
		q.remove(c)
	}
	if looks > 2*n {
		t.Errorf("%d looks at connections for %d that were closed", looks, n)
	}
}
