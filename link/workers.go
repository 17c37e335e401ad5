package link

import (
	"sync"
	"time"
)

// workerIdle is how long a worker waits for its next call before it ends.
const workerIdle = 2 * time.Second

// workers runs calls on goroutines that are used again: a call's stack is deep,
// and growing it anew for each call costs about a tenth of the agent's work.
type workers struct {
	tasks chan func()
	stop  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup
}

func newWorkers() *workers {
	return &workers{tasks: make(chan func()), stop: make(chan struct{})}
}

// run runs f on an idle worker, or on a new one. It never waits.
func (w *workers) run(f func()) {
	select {
	case w.tasks <- f:
	default:
		w.wg.Go(func() { w.work(f) })
	}
}

func (w *workers) work(f func()) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		f()
		idle.Reset(workerIdle)
		select {
		case f = <-w.tasks:
		case <-idle.C:
			return
		case <-w.stop:
			return
		}
	}
}

// close ends the idle workers; busy ones end after their call.
func (w *workers) close() { w.once.Do(func() { close(w.stop) }) }
