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
		Usage: "run the agent of one endpoint: admission, at-most-once execution, graceful shutdown",
		Description: "Prints \"listening ADDR\" on standard output once entries can reach it.\n" +
			"SIGTERM stops it gracefully. Exit codes: 0 after a graceful stop, 1 after a failure.",
		Flags:  flags(),
		Action: run,
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		stringFlag(agentdaemon.FlagName, "", "name of this instance in the platform's list"),
		stringFlag(agentdaemon.FlagPool, "", "pool that the endpoint belongs to"),
		stringFlag(agentdaemon.FlagKind, "", "kind of the endpoint: encode, retrieve, rerank, generate or service"),
		stringFlag(agentdaemon.FlagDataCentre, "", "data centre of this instance"),
		stringFlag(agentdaemon.FlagEndpoint, "", "URL of the endpoint"),
		stringFlag(agentdaemon.FlagListen, "127.0.0.1:0", "IP address and port for links from entries"),
		stringFlag(agentdaemon.FlagOperators, "", "IP address and port that serve metrics, health and profiles to operators; not served if empty"),
		stringFlag(agentdaemon.FlagPlatform, "", "URL of the platform's object API"),
		stringFlag(agentdaemon.FlagOTLP, "", "URL that traces are exported to with OTLP over HTTP; not exported if empty"),
		&cli.BoolFlag{Name: agentdaemon.FlagPprof, Usage: "serve profiles to operators", Sources: envSource(agentdaemon.FlagPprof)},
		stringFlag(agentdaemon.FlagTLSCert, "", "PEM file of this process's certificate"),
		stringFlag(agentdaemon.FlagTLSKey, "", "PEM file of the certificate's key"),
		stringFlag(agentdaemon.FlagTLSCA, "", "PEM file of the certificate authorities for entries' certificates"),
		&cli.BoolFlag{Name: agentdaemon.FlagPlain, Usage: "allow links without TLS", Sources: envSource(agentdaemon.FlagPlain)},
		durationFlag(agentdaemon.FlagDrain, agent.DefaultDrainTimeout, "upper bound on the duration of a graceful stop"),
		durationFlag(agentdaemon.FlagProbe, agent.DefaultProbeInterval, "interval between probes of the endpoint"),
		durationFlag(agentdaemon.FlagReportLag, agent.DefaultReportLag, "maximum age of the endpoint's load report"),
		durationFlag(agentdaemon.FlagList, agent.DefaultInstancePollInterval, "interval between reads of the platform's instance list"),
		durationFlag(agentdaemon.FlagIdle, link.DefaultIdleTimeout, "time without traffic from the peer after which a link is closed"),
	}
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

// envSource names the environment variable of a flag: AZURELEAD_DATA_CENTRE for data-centre.
func envSource(name string) cli.ValueSourceChain {
	return cli.EnvVars("AZURELEAD_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

// parseConfig reads the configuration from the flags and reports all invalid values at once.
func parseConfig(c *cli.Command) (agentdaemon.Config, error) {
	config := agentdaemon.Config{
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
	return config, config.Check()
}

func run(ctx context.Context, c *cli.Command) error {
	config, err := parseConfig(c)
	if err != nil {
		return err
	}
	agentdaemon.TuneRuntime()
	return agentdaemon.Run(ctx, config, os.Stdout, telemetry.NewLogger(slog.LevelInfo))
}
