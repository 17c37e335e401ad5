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

// Bounds of an announcement.
const (
	announcePerDataCentre = 3
	announceBound         = 3 * time.Second
	announcePoll          = 20 * time.Millisecond
)

// Announcement is how many of the agents that were told of an accepted change
// have it in force.
type Announcement struct {
	Notified    int `json:"told"`
	InForce int `json:"in_force"`
}

// Announce tells a few agents of each data centre of an accepted change, over
// links, and waits until they have it in force. The change then spreads among
// them and their entries also when the store is gone right after the
// acceptance and no watcher saw it.
func Announce(ctx context.Context, tree *settings.StoredTree, instances []platform.Instance, config *tls.Config) (Announcement, error) {
	holder, err := tree.Follower()
	if err != nil {
		return Announcement{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, announceBound)
	defer cancel()
	chosen := announceTo(instances)
	var inForce atomic.Int64
	var wg sync.WaitGroup
	for _, in := range chosen {
		wg.Go(func() {
			if tell(ctx, holder, in.AgentAddress, config) {
				inForce.Add(1)
			}
		})
	}
	wg.Wait()
	return Announcement{Notified: len(chosen), InForce: int(inForce.Load())}, nil
}

// announceTo picks agents of each data centre, live ones only. The list lags,
// so more than one is told.
func announceTo(instances []platform.Instance) []platform.Instance {
	told := map[string]int{}
	var out []platform.Instance
	for _, in := range instances {
		if in.State != platform.Live || in.Pool == membership.EntryPool || told[in.DataCentre] == announcePerDataCentre {
			continue
		}
		told[in.DataCentre]++
		out = append(out, in)
	}
	return out
}

// tell opens a link whose handshake names the version, from which the agent
// fetches what it lacks. It reports whether the agent has it in force.
func tell(ctx context.Context, holder *settings.Follower, addr string, config *tls.Config) bool {
	c, err := link.Dial(ctx, addr, link.ClientOptions{
		Hello:  link.HelloParams{Entry: "operator-" + uuid.NewString(), EntryBoot: contract.NewBootID()},
		TLS:    config,
		Gossip: announcer{holder},
	})
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	for ctx.Err() == nil {
		var r link.PingResult
		if c.Call(ctx, link.MethodPing, link.PingParams{Settings: holder.Version()}, &r) != nil {
			return false
		}
		if r.Settings >= holder.Version() {
			return true
		}
		time.Sleep(announcePoll)
	}
	return false
}

// announcer is the link.Gossip of a command that passes one tree on.
type announcer struct{ holder *settings.Follower }

// Version implements link.Gossip.
func (a announcer) Version() link.Version { return a.holder.Version() }

// ObserveVersion implements link.Gossip. A command takes nothing from its peers.
func (announcer) ObserveVersion(link.Version, func(context.Context, link.Version) (link.SettingsResult, error)) {
}

// Changes implements link.Gossip.
func (a announcer) Changes(have link.Version) (link.SettingsResult, error) {
	return a.holder.ChangesSince(have)
}

// Suspects implements link.Gossip.
func (announcer) Suspects() []link.Suspect { return nil }

// Merge implements link.Gossip.
func (announcer) Merge([]link.Suspect) {}
