package agent

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/azurelead/azurelead/platform"
)

// DefaultInstancePollInterval is how often the platform's list of instances is read.
// Each reading counts as a call, so that the fleet's agents together stay well
// below the platform's rates.
const DefaultInstancePollInterval = 30 * time.Second

// WatchOwnInstance calls leave once the platform's list says that the instance of
// the name is leaving, and returns then or when ctx ends. The list lags and may
// be down; the agent serves on meanwhile.
func WatchOwnInstance(ctx context.Context, d platform.InstanceReader, name string, every time.Duration, l *slog.Logger, leave func()) {
	every = cmp.Or(every, DefaultInstancePollInterval)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		i, err := d.Instance(ctx, name)
		if err != nil {
			l.Debug("own instance not read from the list", "error", err)
		}
		if err == nil && i.State == platform.Leaving {
			leave()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
