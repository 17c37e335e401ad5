package coordinate

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleettest"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/stage"
	"github.com/azurelead/azurelead/upstream"
)

func newTestCoordinator(t *testing.T, s *fleettest.Server) *Coordinator {
	services := map[string]*catalog.Service{"portal": {Name: "portal", Stages: &catalog.StageLimits{
		Slots: 1, Batch: 8, CallTime: 20 * time.Millisecond, TaskTime: time.Millisecond, ResultMemory: 1e6, ResultTTL: 4 * time.Second,
	}}}
	r := roster.New(nil)
	r.SetServices(services)
	r.SetEndpoints(time.Now(), []catalog.Endpoint{{ID: s.ID, Service: "portal", Address: s.Address(), DataCentre: "north", Slots: 1}}, false)
	c := New(Options{Upstream: upstream.New(upstream.Options{}), Roster: r, Logger: slog.New(slog.DiscardHandler)})
	c.SetServices(services)
	go c.Run(t.Context())
	return c
}

// An entry that lost its link asks for the job again on a new one and gets the
// results of the work that went on: nothing is done twice.
func TestLostLinkKeepsTheJob(t *testing.T) {
	s := fleettest.NewServer("portal-1")
	t.Cleanup(s.Close)
	started, finish := make(chan struct{}), make(chan struct{})
	s.SetBehaviour(func(n int, _ *http.Request) fleettest.Behaviour {
		if n == 0 {
			close(started)
			<-finish
		}
		return fleettest.Serve
	})
	c := newTestCoordinator(t, s)
	job := peers.Job{
		ID: "job", Key: "k", TargetMS: 30000, DeadlineMS: 60000,
		Stages: []dispatch.Stage{{Service: "portal", Tasks: 3, ResultBytes: 1000}},
	}
	link, cut := context.WithCancel(t.Context())
	first := make(chan peers.Outcome, 1)
	go func() { first <- c.Submit(link, job, untold) }()
	<-started
	cut()
	if o := <-first; o.Problem == "" {
		t.Errorf("the lost link brought %+v", o)
	}
	second := make(chan peers.Outcome, 1)
	go func() { second <- c.Submit(t.Context(), job, untold) }()
	close(finish)
	if o := <-second; len(o.Handles) != 3 || o.Problem != "" {
		t.Errorf("the new link brought %+v", o)
	}
	if n := s.Requests(); n != 1 {
		t.Errorf("the endpoint was called %d times", n)
	}
	c.Release("job", false)
}

// An endpoint that was learnt of just after a look at the roster is used at once.
func TestNewEndpointsAreUsedAtOnce(t *testing.T) {
	s := fleettest.NewServer("portal-1")
	t.Cleanup(s.Close)
	c := newTestCoordinator(t, s)
	c.o.Roster.SetEndpoints(time.Now(), nil, false)
	job := peers.Job{ID: "job", Key: "k", TargetMS: 30000, DeadlineMS: 60000, Stages: []dispatch.Stage{{Service: "portal", Tasks: 1, ResultBytes: 1000}}}
	c.InvalidateEndpoints()
	if o := c.Submit(t.Context(), job, untold); !o.Refused {
		t.Fatalf("without endpoints: %+v", o)
	}
	c.o.Roster.SetEndpoints(time.Now(), []catalog.Endpoint{{ID: s.ID, Service: "portal", Address: s.Address(), DataCentre: "north", Slots: 1}}, false)
	c.InvalidateEndpoints()
	if o := c.Submit(t.Context(), job, untold); o.Refused || len(o.Handles) != 1 {
		t.Errorf("with one: %+v", o)
	}
}

// untold is for submitters that do not want to know what is made.
func untold([]dispatch.StageResults) {}

// Another dispatcher goes on from what the submitter was told: the first stage is
// not done again.
func TestWhatWasMadeIsToldAndTakenUp(t *testing.T) {
	s := fleettest.NewServer("portal-1")
	t.Cleanup(s.Close)
	finish := make(chan struct{})
	var calls atomic.Int64
	s.SetBehaviour(func(_ int, r *http.Request) fleettest.Behaviour {
		if strings.HasSuffix(r.URL.Path, "run") && calls.Add(1) == 2 {
			<-finish // the second stage, of the dispatcher that is lost
		}
		return fleettest.Serve
	})
	job := peers.Job{
		ID: "job", Key: "k", TargetMS: 30000, DeadlineMS: 60000,
		Stages: []dispatch.Stage{{Service: "portal", Tasks: 3, ResultBytes: 1000}, {Service: "portal", After: []int{0}, Tasks: 2, ResultBytes: 1000}},
	}
	told := make(chan []dispatch.StageResults, 1)
	go newTestCoordinator(t, s).Submit(t.Context(), job, func(made []dispatch.StageResults) { told <- made })
	job.PriorResults = <-told
	close(finish)
	o := newTestCoordinator(t, s).Submit(t.Context(), job, untold)
	if len(o.Handles) != 2 || o.Problem != "" {
		t.Errorf("the other dispatcher brought %+v", o)
	}
	if n := calls.Load(); n != 3 {
		t.Errorf("the endpoint did %d calls", n)
	}
}

// The results of a job whose link was lost are given up if its entry's process is
// gone, and left alone if it is not: another dispatcher may have the job.
func TestResultsOfALostLinkAreLeftToTheLiving(t *testing.T) {
	for _, gone := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := New(Options{Logger: slog.New(slog.DiscardHandler), EntryGone: func(name, incarnation string) bool {
				return gone && name == "e" && incarnation == "1"
			}})
			d := c.d
			d.SetService("portal", catalog.StageLimits{Slots: 1, Batch: 8, ResultMemory: 1e6, ResultTTL: 4 * time.Second})
			d.SetEndpoints("portal", []catalog.Endpoint{{ID: "p", Service: "portal"}})
			job := peers.Job{
				ID: "job", TargetMS: 30000, DeadlineMS: 60000, Name: "e", Incarnation: "1",
				Stages: []dispatch.Stage{{Service: "portal", Tasks: 1, ResultBytes: 1000}, {Service: "portal", After: []int{0}, Tasks: 1, ResultBytes: 1000}},
			}
			d.Submit(time.Now(), job.Dispatch(time.Now()))
			w := newWaiter(dispatch.Admission{}, job)
			w.ended, w.orphaned = nil, time.Now()
			c.waiters["job"] = w
			d.Complete(time.Now(), d.Schedule(time.Now())[0].ID, []stage.Result{{Handle: "h"}})
			time.Sleep(orphanTime + time.Millisecond)
			c.expire()
			if freed := len(d.TakeFreeRequests()) == 1; freed != gone || d.Busy() {
				t.Errorf("entry gone: %v, results given up: %v, busy: %v", gone, freed, d.Busy())
			}
		})
	}
}
