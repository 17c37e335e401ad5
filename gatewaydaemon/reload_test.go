package gatewaydaemon

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/platform/fleettest"
)

func writeSettings(t *testing.T, path, front, health, store string, slack int) {
	t.Helper()
	text := fmt.Sprintf("node=entry-1\nzone=north\nregion=r\nzones.north=r\nlisten.front=%s\nlisten.readyAddr=%s\nlisten.control=%s\n"+
		"limits.cpuShare=0.3\nprovider.address=%s\nbounds.graceS=8\nbounds.retryBudgetRatio=0.2\nbounds.budgetSlack=%d\nnew.field=1,2\n",
		front, health, fleettest.FreeAddress(), store, slack)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP makes the process apply a changed settings file without a restart: it goes on serving and
// follows the store at its new address.
func TestSettingsAreReadAgain(t *testing.T) {
	d := &deployment{t: t, store: fleettest.NewStore()}
	t.Cleanup(d.store.Close)
	d.startEndpoints(nil)
	second := fleettest.NewStore()
	t.Cleanup(second.Close)
	path := filepath.Join(t.TempDir(), "settings.conf")
	front, health := fleettest.FreeAddress(), fleettest.FreeAddress()
	writeSettings(t, path, front, health, d.store.Address(), 54)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, Config{SettingsPath: path, Hangups: NotifyHangup()}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	}()
	e := &entry{front: front, health: health}
	d.eventually("the entry is ready", func() bool {
		resp, err := http.Get("http://" + health + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	writeSettings(t, path, front, health, second.Address(), 20)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	d.eventually("the new store is read", func() bool { return second.Calls("config") > 0 })
	if r := d.send(e, "GET", "/look/x", nil); r.status != 200 {
		t.Errorf("after the reload: %+v", r)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
