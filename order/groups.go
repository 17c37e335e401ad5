package order

import (
	"slices"

	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

// GroupsOf returns the groups of engines whose models the settings name.
// Data centres that are taken out of service are skipped, so their engines get no orders.
func GroupsOf(s *settings.Snapshot, instances []platform.Instance) []Group {
	var groups []Group
	for dc, c := range s.Document.DataCentres {
		for pool, p := range c.Pools {
			if c.Out || len(p.Models) == 0 {
				continue
			}
			g := Group{Desired: desiredModels(p.Models)}
			for _, i := range instances {
				if i.DataCentre == dc && i.Pool == pool && i.Kind == pipeline.Generate && i.State == platform.Live {
					g.Instances = append(g.Instances, i)
				}
			}
			groups = append(groups, g)
		}
	}
	return groups
}

func desiredModels(models []settings.DesiredModel) []DesiredModel {
	var desired []DesiredModel
	for _, m := range models {
		desired = append(desired, DesiredModel{
			Target:    Target{Model: m.Model, Version: m.Version, Adapters: slices.Clone(m.Adapters), Role: Role(m.Role)},
			MinCopies: m.MinCopies, MaxCopies: m.MaxCopies, TargetUtilisation: m.TargetUtilisation,
		})
	}
	return desired
}
