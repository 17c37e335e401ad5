package settings

import "sync/atomic"

// Source gives the snapshot in force in this process.
type Source interface {
	// Current returns the highest snapshot seen, or nil before the first.
	Current() *Snapshot
}

// Fixed is a Source whose snapshot is set by hand, for tests and demos.
type Fixed struct{ p atomic.Pointer[Snapshot] }

// NewFixed returns a Fixed that serves s.
func NewFixed(s *Snapshot) *Fixed {
	f := &Fixed{}
	f.p.Store(s)
	return f
}

// Set replaces the snapshot.
func (f *Fixed) Set(s *Snapshot) { f.p.Store(s) }

// Current implements Source.
func (f *Fixed) Current() *Snapshot { return f.p.Load() }
