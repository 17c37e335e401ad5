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

// settingsPollInterval is the interval at which the settings file is checked for changes made
// without a signal.
const settingsPollInterval = 3 * time.Second

// NotifyHangup returns a channel of SIGHUP signals. It also keeps SIGHUP from terminating the
// process while it starts and while it finishes its requests, so that it is called first.
func NotifyHangup() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// watchSettings reloads the settings after SIGHUP and when the file has changed, until ctx ends.
// What a reload starts runs under workCtx, which outlives ctx.
func (d *daemon) watchSettings(ctx, workCtx context.Context, path string, hup <-chan os.Signal) {
	var last []byte
	if path != "" {
		last, _ = os.ReadFile(path) // Run has just read the file
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		if path == "" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			d.logger.Warn("failed to read the settings file, keeping the current settings", "path", path, "error", err)
			continue
		}
		if !signalled && bytes.Equal(text, last) {
			continue
		}
		last = text
		d.reload(workCtx, path)
	}
}

// reload applies the settings that can change while the process runs.
func (d *daemon) reload(ctx context.Context, path string) {
	s, err := fleet.ReadSettings(path)
	if err != nil {
		d.logger.Warn("failed to load the settings, keeping the current ones", "path", path, "error", err)
		return
	}
	old := d.current.Swap(&s)
	if s.ClientAddress != d.settings.ClientAddress || s.HealthAddress != d.settings.HealthAddress || s.PeerAddress != d.settings.PeerAddress {
		d.logger.Warn("changed listen addresses take effect after a restart", "front", s.ClientAddress, "health", s.HealthAddress, "peers", s.PeerAddress)
	}
	if s.StoreAddress != old.StoreAddress {
		d.store.SetAddress(s.StoreAddress)
	}
	d.mesh.Add(ctx, s.Seeds)
	d.updateShares()
	d.logger.Info("reload", "store", s.StoreAddress, "seeds", s.Seeds, "grace_ms", s.GracePeriod.Milliseconds(), "retry_slack", s.RetrySlack)
}
