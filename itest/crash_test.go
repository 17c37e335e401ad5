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

// callGuide sends the question through the entry to the pipeline guide.
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

// newCrashSystem starts two entries and a pool of engines that restart engineDownTime after a crash.
func newCrashSystem(t *testing.T) *system {
	s := newSystem(t)
	for range crashEngineCount {
		s.addEndpoint(pipeline.Generate, "engines", "engine", "--listen", "127.0.0.1:0", "--down-for", engineDownTime.String(), "--step", "5ms")
	}
	s.entries = []*process{s.startEntry("entry1"), s.startEntry("entry2")}
	return s
}

// sendCrashUntilRefused repeats the crashing request until the entry refuses it as suspect. It waits
// between two requests so that crashed engines can restart.
func (s *system) sendCrashUntilRefused(e *process) {
	s.t.Helper()
	err := eventually(func() error {
		a := s.callGuide(e, "why does it hiss "+standin.CrashMarker)
		time.Sleep(2 * engineDownTime)
		if a.Code != contract.CodeSuspectRequest || a.Run != contract.NotRun {
			return fmt.Errorf("got outcome %v, want a refusal as suspect", a)
		}
		return nil
	})
	if err != nil {
		s.t.Error(err)
	}
}

// TestCrashingRequestIsRefusedEverywhere sends a request that crashes every engine that runs it
// through one entry until that entry refuses it. Once the other entry has learnt of the refusal, it
// must refuse the request as well, without a further crash.
func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	t.Parallel()
	s := newCrashSystem(t)
	s.sendCrashUntilRefused(s.entries[0])
	crashes := s.sumStat("crashes")
	if crashes == 0 || crashes > suspect.MaxEndpointCrashes {
		t.Errorf("%d engines crashed, want at least 1 and at most %d", crashes, suspect.MaxEndpointCrashes)
	}
	if err := eventually(func() error { return s.checkRefusalKnown(s.entries[1]) }); err != nil {
		t.Error(err)
	}
	s.sendCrashUntilRefused(s.entries[1])
	if n := s.sumStat("crashes"); n != crashes {
		t.Errorf("%d engines crashed in total, %d of them before the request was sent to the other entry", n, crashes)
	}
}

// checkRefusalKnown returns an error unless the metrics of the entry show one refused request.
func (s *system) checkRefusalKnown(e *process) error {
	resp, err := http.Get("http://" + e.operatorsAddr + "/metrics")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && !strings.Contains(string(text), `azurelead_suspect_marks{verdict="refused"} 1`) {
		err = fmt.Errorf("%s has no mark with the verdict refused", e.name)
	}
	return err
}

// TestCrashingRequestAmongOthers sends the crashing request through two entries at once, mixed with
// requests of other callers and without waiting until the entries know of each other's crashes. Each
// entry may lose at most as many engines as an entry alone, and every other request must be answered
// when it is retried.
func TestCrashingRequestAmongOthers(t *testing.T) {
	t.Parallel()
	s := newCrashSystem(t)
	stopBackgroundLoad := s.startBackgroundLoad()
	var wg sync.WaitGroup
	for _, e := range s.entries {
		wg.Go(func() { s.sendCrashUntilRefused(e) })
	}
	wg.Wait()
	for _, o := range stopBackgroundLoad() {
		if o.Run != contract.Ran {
			t.Errorf("a request of another caller was not answered: %v", o)
		}
	}
	bound := suspect.MaxEndpointCrashes * len(s.entries)
	if n := s.sumStat("crashes"); n == 0 || n > bound {
		t.Errorf("%d engines crashed, want at least 1 and at most %d", n, bound)
	}
}

// startBackgroundLoad sends requests through both entries until the returned function is called.
// That function returns the last outcome of each caller. A caller retries a request until it is
// answered.
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
