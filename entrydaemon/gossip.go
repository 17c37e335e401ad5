package entrydaemon

import (
	"context"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/suspect"
)

// gossip passes on over links what the process knows of the settings and of
// requests that crash endpoints.
type gossip struct {
	f     *settings.Follower
	marks *suspect.Table
}

// Version implements link.Gossip.
func (g gossip) Version() link.Version { return g.f.Version() }

// Saw implements link.Gossip.
func (g gossip) Saw(v link.Version, fetch func(context.Context, link.Version) (link.SettingsResult, error)) {
	g.f.Saw(v, settings.Fetch(fetch))
}

// Changes implements link.Gossip.
func (g gossip) Changes(have link.Version) (link.SettingsResult, error) {
	return g.f.Changes(have)
}

// Suspects implements link.Gossip.
func (g gossip) Suspects() []link.Suspect { return g.marks.Suspects() }

// Merge implements link.Gossip.
func (g gossip) Merge(marks []link.Suspect) { g.marks.Merge(marks) }
