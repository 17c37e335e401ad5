//go:build review

// Command review plays the cases of the review that cannot be put as a day of the bench. It starts the
// project's gateway as separate processes with the command of the deploy file, plays the platform, the servers
// and the requesters around them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*run) (violations []string){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE GATEWAY RECORD")
		os.Exit(failed)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(failed)
	}
	r, err := newRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(r.play(play, os.Args[3]))
}

// record collects what was sent, answered and run, with the time since the start of the case.
type record struct {
	start time.Time
	mu    sync.Mutex
	lines []line
}

type line struct {
	at   time.Duration
	text string
}

func (r *record) add(format string, args ...any) {
	at := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, k int) bool { return r.lines[i].at < r.lines[k].at })
	var text strings.Builder
	for _, l := range r.lines {
		fmt.Fprintf(&text, "%9.3f %s\n", l.at.Seconds(), l.text)
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
