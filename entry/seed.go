package entry

import (
	"context"

	"github.com/azurelead/azurelead/platform"
)

// seedInstances asks the agents at the seed addresses for their identity, for an entry
// that starts while the instance list cannot be read. Agents that do not answer are
// omitted; the next refresh tries them again.
func (f *fleet) seedInstances(ctx context.Context) []platform.Instance {
	var found []platform.Instance
	for _, addr := range f.o.SeedAgents {
		if f.dialLimiter.Wait(ctx) != nil {
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
