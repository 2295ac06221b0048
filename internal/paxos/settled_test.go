package paxos

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestSettled: the moment that a change of seats is done, two disks are lost of those that
// know all positions before it, and power goes everywhere else. Messages are lost, doubled
// and overtake each other, some disks are slow, and the cell has no traffic but its repairs.
func TestSettled(t *testing.T) {
	playSeeds(t, 90, func(t *testing.T, seed int64) {
		c := newChaos(t, fmt.Sprintf("settled %d", seed), seed)
		for range 4 {
			c.traffic(time.Duration(c.rng.Intn(200)) * time.Millisecond)
			names := slices.Clone(c.names())
			c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			c.wipe(names[0])
			for _, name := range names[:1+c.rng.Intn(3)] {
				c.nodes[name].slow = time.Duration(c.rng.Intn(300)) * time.Millisecond
			}
			c.startAll()
			c.dup, c.loss, c.delay = 0.8, 0.3, 15*time.Millisecond
			c.repaired()
			l := c.leader()
			from := l.m.state.latestMembership().EffectiveFrom
			slices.SortStableFunc(names, func(a, b string) int { return c.finds(b, from-1) - c.finds(a, from-1) })
			for i, name := range names {
				c.unsend(c.nodes[name].id)
				if i < 2 {
					c.wipe(name)
				} else if c.rng.Intn(2) == 0 {
					c.kill(c.nodes[name])
				} else {
					c.power(c.nodes[name])
				}
				c.nodes[name].slow = 0
			}
			c.startAll()
			c.whole()
		}
		c.dup, c.loss, c.delay = 0.1, 0.03, 3*time.Millisecond
		c.check()
	})
}

// finds is 1 if a restart of a machine would find the position, and that it was chosen.
func (c *chaos) finds(name string, slot uint64) int {
	if c.nodes[name].disk.found() >= slot {
		return 1
	}
	return 0
}
