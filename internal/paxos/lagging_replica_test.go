package paxos

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// TestLaggingReplicaIsElected guards against a new leader that lacks acknowledged changes. A voter
// misses hundreds of changes and restarts under load. Soon after, the leader and the voter with the
// highest applied index are lost, so every majority includes the lagging voter, and it is made the
// leader. All acknowledged changes must survive, and reads must be linearizable.
func TestLaggingReplicaIsElected(t *testing.T) {
	runSeeds(t, 52, func(t *testing.T, seed int64) {
		t.Helper()
		c := newChaosRun(t, fmt.Sprintf("lagging replica %d", seed), seed)
		elected := 0
		for range 3 {
			if c.electLaggingReplica() {
				elected++
			}
		}
		if elected == 0 {
			t.Errorf("%s: the lagging replica was elected in 0 of 3 rounds, want at least 1", c.name)
		}
		c.checkAcknowledged()
	})
}

// electLaggingReplica runs one round, and reports whether the lagging replica became leader.
func (c *chaosRun) electLaggingReplica() bool {
	leader := c.leader()
	voters, _ := leader.replica.Voters()
	until := leader.replica.AppliedIndex() + 300 + uint64(c.rng.Intn(100))
	c.rng.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	lagging := machineOf(voters[0].ID)
	c.killNode(c.nodes[lagging])
	c.commitUntil(until)

	c.lateRate = 0.1 * c.rng.Float64()
	c.lossRate = 0.4 * c.rng.Float64()
	c.startAllNodes()
	c.runTraffic(c.randomDurationMillis(1 + c.rng.Intn(120)))

	var others []string
	for _, voter := range voters[1:] {
		others = append(others, machineOf(voter.ID))
	}
	c.sortByAppliedIndex(others, c.leaderMachineOr(lagging))
	for _, machine := range others[:tolerableLosses] {
		c.loseDiskOrProcess(machine)
	}
	elected := c.electMachine(lagging, others[tolerableLosses:])

	c.lossRate = 0.03
	c.runTraffic(500 * time.Millisecond)
	c.commitChange()
	c.lateRate = 0
	c.startAllNodes()
	c.waitUntilRepaired()
	return elected
}

// commitUntil proposes transactions until the leader has applied an index. While a change of
// registerKey is pending, it proposes puts to another key.
func (c *chaosRun) commitUntil(index uint64) {
	for range 20000 {
		leader := c.leader()
		if leader != nil && leader.replica.AppliedIndex() >= index {
			return
		}
		if leader != nil && c.txnStatus[changeID(c.lastOperation)] != statusPending {
			c.proposeChange(leader)
		} else if leader != nil {
			value := Bytes([]byte{byte(c.rng.Intn(256))})
			c.propose(leader, "fill", Txn{Ops: []Op{{Kind: OpPut, Key: "fill", Value: value}}})
		}
		c.run(3*time.Millisecond + c.randomDurationMillis(10))
	}
}

// sortByAppliedIndex sorts the leader first, and the others by descending applied index.
func (c *chaosRun) sortByAppliedIndex(machines []string, leader string) {
	applied := func(machine string) uint64 {
		if machine == leader {
			return math.MaxUint64
		}
		return c.nodes[machine].replica.AppliedIndex()
	}
	slices.SortStableFunc(machines, func(a, b string) int { return cmp.Compare(applied(b), applied(a)) })
}

// loseDiskOrProcess stops a machine. At random, it either kills the process only, or also replaces
// the disk and drops the machine's messages in transit.
func (c *chaosRun) loseDiskOrProcess(machine string) {
	if c.rng.Intn(2) == 0 {
		c.dropInTransit(c.nodes[machine].id)
		c.replaceDisk(machine)
	} else {
		c.killNode(c.nodes[machine])
	}
}

// electMachine makes the replica of one machine campaign until it is the leader, and reports whether it
// succeeded. If another machine becomes the leader first, it is killed and restarted.
func (c *chaosRun) electMachine(machine string, others []string) bool {
	for range 20 {
		for _, other := range others {
			if node := c.nodes[other]; node.replica.Role() == Leader {
				c.killNode(node)
				c.restartNode(node)
			}
		}
		c.forceElection(machine)
		if c.nodes[machine].replica.Role() == Leader {
			return true
		}
		c.run(100 * time.Millisecond)
	}
	return false
}
