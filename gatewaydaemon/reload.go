package gatewaydaemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

// settingsPoll is how often the settings file is compared with what was read,
// as it may change without a signal.
const settingsPoll = 3 * time.Second

// catchHangups keeps SIGHUP from ending the process, also while it starts and
// while it finishes its requests.
func catchHangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// followSettings reads the settings again after SIGHUP and when the file has
// changed, until ctx ends. What was started with the settings goes on in work.
func (d *daemon) followSettings(ctx, work context.Context, path string, hup <-chan os.Signal) {
	var last []byte
	if path != "" {
		last, _ = os.ReadFile(path) // it was read a moment ago
	}
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		if path == "" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			d.logger.Warn("settings not read, the former ones stay", "path", path, "error", err)
			continue
		}
		if !signalled && bytes.Equal(text, last) {
			continue
		}
		last = text
		d.reload(work, path)
	}
}

// reload takes in what can change while the process runs.
func (d *daemon) reload(ctx context.Context, path string) {
	s, err := fleet.ReadSettings(path)
	if err != nil {
		d.logger.Warn("settings not taken, the former ones stay", "path", path, "error", err)
		return
	}
	old := d.live.Swap(&s)
	if s.ClientAddress != d.settings.ClientAddress || s.HealthAddress != d.settings.HealthAddress || s.PeerAddress != d.settings.PeerAddress {
		d.logger.Warn("changed listen addresses take effect at the next start", "front", s.ClientAddress, "health", s.HealthAddress, "peers", s.PeerAddress)
	}
	if s.StoreAddress != old.StoreAddress {
		d.store.SetAddress(s.StoreAddress)
	}
	d.mesh.Add(ctx, s.Seeds)
	d.peersChanged()
	d.logger.Info("reload", "store", s.StoreAddress, "seeds", s.Seeds, "grace_ms", s.GracePeriod.Milliseconds(), "retry_slack", s.RetrySlack)
}
