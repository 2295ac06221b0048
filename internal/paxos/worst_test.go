package paxos

import (
	"container/heap"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"comethold/internal/simulation"
)

// The worst days: what operators met on the control side, drawn together from a seed.
// Disks hang through a kill, messages arrive a life later, cuts go one way or last for
// twenty seconds with orders on both sides, losses strike at the moment at which a seat
// passes or a repair is done, and a member comes back after hundreds of changes.

// playSeeds plays a few seeds, or as many as COMETHOLD_SEEDS says, several at once.
func playSeeds(t *testing.T, few int, play func(t *testing.T, seed int64)) {
	const parts = 8
	n := int64(simulation.SeedCount(few))
	for part := range int64(parts) {
		t.Run(strconv.FormatInt(part, 10), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < n; seed += parts {
				play(t, seed)
			}
		})
	}
}

// kill ends a process. What hangs on its disk is not written.
func (c *chaos) kill(n *simNode) { n.up, n.waiting, n.held = false, nil, nil }

// leading names the machine that leads, or another one.
func (c *chaos) leading(or string) string {
	if l := c.leader(); l != nil {
		return machineOf(l.id)
	}
	return or
}

// unsend takes off the wire what a machine has sent and nobody has got.
func (c *chaos) unsend(id ReplicaID) {
	c.wire = slices.DeleteFunc(c.wire, func(f flying) bool { return f.msg.From == id })
	heap.Init(&c.wire)
}

// elect has a member bid until it leads, or for a while in vain.
func (c *chaos) elect(name string) {
	n := c.nodes[name]
	n.m.electionDeadline = c.now
	for k := 0; k < 400 && n.m.Role() != Leader; k++ {
		c.run(time.Millisecond)
	}
}

// sparse sends a change and a read every so often to each of those that lead.
func (c *chaos) sparse(d time.Duration) {
	for end := c.now + d; c.now < end; {
		for _, name := range c.names() {
			if n := c.nodes[name]; n.up && !n.frozen && n.m.Role() == Leader {
				c.order(n)
				c.ask(n)
			}
		}
		c.run(time.Duration(200+c.rng.Intn(400)) * time.Millisecond)
		c.mend()
	}
}

// repaired waits until the proposer takes the newest change of seats for done, with five
// seats held by members that live; nobody waits for the others to know.
func (c *chaos) repaired() {
	for range 20000 {
		if l := c.leader(); l != nil {
			seats, settled := l.m.Voters()
			ok := settled && len(seats) == 5
			for _, x := range seats {
				ok = ok && c.nodes[machineOf(x.ID)].id == x.ID
			}
			if ok {
				return
			}
		}
		c.run(time.Millisecond)
		c.mend()
	}
	c.t.Fatalf("%s at %v: no repair came to its end", c.name, c.now)
}

// passing waits for the moment at which a change of seats is chosen.
func (c *chaos) passing() {
	before := -1
	for range 4000 {
		if l := c.leader(); l != nil {
			n, _ := l.m.Get(MembershipVersionKey)
			now := 0
			if n.Int != nil {
				now = int(n.Int.Int64())
			}
			if before >= 0 && now > before {
				return
			}
			before = now
		}
		c.run(time.Millisecond)
		c.mend()
	}
}

