package replicahost

import (
	"sync"
	"sync/atomic"
	"time"
)

// taskQueueLength is how many tasks may wait for the event loop before enqueue blocks.
const taskQueueLength = 256

// eventLoop runs tasks one after another on the goroutine that called run. State that only
// tasks access needs no lock.
type eventLoop struct {
	tasks    chan func()
	quit     chan struct{} // closed by stop
	stopOnce sync.Once
}

func newEventLoop() *eventLoop {
	return &eventLoop{
		tasks: make(chan func(), taskQueueLength),
		quit:  make(chan struct{}),
	}
}

// run executes tasks, and tick once every interval, until stop is called.
func (l *eventLoop) run(interval time.Duration, tick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case task := <-l.tasks:
			task()
		case <-ticker.C:
			tick()
		case <-l.quit:
			return
		}
	}
}

// stop ends run after the current task.
func (l *eventLoop) stop() {
	l.stopOnce.Do(func() { close(l.quit) })
}

// enqueue queues a task and returns without waiting for it to run. After stop the task may
// be dropped.
func (l *eventLoop) enqueue(task func()) {
	select {
	case l.tasks <- task:
	case <-l.quit:
	}
}

// do queues a task and waits until it has run. If the loop is stopped, the task has either
// completed when do returns or never runs, so the caller may read variables that the task
// sets without a lock.
func (l *eventLoop) do(task func()) {
	var claimed atomic.Bool
	done := make(chan struct{})
	l.enqueue(func() {
		if claimed.CompareAndSwap(false, true) {
			task()
			close(done)
		}
	})
	select {
	case <-done:
	case <-l.quit:
		if !claimed.CompareAndSwap(false, true) {
			<-done // the task is running; wait for its end
		}
	}
}
