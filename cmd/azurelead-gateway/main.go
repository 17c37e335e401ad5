// Command azurelead-gateway serves clients' requests on the users' platform.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/gatewaydaemon"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/telemetry"
)

// exitFailed is the exit code after a failure.
const exitFailed = 1

// flushTimeout bounds the writing of the last log lines.
const flushTimeout = 100 * time.Millisecond

func main() {
	hangups := gatewaydaemon.NotifyHangup()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command(hangups).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "azurelead-gateway:", err)
		os.Exit(exitFailed)
	}
}

func command(hangups <-chan os.Signal) *cli.Command {
	c := gatewaydaemon.Config{Hangups: hangups}
	var level string
	stringFlag := func(name, env, usage, value string, dest *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: value, Destination: dest, Sources: cli.EnvVars("AZURELEAD_" + env)}
	}
	return &cli.Command{
		Name:  "azurelead-gateway",
		Usage: "serve clients' requests on the platform's routes",
		Description: "Reads the instance's addresses from the platform's settings file. Exits with 0 after a\n" +
			"graceful stop (SIGTERM or SIGINT), 1 after a failure.",
		Flags: []cli.Flag{
			stringFlag("settings", "SETTINGS", "path of the platform's settings file", fleet.SettingsPath(), &c.SettingsPath),
			stringFlag("metrics", "METRICS", "IP address and port that serve metrics to operators; not served if empty", "", &c.MetricsAddress),
			stringFlag("log-level", "LOG_LEVEL", "lowest level that is logged: info, warn or error", "info", &level),
			stringFlag("otlp", "OTLP", "URL that traces are exported to with OTLP over HTTP", "", &c.OTLP),
		},
		HideHelpCommand: true,
		Action: func(ctx context.Context, _ *cli.Command) error {
			var minLevel slog.Level
			if err := minLevel.UnmarshalText([]byte(level)); err != nil {
				return err
			}
			logger, flush := telemetry.NewBoundedLogger(os.Stdout, minLevel)
			defer func() {
				ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
				defer cancel()
				flush(ctx)
			}()
			stopTracing, err := telemetry.SetupTracing(ctx, "azurelead-gateway", c.OTLP)
			if err != nil {
				return err
			}
			defer func() {
				if err := stopTracing(context.WithoutCancel(ctx)); err != nil {
					logger.Warn("failed to flush traces", "error", err)
				}
			}()
			registry := prometheus.NewRegistry()
			registry.MustRegister(telemetry.DroppedLines)
			return gatewaydaemon.Run(ctx, c, logger, registry)
		},
	}
}
