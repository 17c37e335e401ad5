package agent

import (
	"context"

	"github.com/azurelead/azurelead/settings"
)

// renewAge is how old the knowledge of the settings may be after a pause. It is
// below the shortest pause that is noticed, so that nothing from before the
// pause passes for a confirmation.
const renewAge = DefaultPauseThreshold / 2

// SettingsRefresher returns an Options.Refresh that has the settings confirmed anew.
func SettingsRefresher(f *settings.Follower) func(context.Context) error {
	return func(ctx context.Context) error { return f.Renew(ctx, renewAge) }
}
