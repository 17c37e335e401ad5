package agent

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/settings"
)

// renewAge is how old a peer's knowledge of the settings may be when it is
// asked after a pause.
const renewAge = 3 * time.Second

// Renew returns an Options.Refresh that has the settings confirmed anew.
func Renew(f *settings.Follower) func(context.Context) error {
	return func(ctx context.Context) error { return f.Renew(ctx, renewAge) }
}
