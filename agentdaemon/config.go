package agentdaemon

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/azurelead/azurelead/pipeline"
)

// Names of the flags, which errors of a Config refer to. The environment variable of a flag is
// AZURELEAD_ followed by the name in capitals, with underscores.
const (
	FlagName       = "name"
	FlagPool       = "pool"
	FlagKind       = "kind"
	FlagDataCentre = "data-centre"
	FlagEndpoint   = "endpoint"
	FlagListen     = "listen"
	FlagOperators  = "operators"
	FlagPlatform   = "platform"
	FlagOTLP       = "otlp"
	FlagPprof      = "pprof"
	FlagTLSCert    = "tls-cert"
	FlagTLSKey     = "tls-key"
	FlagTLSCA      = "tls-ca"
	FlagPlain      = "plain"
	FlagDrain      = "drain"
	FlagProbe      = "probe-interval"
	FlagReportLag  = "report-lag"
	FlagList       = "list-interval"
	FlagIdle       = "idle-bound"
)

// Config is the configuration of an agent process, as read from flags and environment variables.
type Config struct {
	// Name is the instance's name in the platform's list.
	Name       string
	Pool       string
	Kind       pipeline.Kind
	DataCentre string
	// Endpoint and Platform are URLs.
	Endpoint string
	Platform string
	// OTLP is the URL that traces are exported to; empty for none.
	OTLP string
	// Listen is the IP address and port for links from entries.
	Listen string
	// OperatorsAddress is the IP address and port for metrics, health and profiles; empty for none.
	OperatorsAddress string
	Pprof            bool
	// TLSCert, TLSKey and TLSCA are the files of the TLS identity on links.
	TLSCert string
	TLSKey  string
	TLSCA   string
	// Plain allows links without TLS.
	Plain bool
	// DrainTimeout is the maximum duration of a planned stop.
	DrainTimeout  time.Duration
	ProbeInterval time.Duration
	// ReportLag is the maximum age of the load in the endpoint's health report.
	ReportLag    time.Duration
	ListInterval time.Duration
	// IdleTimeout is the time after which a link is closed on which nothing was received.
	IdleTimeout time.Duration
}

// Check returns all errors of the configuration, joined.
func (c Config) Check() error {
	return errors.Join(append(c.checkNames(), c.checkDurations()...)...)
}

func (c Config) checkNames() []error {
	errs := []error{
		checkPresent(FlagName, c.Name), checkPresent(FlagPool, c.Pool), checkPresent(FlagDataCentre, c.DataCentre),
		checkURL(FlagEndpoint, c.Endpoint), checkURL(FlagPlatform, c.Platform), checkAddress(FlagListen, c.Listen),
	}
	if !c.Kind.Valid() {
		errs = append(errs, invalidFlag(FlagKind, c.Kind, fmt.Sprintf("one of %v", pipeline.Kinds)))
	}
	if c.OperatorsAddress != "" {
		errs = append(errs, checkAddress(FlagOperators, c.OperatorsAddress))
	}
	if c.OTLP != "" {
		errs = append(errs, checkURL(FlagOTLP, c.OTLP))
	}
	return append(errs, c.checkTLS())
}

// checkTLS rejects links without TLS unless Plain is set.
func (c Config) checkTLS() error {
	complete := c.TLSCert != "" && c.TLSKey != "" && c.TLSCA != ""
	absent := c.TLSCert == "" && c.TLSKey == "" && c.TLSCA == ""
	switch {
	case c.Plain && !absent:
		return invalidFlag(FlagPlain, c.Plain, "false when certificates are given")
	case !c.Plain && !complete:
		return invalidFlag(FlagTLSCert, c.TLSCert, "a file and given with --tls-key and --tls-ca, unless --plain is set")
	}
	return nil
}

func (c Config) checkDurations() []error {
	return []error{
		checkPositive(FlagDrain, c.DrainTimeout), checkPositive(FlagProbe, c.ProbeInterval), checkPositive(FlagReportLag, c.ReportLag),
		checkPositive(FlagList, c.ListInterval), checkPositive(FlagIdle, c.IdleTimeout),
	}
}

func invalidFlag(name string, value any, allowed string) error {
	return fmt.Errorf("--%s %q: must be %s", name, fmt.Sprint(value), allowed)
}

func checkPresent(name, value string) error {
	if value == "" {
		return invalidFlag(name, value, "given")
	}
	return nil
}

func checkURL(name, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return invalidFlag(name, value, "a URL such as http://127.0.0.1:9000")
	}
	return nil
}

func checkAddress(name, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return invalidFlag(name, value, "an IP address and port such as 127.0.0.1:9000")
	}
	return nil
}

func checkPositive(name string, value time.Duration) error {
	if value <= 0 {
		return invalidFlag(name, value, "above 0s")
	}
	return nil
}
