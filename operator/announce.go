package operator

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/membership"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

// Limits of an announcement.
const (
	maxAgentsPerDataCentre = 3
	announceTimeout        = 3 * time.Second
	announcePollInterval   = 20 * time.Millisecond
)

// Announcement counts the agents that were notified of an accepted change, and those of them that
// have it in force.
type Announcement struct {
	Notified int `json:"told"`
	InForce  int `json:"in_force"`
}

// Announce notifies a few agents of each data centre of an accepted change over links and waits, at
// most announceTimeout, until they have it in force. The change then spreads among the agents and
// entries even if the store fails right after the acceptance and no watcher saw the change.
func Announce(ctx context.Context, tree *settings.StoredTree, instances []platform.Instance, config *tls.Config) (Announcement, error) {
	follower, err := tree.Follower()
	if err != nil {
		return Announcement{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	agents := selectAgents(instances)
	var inForce atomic.Int64
	var wg sync.WaitGroup
	for _, agent := range agents {
		wg.Go(func() {
			if notifyAgent(ctx, follower, agent.AgentAddress, config) {
				inForce.Add(1)
			}
		})
	}
	wg.Wait()
	return Announcement{Notified: len(agents), InForce: int(inForce.Load())}, nil
}

// selectAgents returns up to maxAgentsPerDataCentre live agents of each data centre. The list of
// instances lags behind, so one agent may not be enough.
func selectAgents(instances []platform.Instance) []platform.Instance {
	selected := map[string]int{}
	var out []platform.Instance
	for _, instance := range instances {
		if instance.State != platform.Live || instance.Pool == membership.EntryPool || selected[instance.DataCentre] == maxAgentsPerDataCentre {
			continue
		}
		selected[instance.DataCentre]++
		out = append(out, instance)
	}
	return out
}

// notifyAgent opens a link whose handshake states the settings version, so that the agent fetches
// the changes that it lacks. It reports whether the agent has the version in force.
func notifyAgent(ctx context.Context, follower *settings.Follower, addr string, config *tls.Config) bool {
	c, err := link.Dial(ctx, addr, link.ClientOptions{
		Hello:  link.HelloParams{Entry: "operator-" + uuid.NewString(), EntryBoot: contract.NewBootID()},
		TLS:    config,
		Gossip: announcer{follower},
	})
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	for ctx.Err() == nil {
		var r link.PingResult
		if c.Call(ctx, link.MethodPing, link.PingParams{Settings: follower.Version()}, &r) != nil {
			return false
		}
		if r.Settings >= follower.Version() {
			return true
		}
		time.Sleep(announcePollInterval)
	}
	return false
}

// announcer implements link.Gossip for a command that distributes one settings tree.
type announcer struct{ follower *settings.Follower }

// Version implements link.Gossip.
func (a announcer) Version() link.Version { return a.follower.Version() }

// ObserveVersion implements link.Gossip. It does nothing: a command fetches no settings from peers.
func (announcer) ObserveVersion(link.Version, func(context.Context, link.Version) (link.SettingsResult, error)) {
}

// Changes implements link.Gossip.
func (a announcer) Changes(have link.Version) (link.SettingsResult, error) {
	return a.follower.ChangesSince(have)
}

// Suspects implements link.Gossip.
func (announcer) Suspects() []link.Suspect { return nil }

// Merge implements link.Gossip.
func (announcer) Merge([]link.Suspect) {}
