// Package memorybudget bounds the memory that a process holds for others, such as the responses of endpoints.
package memorybudget

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of reservations that the budget does not allow.
var Error = errs.Class("memory budget")

// Exempt is the part of each reservation that does not count, in bytes. What is of the usual size never fails for what
// others hold.
const Exempt = 16 << 10

// Budget bounds the memory that all reservations hold together. An owner may hold as much as is left free: alone half
// of the budget, and as one of n that ask for all they can get the share 1/(n+1). Some of it is therefore always left
// for the other owners. It is safe for concurrent use.
type Budget struct {
	total int64
	// reclaim makes an owner release some of what it holds; nil does not.
	reclaim func(owner string) bool

	mu      sync.Mutex
	held    int64
	byOwner map[string]int64
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget { return &Budget{total: total, byOwner: make(map[string]int64)} }

const (
	// reclaimWait is the time after which a reservation is tried again while memory is released, at most reclaimTries times.
	reclaimWait  = 10 * time.Millisecond
	reclaimTries = 25
)

// OnShortage sets a function that is called with the owner of a reservation that the budget does not allow. It reports whether
// the owner is about to release memory; the reservation is tried again then. It must be called before the budget is used.
func (b *Budget) OnShortage(reclaim func(owner string) bool) { b.reclaim = reclaim }

// takeReclaimed is like take, but makes the owner release memory as long as the budget does not allow as much.
func (b *Budget) takeReclaimed(owner string, n int64) error {
	err := b.take(owner, n)
	for try := 0; err != nil && try < reclaimTries && b.reclaim != nil && b.reclaim(owner); try++ {
		time.Sleep(reclaimWait)
		err = b.take(owner, n)
	}
	return err
}

// Held returns the number of bytes that all reservations hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// take adds n bytes to those that an owner holds. It returns an error, and adds nothing, if the owner would hold more
// than is left free.
func (b *Budget) take(owner string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.byOwner[owner]
	if own+n > b.total-b.held-n {
		return Error.New("%s holds %d bytes and asks for %d more, all hold %d of %d", owner, own, n, b.held, b.total)
	}
	b.held += n
	b.byOwner[owner] = own + n
	return nil
}

// put gives back n of the bytes that an owner holds.
func (b *Budget) put(owner string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if b.byOwner[owner] -= n; b.byOwner[owner] == 0 {
		delete(b.byOwner, owner)
	}
}

// Reservation is what is held for one thing, such as a response. It is safe for concurrent use.
type Reservation struct {
	budget *Budget
	owner  string

	mu       sync.Mutex
	taken    int64
	released bool
}

// Reserve returns a reservation of nothing yet. The owner is also named in errors.
func (b *Budget) Reserve(owner string) *Reservation { return &Reservation{budget: b, owner: owner} }

// Resize sets the number of bytes that are held. It may wait for others to release memory. It returns an error, and changes nothing, if the budget does not allow
// that many or the reservation has been released.
func (r *Reservation) Resize(n int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return Error.New("%s: the reservation has been released", r.owner)
	}
	n = max(0, n-Exempt)
	switch {
	case n > r.taken:
		if err := r.budget.takeReclaimed(r.owner, n-r.taken); err != nil {
			return err
		}
	case n < r.taken:
		r.budget.put(r.owner, r.taken-n)
	}
	r.taken = n
	return nil
}

// Release gives back all that is held, for good.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken > 0 {
		r.budget.put(r.owner, r.taken)
	}
	r.taken, r.released = 0, true
}
