package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// Servers of version v1 end at upgradeAt and are back as v2, under their ids, after upgradeTime. They crash once more
	// crashAfter their start. The store is silent from quietAt for silentTime, so that their entries are not seen before.
	upgradeAt   = 8 * time.Second
	upgradeTime = time.Second
	crashAfter  = 4700 * time.Millisecond
	quietAt     = 8900 * time.Millisecond
	upgradePlay = 18 * time.Second
	// upgradedCount is the number of servers that this happens to, of seven.
	upgradedCount = 2
	// mostMixed is the number of streams of two versions that the rule allows.
	mostMixed = 2
)

// playMislabelled starts two servers again under their ids, with another version of their software, while the store is
// silent, and crashes them soon after.
func playMislabelled(f *deployment, trouble bool) error {
	engine := fleettest.EngineService("llm")
	engine["coldStartS"], engine["coldPerS"] = coldStart.Seconds(), coldPerS
	f.configure(1, []map[string]any{fleettest.Route("ask", "/ask/", "streaming", "llm", map[string]any{
		"timeoutMs": askTimeout.Milliseconds(), "sticky": true, "resumable": true, "targetLatencyMs": 2400, "attempts": 2,
	})}, []map[string]any{engine})
	for i, version := range []string{"v1", "v1", "v1", "v1", "v1", "v2", "v2"} {
		s, err := newServer(f, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		s.version, s.coldStart, s.events, s.gap = version, coldStart, 30, 100*time.Millisecond
		f.servers = append(f.servers, s)
		f.register(s, "llm", i)
	}
	if err := f.start(3); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), upgradePlay)
	defer cancel()
	begin := time.Now()
	var list answers
	var clients sync.WaitGroup
	for i, g := range f.gateways {
		clients.Go(func() {
			c := newClient(ordinaryAddress, apiKey)
			every(ctx, 30*time.Millisecond, func(n int) {
				a := c.ask(g, "/ask/x", fmt.Sprintf("c%d%x:350", i, n), 350, askTimeout, askTimeout+2*time.Second)
				list.add(a)
				f.note("%s at %s: %d after %d ms, complete %v, versions %v %v", a.attempt, g.name, a.status, a.after.Milliseconds(), a.complete, a.versions, a.err)
			})
		})
	}
	if trouble {
		clients.Go(func() {
			upgraded := f.servers[:upgradedCount]
			sleepUntil(ctx, begin.Add(upgradeAt))
			for _, s := range upgraded {
				s.crash()
				f.note("%s of v1 ends", s.id)
			}
			sleepUntil(ctx, begin.Add(quietAt))
			f.store.SetFault(fleettest.Silent)
			f.note("the store is silent")
			back := begin.Add(upgradeAt + upgradeTime)
			sleepUntil(ctx, back)
			f.startUpgraded(upgraded)
			sleepUntil(ctx, back.Add(crashAfter))
			for _, s := range upgraded {
				s.crash()
				f.note("%s of v2 crashes", s.id)
			}
			sleepUntil(ctx, begin.Add(quietAt+silentTime))
			f.store.SetFault(fleettest.Healthy)
			f.note("the store is back")
			sleepUntil(ctx, back.Add(crashAfter+upgradeTime))
			f.startUpgraded(upgraded)
			for i, s := range upgraded {
				f.register(s, "llm", i)
			}
		})
	}
	clients.Wait()
	mixed := 0
	for _, a := range list.list {
		if len(a.versions) > 1 {
			mixed++
		}
	}
	f.note("%d streams, %d of them hold events of two versions", len(list.list), mixed)
	if mixed > mostMixed {
		f.breaks("%d streams hold events of two versions", mixed)
	}
	return nil
}

// startUpgraded starts servers again as v2.
func (f *deployment) startUpgraded(upgraded []*server) {
	for _, s := range upgraded {
		if err := s.startAgain("v2"); err != nil {
			f.note("%s could not start again: %v", s.id, err)
			continue
		}
		f.note("%s is back as v2", s.id)
	}
}
