package agent

import (
	"context"

	"github.com/azurelead/azurelead/settings"
)

// maxSettingsAge is the maximum age of the settings after a refresh. It is shorter than the
// shortest pause that is detected, so that a confirmation from before the pause does not count.
const maxSettingsAge = DefaultPauseThreshold / 2

// SettingsRefresher returns a function for Options.RefreshSettings that has the settings of f
// confirmed again.
func SettingsRefresher(f *settings.Follower) func(context.Context) error {
	return func(ctx context.Context) error { return f.Renew(ctx, maxSettingsAge) }
}
