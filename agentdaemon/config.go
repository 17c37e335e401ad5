package agentdaemon

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/azurelead/azurelead/pipeline"
)

// The names of flags, by which faults of a Config are reported. The environment variable of a flag is its name in
// capitals, with underscores, after AZURELEAD_.
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

// Config is what an agent process learns from flags and environment.
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
	// OperatorsAddress is that of metrics, health and profiles; empty for none.
	OperatorsAddress string
	Pprof            bool
	// TLSCert, TLSKey and TLSCA are the files of the identity on links.
	TLSCert string
	TLSKey  string
	TLSCA   string
	// Plain allows links without TLS.
	Plain bool
	// DrainTimeout is the longest time of a planned stop.
	DrainTimeout  time.Duration
	ProbeInterval time.Duration
	// ReportLag is the age that the endpoint's load report may have.
	ReportLag    time.Duration
	ListInterval time.Duration
	// IdleTimeout is the time after which a link without a byte is closed.
	IdleTimeout time.Duration
}

// Check returns all the faults of the configuration at once.
func (c Config) Check() error {
	return errors.Join(append(c.faultsOfNames(), c.faultsOfBounds()...)...)
}

func (c Config) faultsOfNames() []error {
	faults := []error{
		present(FlagName, c.Name), present(FlagPool, c.Pool), present(FlagDataCentre, c.DataCentre),
		isURL(FlagEndpoint, c.Endpoint), isURL(FlagPlatform, c.Platform), isAddress(FlagListen, c.Listen),
	}
	if !c.Kind.Valid() {
		faults = append(faults, fault(FlagKind, c.Kind, fmt.Sprintf("one of %v", pipeline.Kinds)))
	}
	if c.OperatorsAddress != "" {
		faults = append(faults, isAddress(FlagOperators, c.OperatorsAddress))
	}
	if c.OTLP != "" {
		faults = append(faults, isURL(FlagOTLP, c.OTLP))
	}
	return append(faults, c.faultOfTLS())
}

// faultOfTLS refuses links without TLS unless they are asked for.
func (c Config) faultOfTLS() error {
	given := c.TLSCert != "" && c.TLSKey != "" && c.TLSCA != ""
	none := c.TLSCert == "" && c.TLSKey == "" && c.TLSCA == ""
	switch {
	case c.Plain && !none:
		return fault(FlagPlain, c.Plain, "false when certificates are given")
	case !c.Plain && !given:
		return fault(FlagTLSCert, c.TLSCert, "a file, together with --tls-key and --tls-ca, or --plain")
	}
	return nil
}

func (c Config) faultsOfBounds() []error {
	return []error{
		above(FlagDrain, c.DrainTimeout), above(FlagProbe, c.ProbeInterval), above(FlagReportLag, c.ReportLag),
		above(FlagList, c.ListInterval), above(FlagIdle, c.IdleTimeout),
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
