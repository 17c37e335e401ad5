package entrydaemon

import (
	"context"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
)

// gossip passes on over links what the process knows of the settings.
type gossip struct{ f *settings.Follower }

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
func (gossip) Suspects() []link.Suspect { return nil }

// Merge implements link.Gossip.
func (gossip) Merge([]link.Suspect) {}
