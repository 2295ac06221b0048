package paxos

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// This file contains the faults of TestSevereFaults. They are combinations that operators have seen:
// a disk hangs until its process is killed, messages arrive after their sender or recipient has
// restarted, partitions block one direction or last for 20 s with clients on both sides, disks are
// lost when a membership change is committed or complete, and a replica returns after hundreds of
// changes.

// severeFaults lists the faults from which injectSevereFault chooses. A change of the order changes
// the faults that a seed selects.
var severeFaults = []fault{
	faultElectionWithHungDisk,
	faultLateMessages,
	faultOneWayPartition,
	faultLongPartition,
	faultDiskLossesAfterRepair,
	faultLossAtMembershipCommit,
	faultKilledDuringCatchUp,
	faultNewReplicaLostDuringCatchUp,
	faultPowerLossDuringElection,
	faultFromChaosTest,
	faultPausedLeaderIsolatedOnResume,
}

// injectSevereFault runs a random fault of the list severeFaults.
func (c *chaosRun) injectSevereFault(machines []string) {
	span := c.randomDurationMillis(1500)
	machines = c.shuffled(machines)
	severeFaults[c.rng.Intn(len(severeFaults))](c, machines, span)
}

// TestSevereFaults guards against lost acknowledged changes and stale reads when several faults
// coincide.
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

// faultElectionWithHungDisk makes a disk hang and its replica campaign. The replica is then killed,
// restarts from the synced state, and campaigns again.
func faultElectionWithHungDisk(c *chaosRun, machines []string, span time.Duration) {
	machine := machines[0]
	node := c.nodes[machine]
	node.diskHangs = true
	if leader := c.leaderMachineOr(machines[1]); leader != machine {
		c.killNode(c.nodes[leader])
	}
	c.run(300 * time.Millisecond) // the others lose contact with the killed leader and accept another one
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

// faultLateMessages delays some messages by up to 4 s during one of the faults of TestChaos.
func faultLateMessages(c *chaosRun, machines []string, span time.Duration) {
	c.lateRate = 0.02 + 0.2*c.rng.Float64()
	c.runTraffic(span)
	c.injectFault(machines)
	c.lateRate = 0
}

// faultOneWayPartition blocks either all messages to the leader or all messages from it.
func faultOneWayPartition(c *chaosRun, machines []string, span time.Duration) {
	leader := c.nodes[c.leaderMachineOr(machines[0])].id
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

// faultLongPartition partitions the leader for 20 s, alone or with one other machine. Clients on both
// sides continue.
func faultLongPartition(c *chaosRun, machines []string, _ time.Duration) {
	isolated := []string{c.leaderMachineOr(machines[0])}
	if machines[1] != isolated[0] && c.rng.Intn(2) == 0 {
		isolated = append(isolated, machines[1])
	}
	c.partition(isolated...)
	c.runSparseTraffic(20 * time.Second)
	c.healAll()
}

// faultDiskLossesAfterRepair loses two disks as soon as a membership change is complete on the
// leader. At random, the other machines lose power as well.
func faultDiskLossesAfterRepair(c *chaosRun, machines []string, span time.Duration) {
	c.replaceDisk(machines[0])
	c.nodes[machines[0]].diskDelay = c.randomDurationMillis(300)
	c.startAllNodes()
	c.waitForRepairOnLeader()
	if leader := c.leaderMachineOr(machines[0]); leader != machines[0] || c.rng.Intn(2) == 0 {
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

// waitForRepairOnLeader repairs the membership until isRepairedOnLeader holds. It does not wait for
// the other replicas to learn this. The test fails after 20 s of simulated time.
func (c *chaosRun) waitForRepairOnLeader() {
	for range 20000 {
		if leader := c.leader(); leader != nil && c.isRepairedOnLeader(leader.replica) {
			return
		}
		c.run(time.Millisecond)
		c.repairMembership()
	}
	c.t.Fatalf("%s at %v: the membership repair is not complete on the leader after 20 s, want it complete", c.name, c.now)
}

// isRepairedOnLeader reports whether the newest membership change is complete on the leader, with
// voterCount voters that have not lost their disks.
func (c *chaosRun) isRepairedOnLeader(leader *Replica) bool {
	voters, complete := leader.Voters()
	isLost := func(voter Voter) bool { return c.nodes[machineOf(voter.ID)].id != voter.ID }
	return complete && len(voters) == voterCount && !slices.ContainsFunc(voters, isLost)
}

// faultLossAtMembershipCommit kills the leader, or cuts the power of all machines, as soon as a
// membership change is committed.
func faultLossAtMembershipCommit(c *chaosRun, machines []string, span time.Duration) {
	c.replaceDisk(machines[0])
	c.startAllNodes()
	c.waitForMembershipCommit()
	if c.rng.Intn(2) == 0 {
		c.killNode(c.nodes[c.leaderMachineOr(machines[1])])
		c.runTraffic(span)
	} else {
		for _, machine := range machines {
			c.losePower(c.nodes[machine])
		}
	}
	c.startAllNodes()
	c.waitUntilRepaired()
}

// waitForMembershipCommit repairs the membership until a change is committed, and returns in the same
// millisecond of simulated time. It returns after 4 s in any case.
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

// faultKilledDuringCatchUp kills a process, restarts it after up to 300 proposed changes, and kills
// it again while it catches up.
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
	if leader := c.leaderMachineOr(machines[1]); leader != machine { // the restarted replica may become the next leader
		c.setPartitioned(c.nodes[leader], true)
		c.runTraffic(span)
		c.healAll()
	}
}

// faultNewReplicaLostDuringCatchUp replaces a disk. The new replica loses power, or its disk as well,
// while it catches up.
func faultNewReplicaLostDuringCatchUp(c *chaosRun, machines []string, _ time.Duration) {
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

// faultPowerLossDuringElection kills the leader, and cuts the power of all machines before or after
// another leader is elected.
func faultPowerLossDuringElection(c *chaosRun, machines []string, _ time.Duration) {
	c.killNode(c.nodes[c.leaderMachineOr(machines[0])])
	c.run(c.randomDurationMillis(900))
	for _, machine := range machines {
		c.losePower(c.nodes[machine])
	}
	c.startAllNodes()
}

// faultFromChaosTest runs one of the faults of TestChaos.
func faultFromChaosTest(c *chaosRun, machines []string, _ time.Duration) { c.injectFault(machines) }

// faultPausedLeaderIsolatedOnResume pauses the leader while answers to it are in transit, and
// partitions it before it resumes. It must not confirm a read with these old answers.
func faultPausedLeaderIsolatedOnResume(c *chaosRun, machines []string, span time.Duration) {
	leader := c.nodes[c.leaderMachineOr(machines[0])]
	leader.paused = true
	c.run(5*time.Millisecond + c.randomDurationMillis(20))
	c.setPartitioned(leader, true)
	c.runTraffic(time.Second + span)
	c.resumeAll()
	c.readRegister(leader)
	c.runTraffic(span)
	c.healAll()
}
