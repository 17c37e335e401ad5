// Package stage defines the tasks of a request's stages and their results.
package stage

import "time"

// Task is one unit of work of a request's stage.
type Task struct {
	// AttemptID identifies the attempt of the request.
	AttemptID string
	// Stage is the index of the stage in the request, Index that of the task in the
	// stage.
	Stage int
	Index int
	// Remaining is the time until the request's deadline, after which the result is
	// of no use.
	Remaining time.Duration
	// Key is the request's task key. It is set for tasks of stages without inputs.
	Key string
	// Inputs are the handles of the results that the task reads. It is set for tasks
	// of all other stages.
	Inputs []string
}

// Problem is the reason why a task has no result.
type Problem string

// Problems of tasks.
const (
	// NoProblem means that the task has a result.
	NoProblem Problem = ""
	// DeadlineExceeded means that the request's deadline passed before the task was done.
	DeadlineExceeded Problem = "late"
	// InputMissing means that a result that the task reads is no longer stored.
	InputMissing Problem = "input gone"
	// MemoryFull means that the endpoint has no memory left for the result.
	MemoryFull Problem = "no room"
	// Failed means that the task failed for any other reason.
	Failed Problem = "failed"
)

// Result is the outcome of a task: the handle of its result, or the reason why
// there is none.
type Result struct {
	// Handle identifies the result at the endpoint that stores it.
	Handle  string
	Problem Problem
}
