// Package taskgroup runs the background tasks of a component, and lets the component wait for
// them when it stops.
package taskgroup

import "sync"

// Group runs tasks in the background until it is closed. The zero value is ready to use.
type Group struct {
	mu     sync.Mutex // guards closed, and keeps tasks from starting after it is set
	closed bool

	running sync.WaitGroup
}

// Go runs a task in a new goroutine. It does nothing if the group is closed.
func (g *Group) Go(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.running.Go(task)
	}
}

// Close prevents further tasks from starting and waits for the running ones.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
