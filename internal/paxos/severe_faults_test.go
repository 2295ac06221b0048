package paxos

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The faults of TestSevereFaults come in combinations that operators have met: disks hang
// through a kill, messages arrive an incarnation late, partitions block one direction or last
// for twenty seconds with clients on both sides, disks are lost at the moment at which a
// membership change is committed or complete, and a replica comes back after hundreds of
// changes.

// severeFaults are drawn by injectSevereFault; the order is part of what a seed draws.
var severeFaults = []fault{
	faultElectedWithHungDisk,
	faultLateMessages,
	faultOneWayPartition,
	faultLongPartition,
	faultDiskLossesAfterRepair,
	faultLossAtMembershipCommit,
	faultKilledDuringCatchUp,
	faultNewcomerLostDuringCatchUp,
	faultPowerLossDuringElection,
	faultOfChaos,
	faultPausedLeaderIsolatedOnResume,
}

// injectSevereFault draws one of the faults.
func (c *chaosRun) injectSevereFault(machines []string) {
	span := c.randomDurationMillis(1500)
	machines = c.shuffled(machines)
	severeFaults[c.rng.Intn(len(severeFaults))](c, machines, span)
}

func TestSevereFaults(t *testing.T) {
	runSeeds(t, 40, func(t *testing.T, seed int64) {
		t.Helper()
		c := newChaosRun(t, fmt.Sprintf("severe faults %d", seed), seed)
		for range 8 {
			c.runTraffic(c.randomDurationMillis(300))
			c.injectSevereFault(c.nodeNames())
			c.runTraffic(100 * time.Millisecond)
		}
		c.waitUntilRepaired()
		c.checkAcknowledged()
	})
}

// faultElectedWithHungDisk: a disk hangs, its replica is elected all the same, is killed, and
// is elected again from what the disk holds.
func faultElectedWithHungDisk(c *chaosRun, machines []string, span time.Duration) {
	machine := machines[0]
	node := c.nodes[machine]
	node.diskHangs = true
	if leader := c.leaderOr(machines[1]); leader != machine {
		c.killNode(c.nodes[leader])
	}
	c.run(300 * time.Millisecond) // the others then accept another leader
	c.forceElection(machine)
	c.lateRate = 0.7
	c.runTraffic(span / 20)
	c.lateRate = 0
	c.killNode(node)
	c.repairDisks()
	c.restartNode(node)
	c.forceElection(machine)
	c.lateRate = 0.3
	c.runTraffic(span)
	c.lateRate = 0
	c.startAllNodes()
}

// faultLateMessages: some messages arrive seconds late, during one of the faults of TestChaos.
func faultLateMessages(c *chaosRun, machines []string, span time.Duration) {
	c.lateRate = 0.02 + 0.2*c.rng.Float64()
	c.runTraffic(span)
	c.injectFault(machines)
	c.lateRate = 0
}

// faultOneWayPartition: no message reaches the leader, or none of its own messages arrives.
func faultOneWayPartition(c *chaosRun, machines []string, span time.Duration) {
	leader := c.nodes[c.leaderOr(machines[0])].id
	inbound := c.rng.Intn(2) == 0
	for _, name := range c.nodeNames() {
		other := c.nodes[name].id
		if inbound {
			c.blockedLinks[link{other, leader}] = true
		} else {
			c.blockedLinks[link{leader, other}] = true
		}
	}
	c.runTraffic(span)
	c.healAll()
}

// faultLongPartition: the leader is partitioned for twenty seconds, alone or with another, and
// there are clients on both sides.
func faultLongPartition(c *chaosRun, machines []string, _ time.Duration) {
	isolated := []string{c.leaderOr(machines[0])}
	if machines[1] != isolated[0] && c.rng.Intn(2) == 0 {
		isolated = append(isolated, machines[1])
	}
	c.partition(isolated...)
	c.runSparseTraffic(20 * time.Second)
	c.healAll()
}

// faultDiskLossesAfterRepair: two disks are lost at the moment at which a membership change is
// complete on the leader, and maybe power fails on the other machines.
func faultDiskLossesAfterRepair(c *chaosRun, machines []string, span time.Duration) {
	c.replaceDisk(machines[0])
	c.nodes[machines[0]].diskDelay = c.randomDurationMillis(300)
	c.startAllNodes()
	c.waitForRepairOnLeader()
	if leader := c.leaderOr(machines[0]); leader != machines[0] || c.rng.Intn(2) == 0 {
		isLeader := func(machine string) bool { return machine == leader }
		machines = append([]string{leader}, slices.DeleteFunc(slices.Clone(machines), isLeader)...)
	}
	applied := c.nodes[machines[0]].replica.AppliedIndex()
	c.sortByDisk(machines[1:], func(disk *simulatedDisk) bool { return disk.stores(applied) })
	for _, machine := range machines[:tolerableLosses] {
		c.dropInTransit(c.nodes[machine].id)
		c.replaceDisk(machine)
	}
	if c.rng.Intn(2) == 0 {
		for _, machine := range machines[tolerableLosses:] {
			c.losePower(c.nodes[machine])
			c.startNode(c.nodes[machine])
		}
	}
	for _, node := range c.nodes {
		node.diskDelay = 0
	}
	c.updateLearners()
	c.runTraffic(span)
	c.startAllNodes()
	c.waitUntilRepaired()
}

