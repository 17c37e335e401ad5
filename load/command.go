package load

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Command returns the command line of load measurements.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a scenario's load and measure attainment, cost by stage and service over time",
		Description: "The load is open loop: arrivals do not wait for answers. The same seed gives the same\n" +
			"arrivals. Without --entry, a whole fleet with stand-ins runs in this process.",
		Flags:    runFlags(),
		Action:   runAction,
		Commands: []*cli.Command{compareCommand(), matrixCommand(), capacityCommand()},
	}
}

func runFlags() []cli.Flag {
	return append(scenarioFlags(),
		&cli.StringFlag{Name: "policy", Value: "ours", Usage: "policy of the fleet in this process"},
		&cli.StringSliceFlag{Name: "entry", Usage: "base URL of an entry of a running fleet"},
		&cli.StringMapFlag{Name: "token", Usage: "organisation=bearer token, for a running fleet"},
		&cli.StringSliceFlag{Name: "control", Usage: "pool=base URL of a stand-in of a running fleet, for faults"},
		&cli.StringFlag{Name: "json", Usage: "file to write the report to"},
		&cli.StringFlag{Name: "html", Usage: "file to write the report with plots to"},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json on standard output"},
	)
}

func scenarioFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "scenario", Value: "mixed", Usage: "YAML file, or an embedded scenario"},
		&cli.Uint64Flag{Name: "seed", Usage: "replaces the scenario's seed"},
		&cli.FloatFlag{Name: "rate", Usage: "replaces the scenario's requests per second"},
		&cli.DurationFlag{Name: "duration", Usage: "replaces the scenario's duration"},
		&cli.DurationFlag{Name: "warm-up", Usage: "replaces the scenario's warm-up"},
	}
}

// scenarioOf reads the scenario that the flags name.
func scenarioOf(c *cli.Command) (Scenario, error) {
	s, err := LoadScenario(c.String("scenario"))
	if err != nil {
		return s, err
	}
	if c.IsSet("seed") {
		s.Seed = c.Uint64("seed")
	}
	if c.IsSet("rate") {
		s.Rate = c.Float("rate")
	}
	if c.IsSet("duration") {
		s.Duration = c.Duration("duration")
	}
	if c.IsSet("warm-up") {
		s.WarmUp = c.Duration("warm-up")
	}
	if s.Rate <= 0 || s.Duration <= 0 {
		return s, Error.New("--rate %v and --duration %v have to be above 0", s.Rate, s.Duration)
	}
	return s, nil
}

func runAction(ctx context.Context, c *cli.Command) error {
	if output := c.String("output"); output != "text" && output != "json" {
		return Error.New("--output %q is neither text nor json", output)
	}
	s, err := scenarioOf(c)
	if err != nil {
		return err
	}
	fleet, policy, stop, err := fleetOf(c, s)
	if err != nil {
		return err
	}
	defer stop()
	samples, err := Run(ctx, s, fleet, c.Root().ErrWriter)
	if err != nil {
		return err
	}
	return deliver(c, Summarise(s, policy, samples, fleet.Stats()))
}

// fleetOf starts a fleet, or names the running one that the flags describe.
func fleetOf(c *cli.Command, s Scenario) (Fleet, string, func(), error) {
	if entries := c.StringSlice("entry"); len(entries) > 0 {
		f, err := NewRemoteFleet(entries, c.StringMap("token"), c.StringSlice("control"))
		return f, "running fleet", func() {}, err
	}
	p, ok := PolicyByName(c.String("policy"))
	if !ok {
		return nil, "", nil, Error.New("--policy %q is not one of: %s", c.String("policy"), policyNames())
	}
	b, err := NewLocalFleet(s, p)
	if err != nil {
		return nil, "", nil, err
	}
	return b, p.Name, b.Close, nil
}

// deliver writes the report in every form that was asked for.
func deliver(c *cli.Command, r Report) error {
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
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return Error.Wrap(enc.Encode(v))
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
