// Package stage holds the units of work of a request's stages.
package stage

import "time"

// Task is one piece of a request's stage.
type Task struct {
	// AttemptID is the request's id, Stage and Index the place of the task in it.
	AttemptID string
	Stage     int
	Index     int
	// Remaining is how long the result is of use.
	Remaining time.Duration
	// Key is for tasks of stages that read no results, Inputs for all others.
	Key    string
	Inputs []string
}

// Problem says why a task made no result.
type Problem string

// The problems of tasks.
const (
	NoProblem        Problem = ""
	DeadlineExceeded Problem = "late"
	InputMissing     Problem = "input gone"
	MemoryFull       Problem = "no room"
	Failed           Problem = "failed"
)

// Result is the handle of a task's result, or why there is none.
type Result struct {
	Handle  string
	Problem Problem
}
