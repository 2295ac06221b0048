// Package taskgroup gives the short tasks that a component starts in the background an
// owner that waits for them when it ends.
package taskgroup

import "sync"

// Group runs tasks in the background until it is closed. The zero value is ready to use.
type Group struct {
	mu     sync.Mutex // guards the field below, and that no task starts once it is set
	closed bool

	running sync.WaitGroup
}

// Go runs a task in a goroutine of its own, or not at all once the group is closed.
func (g *Group) Go(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.running.Go(task)
	}
}

// Close lets no further task start and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
