// Command azurelead-gateway serves clients' requests on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/gatewaydaemon"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/telemetry"
)

// exitFailed is the exit code after a failure.
const exitFailed = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "azurelead-gateway:", err)
		os.Exit(exitFailed)
	}
}

func command() *cli.Command {
	var c gatewaydaemon.Config
	text := func(name, env, usage, value string, to *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: value, Destination: to, Sources: cli.EnvVars("AZURELEAD_" + env)}
	}
	return &cli.Command{
		Name:  "azurelead-gateway",
		Usage: "serve clients' requests on the platform's routes",
		Description: "Reads the instance's addresses from the platform's settings file. Exits with 0 after a\n" +
			"graceful stop (SIGTERM or SIGINT), 1 after a failure.",
		Flags: []cli.Flag{
			text("settings", "SETTINGS", "path of the platform's settings file", fleet.SettingsPath(), &c.SettingsPath),
			text("metrics", "METRICS", "IP address and port of the operators' metrics; none if empty", "", &c.Metrics),
			text("otlp", "OTLP", "URL that traces are exported to by OTLP over HTTP", "", &c.OTLP),
		},
		HideHelpCommand: true,
		Action: func(ctx context.Context, _ *cli.Command) error {
			logger := telemetry.NewBoundedLogger(os.Stdout)
			return gatewaydaemon.Run(ctx, c, logger, prometheus.NewRegistry())
		},
	}
}
