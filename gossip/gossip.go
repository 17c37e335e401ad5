// Package gossip combines what a process gossips on its links: the version of the settings
// and the marks of requests that crash endpoints.
package gossip

import (
	"context"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
)

// Marks is a table of suspect requests whose marks are gossiped on links.
type Marks interface {
	// Suspects returns the marks to send to peers.
	Suspects() []link.Suspect
	// Mark returns the request's mark, or nil if it has none.
	Mark(digest string) *link.Suspect
	// Merge merges a peer's marks into the table.
	Merge(marks []link.Suspect)
}

// Adapter implements link.Gossip with a process's settings follower and suspect marks.
type Adapter struct {
	Follower *settings.Follower
	// Marks may be nil.
	Marks Marks
}

var _ link.Gossip = Adapter{}

// Version implements link.Gossip.
func (a Adapter) Version() link.Version { return a.Follower.Version() }

// ObserveVersion implements link.Gossip.
func (a Adapter) ObserveVersion(v link.Version, fetch func(context.Context, link.Version) (link.SettingsResult, error)) {
	a.Follower.ObserveVersion(v, fetch)
}

// Changes implements link.Gossip.
func (a Adapter) Changes(have link.Version) (link.SettingsResult, error) {
	return a.Follower.ChangesSince(have)
}

// Suspects implements link.Gossip.
func (a Adapter) Suspects() []link.Suspect {
	if a.Marks == nil {
		return nil
	}
	return a.Marks.Suspects()
}

// Mark implements link.MarkSource.
func (a Adapter) Mark(digest string) *link.Suspect {
	if a.Marks == nil {
		return nil
	}
	return a.Marks.Mark(digest)
}

// Merge implements link.Gossip.
func (a Adapter) Merge(marks []link.Suspect) {
	if a.Marks != nil {
		a.Marks.Merge(marks)
	}
}
