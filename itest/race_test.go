package itest

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// racingEntries is how many entries get the same booking at once.
const racingEntries = 3

func newRaceSystem(t *testing.T) *system {
	s := newSystem(t)
	s.addEndpoint(pipeline.Service, "bookings", "service", "--listen", "127.0.0.1:0", "--service-time", "5ms")
	for i := range racingEntries {
		s.entries = append(s.entries, s.startEntry(fmt.Sprintf("entry%d", i+1)))
	}
	return s
}

// bookThroughAll sends one booking through all entries at once.
func (s *system) bookThroughAll(key string) [racingEntries]outcome {
	var answers [racingEntries]outcome
	var sent sync.WaitGroup
	for i, e := range s.entries {
		sent.Go(func() { answers[i] = s.book(e, key) })
	}
	sent.Wait()
	return answers
}

// checkRace checks that one booking was made, and that whoever lost was told
// what became of it or that it is in progress, never that it did not run.
func (s *system) checkRace(key string, answers [racingEntries]outcome, booked int) {
	s.t.Helper()
	if booked != 1 {
		s.t.Errorf("%s: booked %d times: %v", key, booked, answers)
	}
	for i, a := range answers {
		if a.Run == contract.NotRun {
			s.t.Errorf("%s: entry %d answered %v, and the booking of the key ran", key, i+1, a)
		}
	}
}

func TestSameKeyThroughThreeEntries(t *testing.T) {
	s := newRaceSystem(t)
	for n := range 200 {
		key := fmt.Sprintf("same-%d", n)
		before := s.sumStat("references.total")
		answers := s.bookThroughAll(key)
		s.checkRace(key, answers, s.sumStat("references.total")-before)
	}
}

// The entries are paused in turn while the booking is on its way through them.
func TestSameKeyThroughPausedEntries(t *testing.T) {
	s := newRaceSystem(t)
	for n := range 20 {
		key := fmt.Sprintf("paused-%d", n)
		before := s.sumStat("references.total")
		paused := s.entries[n%racingEntries]
		at := time.Duration(n%10) * 2 * time.Millisecond
		time.AfterFunc(at, func() { _ = paused.signal(syscall.SIGSTOP) })
		time.AfterFunc(at+600*time.Millisecond, func() { _ = paused.signal(syscall.SIGCONT) })
		answers := s.bookThroughAll(key)
		s.checkRace(key, answers, s.sumStat("references.total")-before)
	}
}