func (c *chaos) worst(names []string) {
	span := time.Duration(c.rng.Intn(1500)) * time.Millisecond
	names = slices.Clone(names)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	switch c.rng.Intn(11) {
	case 0: // a disk hangs, the member is elected all the same, and is killed
		c.do("stall " + names[0])
		if l := c.leading(names[1]); l != names[0] {
			c.kill(c.nodes[l])
		}
		c.run(300 * time.Millisecond) // then the others do not mind another proposer
		c.elect(names[0])
		c.late = 0.7
		c.traffic(span / 20)
		c.late = 0
		c.kill(c.nodes[names[0]])
		c.do("heal-disk")
		c.start(c.nodes[names[0]])
		c.learners()
		c.elect(names[0])
		c.late = 0.3
		c.traffic(span)
		c.late = 0
		c.startAll()
	case 1:
		c.late = 0.02 + 0.2*c.rng.Float64()
		c.traffic(span)
		c.trouble(names)
		c.late = 0
	case 2: // a cut that goes one way
		one, toIt := c.leading(names[0]), c.rng.Intn(2) == 0
		for _, other := range c.names() {
			if toIt {
				c.cut[string(c.nodes[other].id)+">"+string(c.nodes[one].id)] = true
			} else {
				c.cut[string(c.nodes[one].id)+">"+string(c.nodes[other].id)] = true
			}
		}
		c.traffic(span)
		c.do("join-all")
	case 3: // twenty seconds, with orders on both sides
		apart := []string{c.leading(names[0])}
		if names[1] != apart[0] && c.rng.Intn(2) == 0 {
			apart = append(apart, names[1])
		}
		for _, a := range c.names() {
			for _, b := range c.names() {
				if slices.Contains(apart, a) != slices.Contains(apart, b) {
					c.cut[string(c.nodes[a].id)+">"+string(c.nodes[b].id)] = true
				}
			}
		}
		c.sparse(20 * time.Second)
		c.do("join-all")
	case 4: // two disks are lost the moment that a repair is done
		c.wipe(names[0])
		c.nodes[names[0]].slow = time.Duration(c.rng.Intn(300)) * time.Millisecond
		c.startAll()
		c.repaired()
		if l := c.leading(names[0]); l != names[0] || c.rng.Intn(2) == 0 {
			names = append([]string{l}, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == l })...)
		}
		at := c.nodes[names[0]].m.AppliedIndex()
		slices.SortStableFunc(names[1:], func(a, b string) int { return c.holds(b, at) - c.holds(a, at) })
		for _, name := range names[:2] {
			c.unsend(c.nodes[name].id)
			c.wipe(name)
		}
		if c.rng.Intn(2) == 0 {
			for _, name := range names[2:] {
				c.power(c.nodes[name])
				c.start(c.nodes[name])
			}
		}
		for _, n := range c.nodes {
			n.slow = 0
		}
		c.learners()
		c.traffic(span)
		c.startAll()
		c.whole()
	case 5: // power goes, or the proposer, as a seat passes
		c.wipe(names[0])
		c.startAll()
		c.passing()
		if c.rng.Intn(2) == 0 {
			c.kill(c.nodes[c.leading(names[1])])
			c.traffic(span)
		} else {
			for _, name := range names {
				c.power(c.nodes[name])
			}
		}
		c.startAll()
		c.whole()
	case 6: // one is away for hundreds of changes, and killed while it is taught
		c.kill(c.nodes[names[0]])
		for range 300 {
			if l := c.leader(); l != nil {
				c.order(l)
			}
			c.run(time.Duration(5+c.rng.Intn(10)) * time.Millisecond)
		}
		c.late = 0.1
		c.startAll()
		c.traffic(time.Duration(c.rng.Intn(60)) * time.Millisecond)
		c.kill(c.nodes[names[0]])
		c.startAll()
		c.traffic(time.Duration(c.rng.Intn(300)) * time.Millisecond)
		c.late = 0
		if l := c.leading(names[1]); l != names[0] { // it may be the next to lead
			c.do("cut " + l)
			c.traffic(span)
			c.do("join-all")
		}
	case 7: // a newcomer loses power, or its disk again, while it is taught
		c.wipe(names[0])
		c.startAll()
		c.traffic(time.Duration(c.rng.Intn(200)) * time.Millisecond)
		if c.rng.Intn(2) == 0 {
			c.power(c.nodes[names[0]])
		} else {
			c.wipe(names[0])
		}
		c.startAll()
		c.whole()
	case 8: // power goes everywhere during an election
		c.kill(c.nodes[c.leading(names[0])])
		c.run(time.Duration(c.rng.Intn(900)) * time.Millisecond)
		for _, name := range names {
			c.power(c.nodes[name])
		}
		c.startAll()
	case 9:
		c.trouble(names)
	case 10: // the proposer stands still with answers under way, and is cut off as it wakes
		l := c.leading(names[0])
		c.do("freeze " + l)
		c.run(time.Duration(5+c.rng.Intn(20)) * time.Millisecond)
		c.do("cut " + l)
		c.traffic(time.Second + span)
		c.do("thaw")
		c.ask(c.nodes[l])
		c.traffic(span)
		c.do("join-all")
	}
}

