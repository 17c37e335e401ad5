package operator

import (
	"cmp"
	"context"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

func statusCommand(o Options) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the settings version, the data centres and the listed instances",
		Description: "The list of instances lags behind the truth by some seconds.\n\n" + exitHelp,
		Flags:       commonFlags(), Action: o.with(showStatus),
	}
}

// statusAnswer is the state of a fleet as the platform knows it.
type statusAnswer struct {
	Settings      settings.Version `json:"settings"`
	Organisations int              `json:"organisations"`
	Pipelines     int              `json:"pipelines"`
	Pools         []poolStatus     `json:"pools"`
}

// poolStatus counts the listed instances of one pool in one data centre.
type poolStatus struct {
	DataCentre string `json:"data_centre"`
	Out        bool   `json:"out"`
	Pool       string `json:"pool"`
	Live       int    `json:"live"`
	Leaving    int    `json:"leaving"`
}

func showStatus(ctx context.Context, s *session) error {
	snapshot, err := s.document(ctx, 0)
	if err != nil {
		return err
	}
	list, err := s.platform.Instances(ctx)
	if err != nil {
		return err
	}
	a := statusAnswer{
		Settings:      snapshot.Version,
		Organisations: len(snapshot.Document.Organisations),
		Pipelines:     len(snapshot.Document.Pipelines),
		Pools:         countPools(snapshot, list),
	}
	return write(s.c, a, func(p *printer) {
		p.line("settings version %d, %d organisations, %d pipelines", a.Settings, a.Organisations, a.Pipelines)
		for _, ps := range a.Pools {
			p.line("%-12s %-4s %-16s %d live, %d leaving", ps.DataCentre, inOrOut(ps.Out), ps.Pool, ps.Live, ps.Leaving)
		}
	})
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// countPools counts instances, and lists data centres without any as well.
func countPools(snapshot *settings.Snapshot, list []platform.Instance) []poolStatus {
	type key struct{ dataCentre, pool string }
	counts := map[key]*poolStatus{}
	at := func(dataCentre, pool string) *poolStatus {
		k := key{dataCentre, pool}
		if counts[k] == nil {
			counts[k] = &poolStatus{DataCentre: dataCentre, Pool: pool, Out: snapshot.OutOfService(dataCentre)}
		}
		return counts[k]
	}
	listed := map[string]bool{}
	for _, i := range list {
		listed[i.DataCentre] = true
		if i.State == platform.Leaving {
			at(i.DataCentre, i.Pool).Leaving++
			continue
		}
		at(i.DataCentre, i.Pool).Live++
	}
	for name := range snapshot.Document.DataCentres {
		if !listed[name] {
			at(name, "-")
		}
	}
	var out []poolStatus
	for _, ps := range counts {
		out = append(out, *ps)
	}
	slices.SortFunc(out, func(a, b poolStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}
