package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// upgraded is the service that has one software version until the release beside a paused entry.
	upgraded = "upgraded"
	// upgradedStreams is the number of streams that run during the release.
	upgradedStreams = 16
)

// addUpgraded starts two engines of a version of the service and lists them.
func (r *run) addUpgraded(version string) {
	for i := range 2 {
		s := fleettest.NewServer(fmt.Sprintf("%s-%s-%d-%d", upgraded, version, r.o.Seed, i))
		s.SetVersion(version)
		s.SetStream(streamEvents, 100*time.Millisecond)
		r.upgraded = append(r.upgraded, s)
		r.store.Put(fleet.KindEndpoints, s.ID, s.EndpointSpec(upgraded, fmt.Sprintf("dc-%d", i%dataCentres)))
	}
}

// releaseBesidePausedEntry lists engines of a second software version while one entry is paused, and kills another one at
// which streams have begun since. Their clients resume them at the paused entry, which continues then.
func (r *run) releaseBesidePausedEntry(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 6))
	order := rng.Perm(len(r.entries))
	killed, paused := r.entries[order[0]], r.entries[order[1]]
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%v after the start a version is listed while %s is paused, and %s killed", r.o.Settle, paused.name, killed.name))
	r.disruptions.Add(2)
	paused.setDisrupted(true)
	paused.signal(syscall.SIGSTOP)
	r.addUpgraded(engineVersions[1])
	time.Sleep(time.Duration(200+rng.IntN(200)) * time.Millisecond)
	var streams sync.WaitGroup
	for i := range upgradedStreams {
		streams.Go(func() { r.resumeUpgraded(ctx, killed, paused, i) })
	}
	time.Sleep(time.Duration(300+rng.IntN(400)) * time.Millisecond)
	killed.setDisrupted(true)
	killed.signal(syscall.SIGKILL)
	<-killed.exited()
	time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	paused.continueProcess()
	streams.Wait()
	r.restart(killed)
	if err := r.awaitReady(ctx); err != nil {
		r.recordViolation("after the release beside a paused entry: %v", err)
	}
}

// resumeUpgraded sends a request for a stream to one entry, and resumes the stream at another when it breaks off. It
// checks that all events are of one version.
func (r *run) resumeUpgraded(ctx context.Context, first, next *entry, i int) {
	send := func(e *entry, id string, header http.Header) response {
		return r.sendTo(ctx, http.DefaultClient, e, response{id: id, kind: upgraded}, "POST", "/stream/"+upgraded+"/x", "", header)
	}
	id := fmt.Sprintf("%s-%d-%d", upgraded, r.o.Seed, i)
	resp := send(first, id, nil)
	body := resp.body
	if resp.isBroken() {
		body = body[:strings.LastIndex(body, "\n\n")+2]
		resumed := send(next, id+"-resumed", http.Header{"Resumes": {id}, "Last-Event-Id": {fmt.Sprint(resp.events())}})
		if resumed.status == http.StatusOK {
			body += resumed.body
		}
		r.mu.Lock()
		r.report.Resumptions++
		if resumed.events() > 0 {
			r.report.Continued++
		}
		r.mu.Unlock()
	}
	if body != "" && !isStreamOfOneVersion(body, false) {
		r.recordViolation("%s was resumed after %d events and got events of several versions: %q", id, resp.events(), body)
	}
}
