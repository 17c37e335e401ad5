package coordinate

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxRefusedSubjects bounds the refused subjects that are remembered: those that are refused within some seconds.
const maxRefusedSubjects = 16384

// refusedSubjects remembers until when a new job of a refused subject counts as a retry. The subjects are hashed, as clients
// choose them and their length, and the ones refused longest ago yield.
//
// The load that it answers is a client whose requests are all refused, no two of one subject.
type refusedSubjects struct {
	until *simplelru.LRU[uint64, time.Time]
}

func newRefusedSubjects() refusedSubjects {
	until, err := simplelru.NewLRU[uint64, time.Time](maxRefusedSubjects, nil)
	if err != nil {
		panic(err) // the size is not positive
	}
	return refusedSubjects{until: until}
}

// add remembers a subject until a time. Jobs without a subject have no retries.
func (r refusedSubjects) add(subject string, until time.Time) {
	if subject != "" {
		r.until.Add(xxhash.Sum64String(subject), until)
	}
}

// has reports whether a new job of a subject counts as a retry.
func (r refusedSubjects) has(now time.Time, subject string) bool {
	until, _ := r.until.Peek(xxhash.Sum64String(subject))
	return now.Before(until)
}

// remove forgets a subject.
func (r refusedSubjects) remove(subject string) { r.until.Remove(xxhash.Sum64String(subject)) }
