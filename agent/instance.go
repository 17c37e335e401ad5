package agent

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/azurelead/azurelead/platform"
)

// DefaultInstancePollInterval is how often an agent reads its instance from the platform. Each read
// counts as a call, so the interval keeps the agents of a whole fleet well below the platform's
// rate limits.
const DefaultInstancePollInterval = 30 * time.Second

// WatchOwnInstance polls the platform's list and calls onLeaving once it shows the named instance
// as leaving. It returns then, or when ctx ends. The list lags and may be unavailable; the agent
// continues to serve meanwhile.
func WatchOwnInstance(ctx context.Context, reader platform.InstanceReader, name string, interval time.Duration, logger *slog.Logger, onLeaving func()) {
	interval = cmp.Or(interval, DefaultInstancePollInterval)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		i, err := reader.Instance(ctx, name)
		if err != nil {
			logger.Debug("own instance not read from the list", "error", err)
		}
		if err == nil && i.State == platform.Leaving {
			onLeaving()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
