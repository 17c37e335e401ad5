// Package gossip joins what a process spreads on its links: the version of the
// settings and the marks of requests that crash endpoints.
package gossip

import (
	"context"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
)

// Marks is the table of suspect requests as links spread it.
type Marks interface {
	// Suspects returns the marks to pass on.
	Suspects() []link.Suspect
	// Mark returns the request's mark, or nil if it has none.
	Mark(digest string) *link.Suspect
	// Merge takes a peer's marks in.
	Merge(marks []link.Suspect)
}

// Adapter is the link.Gossip of a process. Marks may be nil.
type Adapter struct {
	Follower *settings.Follower
	Marks    Marks
}

var _ link.Gossip = Adapter{}

// Version implements link.Gossip.
func (s Adapter) Version() link.Version { return s.Follower.Version() }

// Saw implements link.Gossip.
func (s Adapter) Saw(v link.Version, fetch func(context.Context, link.Version) (link.SettingsResult, error)) {
	s.Follower.Saw(v, fetch)
}

// Changes implements link.Gossip.
func (s Adapter) Changes(have link.Version) (link.SettingsResult, error) {
	return s.Follower.Changes(have)
}

// Suspects implements link.Gossip.
func (s Adapter) Suspects() []link.Suspect {
	if s.Marks == nil {
		return nil
	}
	return s.Marks.Suspects()
}

// Mark implements link.Marker.
func (s Adapter) Mark(digest string) *link.Suspect {
	if s.Marks == nil {
		return nil
	}
	return s.Marks.Mark(digest)
}

// Merge implements link.Gossip.
func (s Adapter) Merge(marks []link.Suspect) {
	if s.Marks != nil {
		s.Marks.Merge(marks)
	}
}
