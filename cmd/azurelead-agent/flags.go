package main

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/agent"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
)

// The names of flags. The environment variable of a flag is its name in
// capitals, with underscores, after AZURELEAD_.
const (
	flagName       = "name"
	flagPool       = "pool"
	flagKind       = "kind"
	flagDataCentre = "data-centre"
	flagEndpoint   = "endpoint"
	flagListen     = "listen"
	flagOperators  = "operators"
	flagPlatform   = "platform"
	flagOTLP       = "otlp"
	flagPprof      = "pprof"
	flagTLSCert    = "tls-cert"
	flagTLSKey     = "tls-key"
	flagTLSCA      = "tls-ca"
	flagPlain      = "plain"
	flagDrain      = "drain"
	flagProbe      = "probe-interval"
	flagReportLag  = "report-lag"
	flagList       = "list-interval"
	flagIdle       = "idle-bound"
)

// config is the process's settings.
type config struct {
	name, pool, dataCentre        string
	kind                          pipeline.Kind
	endpoint, platform, otlp      string
	listen, operators             string
	tlsCert, tlsKey, tlsCA        string
	plain, pprof                  bool
	drain, probe, lag, list, idle time.Duration
}

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
		text(flagName, "", "name of this instance in the platform's list"),
		text(flagPool, "", "pool that the endpoint belongs to"),
		text(flagKind, "", "what the endpoint does: encode, retrieve, rerank, generate or service"),
		text(flagDataCentre, "", "data centre of this instance"),
		text(flagEndpoint, "", "URL of the endpoint"),
		text(flagListen, "127.0.0.1:0", "IP address and port for links from entries"),
		text(flagOperators, "", "IP address and port of metrics, health and profiles; empty for none"),
		text(flagPlatform, "", "URL of the platform's object API"),
		text(flagOTLP, "", "URL that traces are exported to; empty for none"),
		&cli.BoolFlag{Name: flagPprof, Usage: "serve profiles to operators", Sources: env(flagPprof)},
		text(flagTLSCert, "", "file of this process's certificate"),
		text(flagTLSKey, "", "file of this process's key"),
		text(flagTLSCA, "", "file of the certificates that entries' certificates chain to"),
		&cli.BoolFlag{Name: flagPlain, Usage: "allow links without TLS", Sources: env(flagPlain)},
		duration(flagDrain, agent.DefaultDrain, "longest time of a planned stop"),
		duration(flagProbe, agent.DefaultProbeInterval, "time between probes of the endpoint"),
		duration(flagReportLag, agent.DefaultReportLag, "age that the endpoint's load report may have"),
		duration(flagList, agent.DefaultListInterval, "time between readings of the platform's list"),
		duration(flagIdle, 10*link.DefaultPingInterval, "time after which a link without a byte is closed"),
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
func parse(c *cli.Command) (config, error) {
	g := config{
		name: c.String(flagName), pool: c.String(flagPool), dataCentre: c.String(flagDataCentre),
		kind:     pipeline.Kind(c.String(flagKind)),
		endpoint: c.String(flagEndpoint), platform: c.String(flagPlatform), otlp: c.String(flagOTLP),
		listen: c.String(flagListen), operators: c.String(flagOperators),
		tlsCert: c.String(flagTLSCert), tlsKey: c.String(flagTLSKey), tlsCA: c.String(flagTLSCA),
		plain: c.Bool(flagPlain), pprof: c.Bool(flagPprof),
		drain: c.Duration(flagDrain), probe: c.Duration(flagProbe), lag: c.Duration(flagReportLag),
		list: c.Duration(flagList), idle: c.Duration(flagIdle),
	}
	return g, errors.Join(append(g.faultsOfNames(), g.faultsOfBounds()...)...)
}

func (g config) faultsOfNames() []error {
	faults := []error{
		present(flagName, g.name), present(flagPool, g.pool), present(flagDataCentre, g.dataCentre),
		isURL(flagEndpoint, g.endpoint), isURL(flagPlatform, g.platform), isAddress(flagListen, g.listen),
	}
	if !g.kind.Valid() {
		faults = append(faults, fault(flagKind, g.kind, fmt.Sprintf("one of %v", pipeline.Kinds)))
	}
	if g.operators != "" {
		faults = append(faults, isAddress(flagOperators, g.operators))
	}
	if g.otlp != "" {
		faults = append(faults, isURL(flagOTLP, g.otlp))
	}
	return append(faults, g.faultOfTLS())
}

// faultOfTLS refuses links without TLS unless they are asked for.
func (g config) faultOfTLS() error {
	given := g.tlsCert != "" && g.tlsKey != "" && g.tlsCA != ""
	none := g.tlsCert == "" && g.tlsKey == "" && g.tlsCA == ""
	switch {
	case g.plain && !none:
		return fault(flagPlain, g.plain, "false when certificates are given")
	case !g.plain && !given:
		return fault(flagTLSCert, g.tlsCert, "a file, together with --tls-key and --tls-ca, or --plain")
	}
	return nil
}

func (g config) faultsOfBounds() []error {
	return []error{
		above(flagDrain, g.drain), above(flagProbe, g.probe), above(flagReportLag, g.lag),
		above(flagList, g.list), above(flagIdle, g.idle),
	}
}

func fault(name string, value any, allowed string) error {
	return fmt.Errorf("--%s %q: must be %s", name, fmt.Sprint(value), allowed)
}

func present(name, value string) error {
	if value == "" {
		return fault(name, value, "given")
	}
	return nil
}

func isURL(name, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fault(name, value, "a URL such as http://127.0.0.1:9000")
	}
	return nil
}

func isAddress(name, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return fault(name, value, "an IP address and port such as 127.0.0.1:9000")
	}
	return nil
}

func above(name string, value time.Duration) error {
	if value <= 0 {
		return fault(name, value, "above 0s")
	}
	return nil
}
