package coordinate

import "time"

// lock is a mutex for which one may wait for a limited time.
type lock chan struct{}

func newLock() lock { return make(lock, 1) }

// Lock waits for the lock.
func (l lock) Lock() { l <- struct{}{} }

// Unlock gives the lock back.
func (l lock) Unlock() { <-l }

// LockWithin waits for the lock for at most timeout, and reports whether the caller has it.
func (l lock) LockWithin(timeout time.Duration) bool {
	select {
	case l <- struct{}{}:
		return true
	default:
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case l <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}
