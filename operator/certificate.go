package operator

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/certs"
)

// Flags of the certificate commands.
const (
	flagDir     = "dir"
	flagName    = "name"
	flagAddress = "address"
)

// CertificateCommand returns the commands that issue TLS certificates for a fleet without its own
// certificate authority.
func CertificateCommand() *cli.Command {
	return &cli.Command{
		Name:  "certificate",
		Usage: "create TLS certificates for client listeners and for links",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "create a certificate authority: ca.pem and ca-key.pem",
				Flags:  []cli.Flag{dirFlag(), &cli.StringFlag{Name: flagName, Usage: "`NAME` of the authority", Value: "azurelead"}},
				Action: makeAuthority,
			},
			{
				Name: "issue", Usage: "issue a certificate for a process: NAME.pem and NAME-key.pem, signed by the authority",
				Flags: []cli.Flag{dirFlag(),
					&cli.StringFlag{Name: flagName, Usage: "`NAME` of the process", Required: true},
					&cli.StringSliceFlag{Name: flagAddress, Usage: "IP `ADDRESS` at which clients reach the process"},
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
			return usageError("flag --%s: %q is not allowed; give an IP address such as 10.0.0.7", flagAddress, a)
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
