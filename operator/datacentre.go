package operator

import (
	"context"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/settings"
)

func dataCentreCommand(o Options) *cli.Command {
	return &cli.Command{
		Name: "datacentre", Usage: "take data centres out of service and bring them back", Description: exitHelp,
		Commands: []*cli.Command{
			setOutCommand(o, "out", "take a data centre out: it gets no new work, and work in progress finishes", true),
			setOutCommand(o, "in", "bring a data centre back: its endpoints ramp up from their cold limit", false),
		},
	}
}

func setOutCommand(o Options, name, usageText string, out bool) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usageText, ArgsUsage: "NAME", Description: exitHelp, Flags: changeFlags(),
		Action: o.withSession(func(ctx context.Context, s *session) error { return s.setOut(ctx, out) }),
	}
}

func (s *session) setOut(ctx context.Context, out bool) error {
	if s.c.Args().Len() != 1 {
		return usageError("argument NAME: %d given; exactly one data centre is allowed", s.c.Args().Len())
	}
	name := s.c.Args().First()
	known, err := s.dataCentres(ctx)
	if err != nil {
		return err
	}
	if !slices.Contains(known, name) {
		// The settings accept any name, so a misspelt one would take nothing out of service.
		return usageError("argument NAME: data centre %q is not known; allowed: %s", name, strings.Join(known, ", "))
	}
	return s.applyChange(ctx, func(d settings.Document) (settings.Document, error) {
		if d.DataCentres == nil {
			d.DataCentres = map[string]settings.DataCentre{}
		}
		dc := d.DataCentres[name]
		dc.Out = out
		d.DataCentres[name] = dc
		return d, nil
	})
}

// dataCentres returns the names of the data centres in the settings and in the list of instances.
// The list may be unavailable: the settings are enough to take a data centre out of service.
func (s *session) dataCentres(ctx context.Context) ([]string, error) {
	snapshot, err := s.loadSnapshot(ctx, 0)
	if err != nil {
		return nil, err
	}
	var names []string
	for name := range snapshot.Document.DataCentres {
		names = append(names, name)
	}
	if instances, err := s.platform.Instances(ctx); err == nil {
		for _, instance := range instances {
			names = append(names, instance.DataCentre)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}
