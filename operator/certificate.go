package operator

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/certs"
)

// Names of the flags of certificate.
const (
	flagDir     = "dir"
	flagName    = "name"
	flagAddress = "address"
)

// CertificateCommand returns the commands that make TLS identities for a
// fleet that has no certificate authority of its own.
func CertificateCommand() *cli.Command {
	return &cli.Command{
		Name:  "certificate",
		Usage: "make TLS certificates for callers' listeners and for links",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "make an authority: ca.pem and ca-key.pem",
				Flags:  []cli.Flag{dirFlag(), &cli.StringFlag{Name: flagName, Usage: "`NAME` of the authority", Value: "azurelead"}},
				Action: makeAuthority,
			},
			{
				Name: "issue", Usage: "make a process's identity: NAME.pem and NAME-key.pem, signed by the authority",
				Flags: []cli.Flag{dirFlag(),
					&cli.StringFlag{Name: flagName, Usage: "`NAME` of the process", Required: true},
					&cli.StringSliceFlag{Name: flagAddress, Usage: "IP `ADDRESS` that callers reach the process by"},
				},
				Action: issueIdentity,
			},
		},
	}
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: flagDir, Usage: "`DIRECTORY` of the authority", Value: "."}
}

func makeAuthority(_ context.Context, c *cli.Command) error {
	_, err := certs.CreateAuthority(c.String(flagDir), c.String(flagName))
	return err
}

func issueIdentity(_ context.Context, c *cli.Command) error {
	var addresses []net.IP
	for _, a := range c.StringSlice(flagAddress) {
		ip := net.ParseIP(a)
		if ip == nil {
			return usage("flag --%s: %q is not allowed; give an IP address such as 10.0.0.7", flagAddress, a)
		}
		addresses = append(addresses, ip)
	}
	authority, err := certs.LoadAuthority(c.String(flagDir))
	if err != nil {
		return err
	}
	o, err := authority.Issue(c.String(flagDir), c.String(flagName), addresses...)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, o.Cert, o.Key)
	return err
}
