package itest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/standin"
	"github.com/azurelead/azurelead/suspect"
)

const (
	crashEngineCount = 6
	engineDownTime   = 300 * time.Millisecond
	guideDeadline    = 4 * time.Second
)

func (s *system) callGuide(e *process, question string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), guideDeadline+time.Second)
	defer cancel()
	c := client.Client{URL: "http://" + e.addr, HTTP: &http.Client{}}
	defer c.HTTP.CloseIdleConnections()
	a, err := c.Do(ctx, client.Request{
		Token: hotflowToken, Pipeline: "guide", Deadline: guideDeadline, Body: entry.Body{Question: question, MaxTokens: 8},
	}, nil)
	return outcomeOf(a.Run, err)
}

// newCrashSystem has a pool of engines that come back some time after a crash.
func newCrashSystem(t *testing.T) *system {
	s := newSystem(t)
	for range crashEngineCount {
		s.addEndpoint(pipeline.Generate, "engines", "engine", "--listen", "127.0.0.1:0", "--down-for", engineDownTime.String(), "--step", "5ms")
	}
	s.entries = []*process{s.startEntry("entry1"), s.startEntry("entry2")}
	return s
}

// sendCrashUntilRefused sends the crashing request until the entry refuses it for that, and
// lets the engines that crashed come back in between.
func (s *system) sendCrashUntilRefused(e *process) {
	s.t.Helper()
	err := eventually(func() error {
		a := s.callGuide(e, "why does it hiss "+standin.CrashMarker)
		time.Sleep(2 * engineDownTime)
		if a.Code != contract.CodeSuspectRequest || a.Run != contract.NotRun {
			return fmt.Errorf("answered %v", a)
		}
		return nil
	})
	if err != nil {
		s.t.Error(err)
	}
}

// TestCrashingRequestIsRefusedEverywhere sends a request that crashes every
// engine that runs it through one entry until it is refused there. Once the
// other entry has heard of it, that one refuses it without losing an engine.
func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	t.Parallel()
	s := newCrashSystem(t)
	s.sendCrashUntilRefused(s.entries[0])
	lost := s.sumStat("crashes")
	if lost == 0 || lost > suspect.MaxEndpointCrashes {
		t.Errorf("%d engines crashed, bound %d", lost, suspect.MaxEndpointCrashes)
	}
	if err := eventually(func() error { return s.checkRefusalKnown(s.entries[1]) }); err != nil {
		t.Error(err)
	}
	s.sendCrashUntilRefused(s.entries[1])
	if n := s.sumStat("crashes"); n != lost {
		t.Errorf("%d engines crashed, %d before the other entry was asked", n, lost)
	}
}

// checkRefusalKnown checks that the entry has a request that it refuses.
func (s *system) checkRefusalKnown(e *process) error {
	resp, err := http.Get("http://" + e.operatorsAddr + "/metrics")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && !strings.Contains(string(text), `azurelead_suspect_marks{verdict="refused"} 1`) {
		err = fmt.Errorf("%s has heard of no request to refuse", e.name)
	}
	return err
}

// TestCrashingRequestAmongOthers sends the crashing request through two
// entries at once, without waiting until they have heard of each other's
// crashes, among requests of others. Each entry loses no more engines than one
// alone may, and every other request is answered once it is sent again.
func TestCrashingRequestAmongOthers(t *testing.T) {
	t.Parallel()
	s := newCrashSystem(t)
	others := s.startBackgroundLoad()
	var both sync.WaitGroup
	for _, e := range s.entries {
		both.Go(func() { s.sendCrashUntilRefused(e) })
	}
	both.Wait()
	for _, o := range others() {
		if o.Run != contract.Ran {
			t.Errorf("another request was not answered: %v", o)
		}
	}
	bound := suspect.MaxEndpointCrashes * len(s.entries)
	if n := s.sumStat("crashes"); n == 0 || n > bound {
		t.Errorf("%d engines crashed, bound %d", n, bound)
	}
}

// startBackgroundLoad keeps both entries busy until the returned function is called, which
// gives each caller's last answer. A caller sends again what was not answered.
func (s *system) startBackgroundLoad() func() []outcome {
	const callers = 8
	stop := make(chan struct{})
	results := make([]outcome, callers)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := 0; ; n++ {
				question := fmt.Sprintf("caller %d question %d", c, n)
				_ = eventually(func() error {
					if results[c] = s.callGuide(s.entries[c%2], question); results[c].Run != contract.Ran {
						return fmt.Errorf("%v", results[c])
					}
					return nil
				})
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	return func() []outcome {
		close(stop)
		wg.Wait()
		return results
	}
}
