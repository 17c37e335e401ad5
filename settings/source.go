package settings

import "sync/atomic"

// Source provides the snapshot in force in this process.
type Source interface {
	// Current returns the snapshot of the highest version seen, or nil if there is none yet.
	Current() *Snapshot
}

// Fixed is a Source whose snapshot is set explicitly, for tests and demos.
type Fixed struct{ p atomic.Pointer[Snapshot] }

// NewFixed returns a Fixed that provides s.
func NewFixed(s *Snapshot) *Fixed {
	f := &Fixed{}
	f.p.Store(s)
	return f
}

// Set replaces the snapshot that f provides.
func (f *Fixed) Set(s *Snapshot) { f.p.Store(s) }

// Current implements Source.
func (f *Fixed) Current() *Snapshot { return f.p.Load() }
