// Package entrydaemon assembles an entry process from its process settings:
// the entry itself, the settings follower, the claim ledger, the callers' and
// the operators' listeners. The command is a thin shell around it, and the
// demo runs it inside its own process.
package entrydaemon

import (
	"net/netip"
	"net/url"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/entry"
)

// Error is the class of this package's errors.
var Error = errs.Class("entry daemon")

// Config is what an entry process learns from flags and environment.
type Config struct {
	// Listen is the callers' address, Operators the operators'.
	Listen           string
	OperatorsAddress string
	// Platform is the URL of the platform's object API.
	Platform   string
	Name       string
	DataCentre string
	// OTLP is the URL that traces are exported to; empty for none.
	OTLP  string
	Pprof bool
	// AllowPlaintext allows callers and links without TLS.
	AllowPlaintext bool
	// TLSCert and TLSKey secure the callers' listener.
	TLSCert string
	TLSKey  string
	// LinkCert, LinkKey and LinkCA secure the links to agents, mutually.
	LinkCert string
	LinkKey  string
	LinkCA   string
	// Chooser names the policy that picks endpoints.
	Chooser string
	// SeedAgents are addresses of agents to link to until the platform's list
	// has been read.
	SeedAgents []string
	// SubsetSize is how many agents of each pool and data centre are linked.
	SubsetSize int
}

// Check returns all the faults of the configuration at once.
func (c *Config) Check() error {
	var g errs.Group
	g.Add(checkAddress("listen", c.Listen))
	g.Add(checkAddress("operators", c.OperatorsAddress))
	g.Add(checkURL("platform", c.Platform, true))
	g.Add(checkURL("otlp", c.OTLP, false))
	g.Add(checkName("name", c.Name))
	g.Add(checkName("data-centre", c.DataCentre))
	g.Add(c.checkTLS("callers", "tls-cert and --tls-key", c.TLSCert, c.TLSKey))
	g.Add(c.checkTLS("links", "link-cert, --link-key and --link-ca", c.LinkCert, c.LinkKey, c.LinkCA))
	if entry.ChooserByName(c.Chooser) == nil {
		g.Add(errs.New("--chooser %q: must be one of %v", c.Chooser, entry.ChooserNames))
	}
	for _, addr := range c.SeedAgents {
		g.Add(checkAddress("seed-agent", addr))
	}
	if c.SubsetSize < 1 {
		g.Add(errs.New("--subset %d: must be 1 or more", c.SubsetSize))
	}
	return g.Err()
}

// checkTLS wants all the files of a certificate, or none and --plain.
func (c *Config) checkTLS(who, flags string, files ...string) error {
	set := 0
	for _, f := range files {
		if f != "" {
			set++
		}
	}
	switch {
	case set == len(files), set == 0 && c.AllowPlaintext:
		return nil
	case set == 0:
		return errs.New("--%s: must be set, or --plain to allow %s without TLS", flags, who)
	}
	return errs.New("--%s: all or none must be set", flags)
}

func checkAddress(flag, v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return errs.New("--%s %q: must be an IP address and port, as in 127.0.0.1:8080", flag, v)
	}
	return nil
}

func checkURL(flag, v string, required bool) error {
	if v == "" && !required {
		return nil
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return errs.New("--%s %q: must be an http or https URL", flag, v)
	}
	return nil
}

// maxNameBytes bounds names, which go into metrics and messages.
const maxNameBytes = 128

func checkName(flag, v string) error {
	if v == "" || len(v) > maxNameBytes {
		return errs.New("--%s %s: must have 1 to %d bytes", flag, strconv.Quote(v), maxNameBytes)
	}
	return nil
}
