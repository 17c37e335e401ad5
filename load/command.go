package load

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Command returns the command that runs load measurements.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a scenario's load and measure attainment, cost by stage, and service over time",
		Description: "The load is an open loop: arrivals do not wait for answers. The same seed gives the same\n" +
			"arrivals. Without --entry, a complete fleet with stand-ins runs in this process.",
		Flags:    runFlags(),
		Action:   runAction,
		Commands: []*cli.Command{compareCommand(), matrixCommand(), capacityCommand()},
	}
}

func runFlags() []cli.Flag {
	return append(scenarioFlags(),
		&cli.StringFlag{Name: "policy", Value: "ours", Usage: "policy of the fleet that runs in this process"},
		&cli.StringSliceFlag{Name: "entry", Usage: "base URL of an entry of a running fleet"},
		&cli.StringMapFlag{Name: "token", Usage: "organisation=bearer token of a running fleet"},
		&cli.StringSliceFlag{Name: "control", Usage: "pool=base URL of a stand-in of a running fleet, to inject faults"},
		&cli.StringFlag{Name: "json", Usage: "file to write the report to"},
		&cli.StringFlag{Name: "html", Usage: "file to write the report with plots to"},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "format on standard output: text or json"},
	)
}

func scenarioFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "scenario", Value: "mixed", Usage: "YAML file or name of an embedded scenario"},
		&cli.Uint64Flag{Name: "seed", Usage: "replaces the scenario's seed"},
		&cli.FloatFlag{Name: "rate", Usage: "replaces the scenario's requests per second"},
		&cli.DurationFlag{Name: "duration", Usage: "replaces the scenario's duration"},
		&cli.DurationFlag{Name: "warm-up", Usage: "replaces the scenario's warm-up"},
	}
}

// scenarioFromFlags reads the scenario that the flags select and applies their overrides.
func scenarioFromFlags(c *cli.Command) (Scenario, error) {
	scenario, err := LoadScenario(c.String("scenario"))
	if err != nil {
		return scenario, err
	}
	if c.IsSet("seed") {
		scenario.Seed = c.Uint64("seed")
	}
	if c.IsSet("rate") {
		scenario.Rate = c.Float("rate")
	}
	if c.IsSet("duration") {
		scenario.Duration = c.Duration("duration")
	}
	if c.IsSet("warm-up") {
		scenario.WarmUp = c.Duration("warm-up")
	}
	if scenario.Rate <= 0 || scenario.Duration <= 0 {
		return scenario, Error.New("rate %v and duration %v must be above 0", scenario.Rate, scenario.Duration)
	}
	return scenario, nil
}

func runAction(ctx context.Context, c *cli.Command) error {
	if output := c.String("output"); output != "text" && output != "json" {
		return Error.New("--output must be text or json, not %q", output)
	}
	scenario, err := scenarioFromFlags(c)
	if err != nil {
		return err
	}
	fleet, policy, stop, err := fleetFromFlags(c, scenario)
	if err != nil {
		return err
	}
	defer stop()
	samples, err := Run(ctx, scenario, fleet, c.Root().ErrWriter)
	if err != nil {
		return err
	}
	return writeReport(c, Summarise(scenario, policy, samples, fleet.Stats()))
}

// fleetFromFlags starts a local fleet, or returns the running one that the flags describe. It also
// returns the name of the policy and a function that stops the fleet.
func fleetFromFlags(c *cli.Command, s Scenario) (Fleet, string, func(), error) {
	if entries := c.StringSlice("entry"); len(entries) > 0 {
		remote, err := NewRemoteFleet(entries, c.StringMap("token"), c.StringSlice("control"))
		return remote, "running fleet", func() {}, err
	}
	policy, ok := PolicyByName(c.String("policy"))
	if !ok {
		return nil, "", nil, Error.New("unknown --policy %q; the policies are: %s", c.String("policy"), policyNames())
	}
	local, err := NewLocalFleet(s, policy)
	if err != nil {
		return nil, "", nil, err
	}
	return local, policy.Name, local.Close, nil
}

// writeReport writes the report in every format that the flags request.
func writeReport(c *cli.Command, r Report) error {
	if name := c.String("json"); name != "" {
		if err := writeFile(name, func(w io.Writer) error { return writeJSON(w, r) }); err != nil {
			return err
		}
	}
	if name := c.String("html"); name != "" {
		if err := writeFile(name, func(w io.Writer) error { return WriteHTML(w, r) }); err != nil {
			return err
		}
	}
	if c.String("output") == "json" {
		return writeJSON(c.Root().Writer, r)
	}
	return Print(c.Root().Writer, r)
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return Error.Wrap(encoder.Encode(v))
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return Error.Wrap(f.Close())
}