func playWorst(t *testing.T, seed int64) {
	c := newChaos(t, fmt.Sprintf("worst %d", seed), seed)
	for range 8 {
		c.traffic(time.Duration(c.rng.Intn(300)) * time.Millisecond)
		c.worst(c.names())
		c.traffic(100 * time.Millisecond)
	}
	c.whole()
	c.check()
}

func TestWorstDays(t *testing.T) { playSeeds(t, 40, playWorst) }

// away: a seat misses hundreds of changes and comes back under load; soon after, the
// proposer and the seat that knows most besides go, with their disks or without, so that
// the one that was away belongs to the only majority, and it is made to lead.
func (c *chaos) away() (led bool) {
	l := c.leader()
	seats, _ := l.m.Voters()
	to := l.m.AppliedIndex() + 300 + uint64(c.rng.Intn(100))
	c.rng.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	late := machineOf(seats[0].ID)
	c.kill(c.nodes[late])
	for range 20000 {
		l := c.leader()
		if l != nil && l.m.AppliedIndex() >= to {
			break
		}
		if l != nil && c.status[fmt.Sprintf("o%d", c.wanted)] != "pending" {
			c.order(l)
		} else if l != nil {
			c.propose(l, "fill", Txn{Ops: []Op{{Kind: OpPut, Key: "fill", Value: Bytes([]byte{byte(c.rng.Intn(256))})}}})
		}
		c.run(time.Duration(3+c.rng.Intn(10)) * time.Millisecond)
	}
	c.late, c.loss = 0.1*c.rng.Float64(), 0.4*c.rng.Float64()
	c.startAll()
	c.traffic(time.Duration(c.rng.Intn(1+c.rng.Intn(120))) * time.Millisecond)
	var others []string
	for _, x := range seats[1:] {
		others = append(others, machineOf(x.ID))
	}
	lead := c.leading(late)
	know := func(name string) int {
		if name == lead {
			return 1 << 30
		}
		return int(c.nodes[name].m.AppliedIndex())
	}
	slices.SortStableFunc(others, func(a, b string) int { return know(b) - know(a) })
	for _, name := range others[:2] {
		if c.rng.Intn(2) == 0 {
			c.unsend(c.nodes[name].id)
			c.wipe(name)
		} else {
			c.kill(c.nodes[name])
		}
	}
	for range 20 {
		for _, name := range others[2:] { // one that was quicker starts anew
			if n := c.nodes[name]; n.m.Role() == Leader {
				c.kill(n)
				c.start(n)
				c.learners()
			}
		}
		if c.elect(late); c.nodes[late].m.Role() == Leader {
			led = true
			break
		}
		c.run(100 * time.Millisecond)
	}
	c.loss = 0.03
	c.traffic(500 * time.Millisecond)
	c.acknowledged()
	c.late = 0
	c.startAll()
	c.whole()
	return led
}

// TestAway: what was acknowledged stays, and reads are linearizable, whoever was away.
func TestAway(t *testing.T) {
	playSeeds(t, 52, func(t *testing.T, seed int64) {
		c := newChaos(t, fmt.Sprintf("away %d", seed), seed)
		led := 0
		for range 3 {
			if c.away() {
				led++
			}
		}
		if led == 0 {
			t.Errorf("%s: whoever was away never came to lead", c.name)
		}
		c.check()
	})
}
