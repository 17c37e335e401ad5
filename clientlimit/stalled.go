package clientlimit

import (
	"container/heap"
	"time"
)

// stallQueue finds the connection whose client has been behind for longest without visiting all others: the load that
// it answers is a crowd that has taken all connections and opens more, each of which asks for one to be closed. The
// caller holds the guard's lock.
type stallQueue struct {
	list []queued
	// index is where each connection is in the list.
	index map[*Conn]int
	// awaits reports whether a connection's client has to do what the queue is about. The connection's lock is held.
	awaits func(*Conn) bool
}

// queued is a connection in a stallQueue. Its client has been behind since then or since a later time.
type queued struct {
	conn  *Conn
	since time.Time
}

func newStallQueue(awaits func(*Conn) bool) *stallQueue {
	return &stallQueue{index: make(map[*Conn]int), awaits: awaits}
}

// Len implements heap.Interface.
func (q *stallQueue) Len() int { return len(q.list) }

// Less implements heap.Interface.
func (q *stallQueue) Less(i, k int) bool { return q.list[i].since.Before(q.list[k].since) }

// Swap implements heap.Interface.
func (q *stallQueue) Swap(i, k int) {
	q.list[i], q.list[k] = q.list[k], q.list[i]
	q.index[q.list[i].conn], q.index[q.list[k].conn] = i, k
}

// Push implements heap.Interface.
func (q *stallQueue) Push(x any) {
	entry := x.(queued)
	q.index[entry.conn] = len(q.list)
	q.list = append(q.list, entry)
}

// Pop implements heap.Interface.
func (q *stallQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list[len(q.list)-1] = queued{}
	q.list = q.list[:len(q.list)-1]
	delete(q.index, last.conn)
	return last
}

// add adds a connection that is not in the queue.
func (q *stallQueue) add(c *Conn, since time.Time) { heap.Push(q, queued{conn: c, since: since}) }

// remove removes a connection if it is in the queue.
func (q *stallQueue) remove(c *Conn) {
	if i, found := q.index[c]; found {
		heap.Remove(q, i)
	}
}

// stalled returns the connection, other than except, whose client has been behind for longest, for minStall at least, or
// nil if there is none. The search updates only those times in the queue that it reaches.
func (q *stallQueue) stalled(now time.Time, except *Conn) *Conn {
	for len(q.list) > 0 {
		first := &q.list[0]
		if now.Sub(first.since) < minStall {
			return nil
		}
		since, behind := first.conn.behindSince(q.awaits)
		if !behind || first.conn == except {
			since = now
		}
		if !since.After(first.since) {
			return first.conn
		}
		first.since = since
		heap.Fix(q, 0)
	}
	return nil
}
