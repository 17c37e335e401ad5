package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

var (
	// breaks are the ways in which engines break off streams.
	breaks = []fleettest.Behaviour{
		fleettest.ResetMidResponse, fleettest.ResetMidEvent, fleettest.CloseMidEvent, fleettest.CloseBeforeEnd,
		fleettest.ErrorBetweenEvents, fleettest.ErrorInsideEvent,
	}
	// errorAnswers are the ways in which engines answer in place of going on with a stream that broke off; one that
	// starts it again is sound.
	errorAnswers = []fleettest.Behaviour{
		fleettest.FailAfterRun, fleettest.NotFoundAfterRun, fleettest.NoContentAfterRun, fleettest.Unsigned,
		fleettest.ErrorPage, fleettest.EmptyPage, fleettest.ErrorEvent, fleettest.EmptyStream,
		fleettest.ErrorBetweenEvents, fleettest.ErrorInsideEvent, fleettest.RestartStream, fleettest.SkipEvent,
	}
)

// breakStreams makes the engines break off streams for a while, and answer with errors where an entry lets a stream
// go on. It is no fault of the list, so that the schedules of all seeds stay what they are.
func (r *run) breakStreams(rng *rand.Rand) func() {
	offset := time.Duration(rng.Int64N(int64(r.o.Duration)))
	duration := time.Duration(1000+rng.IntN(2000)) * time.Millisecond
	first, interval := rng.IntN(100), 2+rng.IntN(3)
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s streams broken off (%v)", offset.Seconds(), duration))
	return func() {
		time.Sleep(offset)
		r.setEngineBehaviour(func(n int, req *http.Request) fleettest.Behaviour {
			n += first
			switch {
			case isContinuation(req) && n%interval > 0:
				return errorAnswers[n%len(errorAnswers)]
			case req.Header.Get("Last-Event-Id") == "" && n%interval == 0:
				return breaks[n/interval%len(breaks)]
			}
			return fleettest.Serve
		})
		time.Sleep(duration)
		r.setEngineBehaviour(func(int, *http.Request) fleettest.Behaviour { return fleettest.Serve })
	}
}

// isContinuation reports whether an entry continues a stream within its answer, as opposed to a client that resumes
// it.
func isContinuation(req *http.Request) bool {
	return req.Header.Get("Last-Event-Id") != "" && req.Header.Get("Resumes") == ""
}

func (r *run) setEngineBehaviour(f func(n int, req *http.Request) fleettest.Behaviour) {
	for i, s := range r.servers {
		if r.endpointSpecs[i]["service"] == "llm" {
			s.SetBehaviour(f)
		}
	}
}
