package entry

import (
	"context"

	"github.com/azurelead/azurelead/platform"
)

// seeds asks the agents at the seed addresses what they are, for an entry that
// starts while the platform's list cannot be read. Agents that do not answer
// are left out; the next refresh asks again.
func (f *fleet) seeds(ctx context.Context) []platform.Instance {
	var found []platform.Instance
	for _, addr := range f.o.SeedAgents {
		if f.dials.Wait(ctx) != nil {
			return found
		}
		l, err := f.o.Dial(ctx, addr)
		if err != nil {
			f.m.dials.WithLabelValues("failed").Inc()
			continue
		}
		peer := l.Peer()
		_ = l.Close()
		found = append(found, platform.Instance{
			Name: peer.Agent, Pool: peer.Pool, Kind: peer.Kind, DataCentre: peer.DataCentre, AgentAddress: addr, State: platform.Live,
		})
	}
	return found
}
