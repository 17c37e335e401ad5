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

// racingEntries is the number of entries that receive the same booking at once.
const racingEntries = 3

// newRaceSystem starts one service and the entries.
func newRaceSystem(t *testing.T) *system {
	s := newSystem(t)
	s.addEndpoint(pipeline.Service, "bookings", "service", "--listen", "127.0.0.1:0", "--service-time", "5ms")
	for i := range racingEntries {
		s.entries = append(s.entries, s.startEntry(fmt.Sprintf("entry%d", i+1)))
	}
	return s
}

// bookThroughAll sends the same booking through all entries at once.
func (s *system) bookThroughAll(key string) [racingEntries]outcome {
	var outcomes [racingEntries]outcome
	var wg sync.WaitGroup
	for i, e := range s.entries {
		wg.Go(func() { outcomes[i] = s.book(e, key) })
	}
	wg.Wait()
	return outcomes
}

// checkRace checks that exactly one booking ran and that no entry reported it as not run. An entry
// that lost the race must report the outcome of the booking or that it is in progress.
func (s *system) checkRace(key string, outcomes [racingEntries]outcome, booked int) {
	s.t.Helper()
	if booked != 1 {
		s.t.Errorf("%s: booked %d times, want 1: %v", key, booked, outcomes)
	}
	for i, o := range outcomes {
		if o.Run == contract.NotRun {
			s.t.Errorf("%s: entry %d reported %v, but the booking with this key ran", key, i+1, o)
		}
	}
}

// TestSameKeyThroughThreeEntries sends bookings with the same key through three entries at once.
func TestSameKeyThroughThreeEntries(t *testing.T) {
	s := newRaceSystem(t)
	for n := range 200 {
		key := fmt.Sprintf("same-%d", n)
		before := s.sumStat("references.total")
		outcomes := s.bookThroughAll(key)
		s.checkRace(key, outcomes, s.sumStat("references.total")-before)
	}
}

// TestSameKeyThroughPausedEntries pauses the entries in turn while a booking with the same key is in
// progress through all of them.
func TestSameKeyThroughPausedEntries(t *testing.T) {
	s := newRaceSystem(t)
	for n := range 20 {
		key := fmt.Sprintf("paused-%d", n)
		before := s.sumStat("references.total")
		paused := s.entries[n%racingEntries]
		delay := time.Duration(n%10) * 2 * time.Millisecond
		time.AfterFunc(delay, func() { _ = paused.signal(syscall.SIGSTOP) })
		time.AfterFunc(delay+600*time.Millisecond, func() { _ = paused.signal(syscall.SIGCONT) })
		outcomes := s.bookThroughAll(key)
		s.checkRace(key, outcomes, s.sumStat("references.total")-before)
	}
}
