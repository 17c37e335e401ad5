// Command azurelead-entry accepts callers' requests and runs their pipelines on the fleet's agents.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/entrydaemon"
	"github.com/azurelead/azurelead/telemetry"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "azurelead-entry:", err)
		os.Exit(exitUsage)
	}
}

func command() *cli.Command {
	var c entrydaemon.Config
	return &cli.Command{
		Name:  "azurelead-entry",
		Usage: "accept callers' requests and run their pipelines on the fleet's agents",
		Description: "Prints \"listening\" and the callers' address once it accepts requests. Exits with 0 after a\n" +
			"graceful stop (SIGTERM or SIGINT), 1 after a failure, 2 for invalid flags or values.",
		Flags:           flags(&c),
		HideHelpCommand: true,
		OnUsageError:    func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return fmt.Errorf("unexpected argument %q", cmd.Args().First())
			}
			return run(ctx, c)
		},
	}
}

func run(ctx context.Context, c entrydaemon.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	if err := entrydaemon.Run(ctx, c, os.Stdout, telemetry.NewLogger(slog.LevelInfo)); err != nil {
		fmt.Fprintln(os.Stderr, "azurelead-entry:", err)
		os.Exit(exitFailed)
	}
	return nil
}

func flags(c *entrydaemon.Config) []cli.Flag {
	stringFlag := func(name, env, usage, value string, dest *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: value, Destination: dest, Sources: cli.EnvVars("AZURELEAD_" + env)}
	}
	return []cli.Flag{
		stringFlag("listen", "LISTEN", "IP address and port that serve callers", "127.0.0.1:8080", &c.Listen),
		stringFlag("operators", "OPERATORS", "IP address and port that serve metrics, health and status to operators", "127.0.0.1:8081", &c.OperatorsAddress),
		stringFlag("platform", "PLATFORM", "URL of the platform's object API", "http://127.0.0.1:9000", &c.Platform),
		stringFlag("name", "NAME", "name of this instance", "", &c.Name),
		stringFlag("data-centre", "DATA_CENTRE", "data centre of this instance", "", &c.DataCentre),
		stringFlag("otlp", "OTLP", "URL that traces are exported to with OTLP over HTTP", "", &c.OTLP),
		stringFlag("tls-cert", "TLS_CERT", "PEM file of the certificate for callers", "", &c.TLSCert),
		stringFlag("tls-key", "TLS_KEY", "PEM file of the key of the certificate for callers", "", &c.TLSKey),
		stringFlag("link-cert", "LINK_CERT", "PEM file of the certificate for links to agents", "", &c.LinkCert),
		stringFlag("link-key", "LINK_KEY", "PEM file of the key of the certificate for links", "", &c.LinkKey),
		stringFlag("link-ca", "LINK_CA", "PEM file of the certificate authorities for agents' certificates", "", &c.LinkCA),
		stringFlag("chooser", "CHOOSER", fmt.Sprintf("policy that picks endpoints: one of %v", entry.ChooserNames), entry.ChooserNames[0], &c.Chooser),
		&cli.StringSliceFlag{Name: "seed-agent", Usage: "IP address and port of an agent to link to until the platform's list has been read",
			Destination: &c.SeedAgents, Sources: cli.EnvVars("AZURELEAD_SEED_AGENT")},
		&cli.IntFlag{Name: "subset", Usage: "number of agents of each pool in the same data centre to hold links to", Value: entry.DefaultSubsetSize,
			Destination: &c.SubsetSize, Sources: cli.EnvVars("AZURELEAD_SUBSET")},
		&cli.BoolFlag{Name: "plain", Usage: "allow callers and links without TLS", Destination: &c.AllowPlaintext, Sources: cli.EnvVars("AZURELEAD_PLAIN")},
		&cli.BoolFlag{Name: "pprof", Usage: "serve profiles on the operators' port", Destination: &c.Pprof, Sources: cli.EnvVars("AZURELEAD_PPROF")},
	}
}
