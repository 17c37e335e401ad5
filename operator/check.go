package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/configcheck"
	"github.com/azurelead/azurelead/platform/fleet"
)

// Flags of the check command.
const (
	flagInForce = "in-force"
	flagStore   = "store"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a configuration of the users' platform before it is sent",
		Description: "Shows errors, declarations that can never match and limits that contradict each other, and with --in-force or\n" +
			"--store what differs from the version in force. Exits with 1 if there are errors.\n\n" + exitHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "`FILE` with the configuration in JSON; - is standard input"},
			&cli.StringFlag{Name: flagInForce, Usage: "`FILE` with the configuration in force, to compare with"},
			&cli.StringFlag{Name: flagStore, Usage: "`ADDRESS` of the platform's store, to compare with the stored configuration"},
			outputFlag(),
			&cli.DurationFlag{Name: flagTimeout, Usage: "`TIME` after which the command gives up", Value: defaultTimeout, Validator: checkPositive},
		},
		Action: checkConfiguration,
	}
}

// checkResult is the output of the check command.
type checkResult struct {
	Findings []configcheck.Finding `json:"findings"`
	// Changes are the differences from the version in force; nil if that is not known.
	Changes []configcheck.Change `json:"changes,omitempty"`
}

func checkConfiguration(ctx context.Context, c *cli.Command) error {
	if c.String(flagInForce) != "" && c.String(flagStore) != "" {
		return usageError("flags --%s and --%s exclude each other", flagInForce, flagStore)
	}
	next, err := readConfiguration(c.String(flagFile), c.Root().Reader)
	if err != nil {
		return newExitError(ExitFailed, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	inForce, err := configurationInForce(ctx, c)
	if err != nil {
		return err
	}
	result := checkResult{Findings: configcheck.Check(next)}
	if inForce != nil {
		result.Findings = append(configcheck.CheckVersion(inForce, next), result.Findings...)
		result.Changes = configcheck.Diff(inForce, next)
	}
	if err := writeResult(c, result, result.print); err != nil {
		return err
	}
	if configcheck.HasErrors(result.Findings) {
		return newExitError(ExitFailed, errors.New("the configuration has errors"))
	}
	return nil
}

func (r checkResult) print(p *printer) {
	for _, f := range r.Findings {
		p.line("%-8s %s: %s", f.Severity, f.Path, f.Message)
	}
	for _, c := range r.Changes {
		switch {
		case c.Before == "" || c.After == "":
			p.line("%-8s %s", c.Before+c.After, c.Path)
		default:
			p.line("%-8s %s: %s, now %s", "changed", c.Path, c.Before, c.After)
		}
	}
	if len(r.Findings) == 0 {
		p.line("no findings")
	}
}

// configurationInForce returns the configuration to compare with; nil if none is named.
func configurationInForce(ctx context.Context, c *cli.Command) (*catalog.Configuration, error) {
	if name := c.String(flagInForce); name != "" {
		config, err := readConfiguration(name, c.Root().Reader)
		if err != nil {
			return nil, newExitError(ExitFailed, err)
		}
		return config, nil
	}
	address := c.String(flagStore)
	if address == "" {
		return nil, nil
	}
	changes, err := fleet.NewStore(address, http.DefaultTransport).List(ctx, fleet.KindConfiguration, false)
	if err != nil {
		return nil, newExitError(ExitUnavailable, err)
	}
	for _, o := range changes.Objects {
		if o.Name == fleet.ConfigurationName {
			return fleet.DecodeConfiguration(o.Spec)
		}
	}
	return nil, newExitError(ExitFailed, fmt.Errorf("the store at %s holds no configuration", address))
}

// readConfiguration reads a configuration from a file. An error of its JSON names the line.
func readConfiguration(name string, stdin io.Reader) (*catalog.Configuration, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, err
	}
	config, err := fleet.DecodeConfiguration(data)
	if err != nil {
		return nil, fmt.Errorf("%s%s: %w", name, lineOf(data, err), err)
	}
	return config, nil
}

// lineOf returns the line at which a JSON error was found, as the suffix of a file's name; "" if it is not known.
func lineOf(data []byte, err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	default:
		return ""
	}
	return fmt.Sprintf(":%d", 1+strings.Count(string(data[:min(offset, int64(len(data)))]), "\n"))
}
