package storage

import (
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"

	"comethold/internal/paxos"
)

// pendingWrite is one element of the queue: either the writes of a replica or a value of the node.
type pendingWrite struct {
	cell   string
	writes paxos.Writes

	node *nodeValue // if not nil, cell and writes are unset

	done func() // called after the write is synced; may be nil
}

type nodeValue struct {
	key   string
	value []byte
}

// groupCommitter implements group commit: one transaction, with one sync, writes everything that is queued when it
// begins. Its goroutine runs from newGroupCommitter until close, and closes stopped when it ends. The Store owns it.
type groupCommitter struct {
	db      *bolt.DB
	disk    Disk
	onFault func(error) // called with the error of every failed write, and with ErrUnresponsive for a slow one
	stopped chan struct{}

	mu         sync.Mutex // guards the fields below
	wake       *sync.Cond // signalled when queue or closed changes
	queue      []pendingWrite
	committing bool // a group is being written
	closed     bool
}

func newGroupCommitter(db *bolt.DB, disk Disk, onFault func(error)) *groupCommitter {
	c := &groupCommitter{db: db, disk: disk, onFault: onFault, stopped: make(chan struct{})}
	c.wake = sync.NewCond(&c.mu)
	go c.run()
	return c
}

// addReplicaWrites queues the writes and returns false. It calls onEnqueue before it queues them; c.mu is held during
// both. If the writes are empty and no earlier write is queued or being committed, it queues nothing and returns true.
// After close it discards the writes and returns false.
func (c *groupCommitter) addReplicaWrites(cell string, writes paxos.Writes, done, onEnqueue func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if writes.Empty() && len(c.queue) == 0 && !c.committing {
		return true
	}
	onEnqueue()
	c.queue = append(c.queue, pendingWrite{cell: cell, writes: writes, done: done})
	c.wake.Signal()
	return false
}

// addNodeValue queues a value of the node. It replaces a queued value of the same key. After close it does nothing.
func (c *groupCommitter) addNodeValue(key string, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	for i := range c.queue {
		if node := c.queue[i].node; node != nil && node.key == key {
			node.value = value
			return
		}
	}
	c.queue = append(c.queue, pendingWrite{node: &nodeValue{key: key, value: value}})
	c.wake.Signal()
}

// close stops the goroutine without waiting for it to end.
func (c *groupCommitter) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.wake.Broadcast()
}

func (c *groupCommitter) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *groupCommitter) run() {
	defer close(c.stopped)
	for {
		group := c.nextGroup()
		if group == nil || !c.commitWithRetry(group) {
			return
		}
		for i := range group {
			if done := group[i].done; done != nil {
				done()
			}
		}
	}
}

// nextGroup waits until writes are queued, and removes and returns all of them. It returns nil after close.
func (c *groupCommitter) nextGroup() []pendingWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.committing = false
	for len(c.queue) == 0 && !c.closed {
		c.wake.Wait()
	}
	if c.closed {
		return nil
	}
	group := c.queue
	c.queue = nil
	c.committing = true
	return group
}

// commitWithRetry repeats a commit until it succeeds. It returns false if the committer is closed after a failure.
func (c *groupCommitter) commitWithRetry(group []pendingWrite) bool {
	for {
		slowTimer := time.AfterFunc(UnresponsiveAfter, func() { c.onFault(ErrUnresponsive) })
		err := c.commit(group)
		slowTimer.Stop()
		if err == nil {
			return true
		}
		c.onFault(err)
		time.Sleep(RetryDelay)
		if c.isClosed() {
			return false
		}
	}
}

// commit writes a group in one transaction. A group without writes needs no sync.
func (c *groupCommitter) commit(group []pendingWrite) error {
	empty := true
	newestSnapshot := map[string]int{} // for each cell, the index in group of its last snapshot
	for i := range group {
		if group[i].node != nil || !group[i].writes.Empty() {
			empty = false
		}
		if group[i].writes.Snapshot != nil {
			newestSnapshot[group[i].cell] = i
		}
	}
	if empty {
		return nil
	}
	return c.disk.Update(c.db, func(tx *bolt.Tx) error {
		for i := range group {
			if node := group[i].node; node != nil {
				if err := putNodeValue(tx, node.key, node.value); err != nil {
					return err
				}
				continue
			}
			writes := group[i].writes
			if newest, ok := newestSnapshot[group[i].cell]; ok && i < newest {
				writes.Snapshot = nil // the newer snapshot in this transaction replaces it
				writes.TruncateTo = 0
			}
			if err := putReplicaWrites(tx, group[i].cell, &writes); err != nil {
				return err
			}
		}
		return nil
	})
}