// waitForRepairOnLeader waits until the leader considers the newest membership change complete,
// with voterCount voters whose disks are not lost. The other replicas need not know.
func (c *chaosRun) waitForRepairOnLeader() {
	for range 20000 {
		if leader := c.leader(); leader != nil && c.isRepairedOnLeader(leader.replica) {
			return
		}
		c.run(time.Millisecond)
		c.repairMembership()
	}
	c.t.Fatalf("%s at %v: no repair was completed", c.name, c.now)
}

// isRepairedOnLeader is the condition of waitForRepairOnLeader.
func (c *chaosRun) isRepairedOnLeader(leader *Replica) bool {
	voters, complete := leader.Voters()
	isLost := func(voter Voter) bool { return c.nodes[machineOf(voter.ID)].id != voter.ID }
	return complete && len(voters) == voterCount && !slices.ContainsFunc(voters, isLost)
}

// faultLossAtMembershipCommit: power fails, or the leader is killed, at the moment at which a
// membership change is committed.
func faultLossAtMembershipCommit(c *chaosRun, machines []string, span time.Duration) {
	c.replaceDisk(machines[0])
	c.startAllNodes()
	c.waitForMembershipCommit()
	if c.rng.Intn(2) == 0 {
		c.killNode(c.nodes[c.leaderOr(machines[1])])
		c.runTraffic(span)
	} else {
		for _, machine := range machines {
			c.losePower(c.nodes[machine])
		}
	}
	c.startAllNodes()
	c.waitUntilRepaired()
}

// waitForMembershipCommit returns at the moment at which a membership change is committed, or
// after four seconds.
func (c *chaosRun) waitForMembershipCommit() {
	const unknown = -1
	before := unknown
	for range 4000 {
		if leader := c.leader(); leader != nil {
			version := 0
			if value, _ := leader.replica.Get(MembershipVersionKey); value.Int != nil {
				version = int(value.Int.Int64())
			}
			if before != unknown && version > before {
				return
			}
			before = version
		}
		c.run(time.Millisecond)
		c.repairMembership()
	}
}

// faultKilledDuringCatchUp: a machine is down for hundreds of changes, and killed while it
// catches up.
func faultKilledDuringCatchUp(c *chaosRun, machines []string, span time.Duration) {
	machine := machines[0]
	node := c.nodes[machine]
	c.killNode(node)
	for range 300 {
		if leader := c.leader(); leader != nil {
			c.proposeChange(leader)
		}
		c.run(5*time.Millisecond + c.randomDurationMillis(10))
	}
	c.lateRate = 0.1
	c.startAllNodes()
	c.runTraffic(c.randomDurationMillis(60))
	c.killNode(node)
	c.startAllNodes()
	c.runTraffic(c.randomDurationMillis(300))
	c.lateRate = 0
	if leader := c.leaderOr(machines[1]); leader != machine { // it may be the next to lead
		c.setPartitioned(c.nodes[leader], true)
		c.runTraffic(span)
		c.healAll()
	}
}

// faultNewcomerLostDuringCatchUp: a new replica loses power, or its disk again, while it catches
// up.
func faultNewcomerLostDuringCatchUp(c *chaosRun, machines []string, _ time.Duration) {
	c.replaceDisk(machines[0])
	c.startAllNodes()
	c.runTraffic(c.randomDurationMillis(200))
	if c.rng.Intn(2) == 0 {
		c.losePower(c.nodes[machines[0]])
	} else {
		c.replaceDisk(machines[0])
	}
	c.startAllNodes()
	c.waitUntilRepaired()
}

// faultPowerLossDuringElection: the leader is killed, and power fails everywhere before or
// after another is elected.
func faultPowerLossDuringElection(c *chaosRun, machines []string, _ time.Duration) {
	c.killNode(c.nodes[c.leaderOr(machines[0])])
	c.run(c.randomDurationMillis(900))
	for _, machine := range machines {
		c.losePower(c.nodes[machine])
	}
	c.startAllNodes()
}

// faultOfChaos is one of the faults of TestChaos.
func faultOfChaos(c *chaosRun, machines []string, _ time.Duration) { c.injectFault(machines) }

// faultPausedLeaderIsolatedOnResume: the leader is paused while answers to it are in transit, and
// is partitioned when it resumes. It must not confirm a read.
func faultPausedLeaderIsolatedOnResume(c *chaosRun, machines []string, span time.Duration) {
	leader := c.nodes[c.leaderOr(machines[0])]
	leader.paused = true
	c.run(5*time.Millisecond + c.randomDurationMillis(20))
	c.setPartitioned(leader, true)
	c.runTraffic(time.Second + span)
	c.resumeAll()
	c.readRegister(leader)
	c.runTraffic(span)
	c.healAll()
}
