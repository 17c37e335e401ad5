package main

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/agent"
	"github.com/azurelead/azurelead/agentdaemon"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/telemetry"
)

func command() *cli.Command {
	return &cli.Command{
		Name:  "azurelead-agent",
		Usage: "run beside one endpoint: admission, at most once, graceful shutdown",
		Description: "Prints \"listening ADDR\" on standard output once entries can reach it.\n" +
			"SIGTERM stops it gracefully. Exit codes: 0 after a planned stop, 1 after a fault.",
		Flags:  flags(),
		Action: run,
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		text(agentdaemon.FlagName, "", "name of this instance in the platform's list"),
		text(agentdaemon.FlagPool, "", "pool that the endpoint belongs to"),
		text(agentdaemon.FlagKind, "", "what the endpoint does: encode, retrieve, rerank, generate or service"),
		text(agentdaemon.FlagDataCentre, "", "data centre of this instance"),
		text(agentdaemon.FlagEndpoint, "", "URL of the endpoint"),
		text(agentdaemon.FlagListen, "127.0.0.1:0", "IP address and port for links from entries"),
		text(agentdaemon.FlagOperators, "", "IP address and port of metrics, health and profiles; empty for none"),
		text(agentdaemon.FlagPlatform, "", "URL of the platform's object API"),
		text(agentdaemon.FlagOTLP, "", "URL that traces are exported to; empty for none"),
		&cli.BoolFlag{Name: agentdaemon.FlagPprof, Usage: "serve profiles to operators", Sources: env(agentdaemon.FlagPprof)},
		text(agentdaemon.FlagTLSCert, "", "file of this process's certificate"),
		text(agentdaemon.FlagTLSKey, "", "file of this process's key"),
		text(agentdaemon.FlagTLSCA, "", "file of the certificates that entries' certificates chain to"),
		&cli.BoolFlag{Name: agentdaemon.FlagPlain, Usage: "allow links without TLS", Sources: env(agentdaemon.FlagPlain)},
		duration(agentdaemon.FlagDrain, agent.DefaultDrainTimeout, "longest time of a planned stop"),
		duration(agentdaemon.FlagProbe, agent.DefaultProbeInterval, "time between probes of the endpoint"),
		duration(agentdaemon.FlagReportLag, agent.DefaultReportLag, "age that the endpoint's load report may have"),
		duration(agentdaemon.FlagList, agent.DefaultInstancePollInterval, "time between readings of the platform's list"),
		duration(agentdaemon.FlagIdle, link.DefaultIdleTimeout, "time after which a link without a byte is closed"),
	}
}

func text(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func duration(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func env(name string) cli.ValueSourceChain {
	return cli.EnvVars("AZURELEAD_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

// parse reads the settings and reports all their faults at once.
func parse(c *cli.Command) (agentdaemon.Config, error) {
	g := agentdaemon.Config{
		Name:             c.String(agentdaemon.FlagName),
		Pool:             c.String(agentdaemon.FlagPool),
		Kind:             pipeline.Kind(c.String(agentdaemon.FlagKind)),
		DataCentre:       c.String(agentdaemon.FlagDataCentre),
		Endpoint:         c.String(agentdaemon.FlagEndpoint),
		Platform:         c.String(agentdaemon.FlagPlatform),
		OTLP:             c.String(agentdaemon.FlagOTLP),
		Listen:           c.String(agentdaemon.FlagListen),
		OperatorsAddress: c.String(agentdaemon.FlagOperators),
		Pprof:            c.Bool(agentdaemon.FlagPprof),
		TLSCert:          c.String(agentdaemon.FlagTLSCert),
		TLSKey:           c.String(agentdaemon.FlagTLSKey),
		TLSCA:            c.String(agentdaemon.FlagTLSCA),
		Plain:            c.Bool(agentdaemon.FlagPlain),
		DrainTimeout:     c.Duration(agentdaemon.FlagDrain),
		ProbeInterval:    c.Duration(agentdaemon.FlagProbe),
		ReportLag:        c.Duration(agentdaemon.FlagReportLag),
		ListInterval:     c.Duration(agentdaemon.FlagList),
		IdleTimeout:      c.Duration(agentdaemon.FlagIdle),
	}
	return g, g.Check()
}

func run(ctx context.Context, c *cli.Command) error {
	config, err := parse(c)
	if err != nil {
		return err
	}
	agentdaemon.TuneRuntime()
	return agentdaemon.Run(ctx, config, os.Stdout, telemetry.NewLogger(slog.LevelInfo))
}
