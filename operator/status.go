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
		Description: "The list of instances is some seconds out of date.\n\n" + exitHelp,
		Flags:       commonFlags(), Action: o.withSession(showStatus),
	}
}

// statusResult is the state of a fleet according to the platform.
type statusResult struct {
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
	snapshot, err := s.loadSnapshot(ctx, 0)
	if err != nil {
		return err
	}
	instances, err := s.platform.Instances(ctx)
	if err != nil {
		return err
	}
	result := statusResult{
		Settings:      snapshot.Version,
		Organisations: len(snapshot.Document.Organisations),
		Pipelines:     len(snapshot.Document.Pipelines),
		Pools:         countPools(snapshot, instances),
	}
	return writeResult(s.c, result, func(p *printer) {
		p.line("settings version %d, %d organisations, %d pipelines", result.Settings, result.Organisations, result.Pipelines)
		for _, ps := range result.Pools {
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

// countPools counts the instances of each pool. Data centres without instances are listed as well,
// with the pool "-".
func countPools(snapshot *settings.Snapshot, instances []platform.Instance) []poolStatus {
	type key struct{ dataCentre, pool string }
	counts := map[key]*poolStatus{}
	statusOf := func(dataCentre, pool string) *poolStatus {
		k := key{dataCentre, pool}
		if counts[k] == nil {
			counts[k] = &poolStatus{DataCentre: dataCentre, Pool: pool, Out: snapshot.OutOfService(dataCentre)}
		}
		return counts[k]
	}
	listed := map[string]bool{}
	for _, instance := range instances {
		listed[instance.DataCentre] = true
		if instance.State == platform.Leaving {
			statusOf(instance.DataCentre, instance.Pool).Leaving++
			continue
		}
		statusOf(instance.DataCentre, instance.Pool).Live++
	}
	for name := range snapshot.Document.DataCentres {
		if !listed[name] {
			statusOf(name, "-")
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
