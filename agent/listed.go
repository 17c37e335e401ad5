package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/azurelead/azurelead/platform"
)

// DefaultListInterval is how often the platform's list of instances is read.
// Each reading counts as a call, so that the fleet's agents together stay well
// below the platform's rates.
const DefaultListInterval = 30 * time.Second

// FollowList calls leave once the platform's list says that the instance of
// the name is leaving, and returns then or when ctx ends. The list lags and may
// be down; the agent serves on meanwhile.
func FollowList(ctx context.Context, d platform.Directory, name string, every time.Duration, l *slog.Logger, leave func()) {
	setDefault(&every, DefaultListInterval)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		instances, err := d.Instances(ctx)
		if err != nil {
			l.Debug("list of instances not read", "error", err)
		}
		for _, i := range instances {
			if i.Name == name && i.State == platform.Leaving {
				leave()
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
