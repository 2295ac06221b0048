package paxos

import (
	"slices"
	"time"
)

// The faults of TestChaos. Each is a function that gets the machines in random order, and a
// duration.

// fault causes a fault and repairs it in the end.
type fault func(c *chaosRun, machines []string, span time.Duration)

// faults are drawn by injectFault; the order is part of what a seed draws.
var faults = []fault{
	faultPowerLossOfOne,
	faultPartitionWithLeader,
	faultPause,
	faultDiskHangs,
	faultPowerLossOfAllAfterCommit,
	faultDiskLossesAfterCommit,
	faultDiskLossDuringPause,
	faultDiskLossDuringPartition,
}

// injectFault draws one of the faults.
func (c *chaosRun) injectFault(machines []string) {
	span := c.randomDurationMillis(1500)
	machines = c.shuffled(machines)
	faults[c.rng.Intn(len(faults))](c, machines, span)
}

// faultPowerLossOfOne: a machine loses power and is back at once.
func faultPowerLossOfOne(c *chaosRun, machines []string, span time.Duration) {
	node := c.nodes[machines[0]]
	c.losePower(node)
	c.restartNode(node)
	c.runTraffic(span)
}

// faultPartitionWithLeader: the leader is partitioned alone, or with another machine.
func faultPartitionWithLeader(c *chaosRun, machines []string, span time.Duration) {
	isolated := machines[:1+c.rng.Intn(2)]
	if leader := c.leader(); leader != nil && !slices.Contains(isolated, machineOf(leader.id)) {
		isolated[0] = machineOf(leader.id)
	}
	c.partition(isolated...)
	c.runTraffic(span)
	c.healAll()
}

// faultPause: a process is paused.
func faultPause(c *chaosRun, machines []string, span time.Duration) {
	c.nodes[machines[0]].paused = true
	c.runTraffic(span)
	c.resumeAll()
}

// faultDiskHangs: a disk does not complete its syncs.
func faultDiskHangs(c *chaosRun, machines []string, span time.Duration) {
	c.nodes[machines[0]].diskHangs = true
	c.runTraffic(span)
	c.repairDisks()
}

// faultPowerLossOfAllAfterCommit: right after an acknowledgement power fails everywhere.
func faultPowerLossOfAllAfterCommit(c *chaosRun, machines []string, _ time.Duration) {
	c.commitChange()
	for _, machine := range machines {
		c.losePower(c.nodes[machine])
	}
	c.startAllNodes()
}

// faultDiskLossesAfterCommit: right after an acknowledgement power fails everywhere, and two
// of the disks that hold it are lost. The machine that holds it still starts last.
func faultDiskLossesAfterCommit(c *chaosRun, machines []string, _ time.Duration) {
	committed := c.commitChange()
	c.sortByDisk(machines, func(disk *simulatedDisk) bool { return disk.stores(committed) })
	for i, machine := range machines {
		if i < tolerableLosses {
			c.replaceDisk(machine)
		} else {
			c.losePower(c.nodes[machine])
		}
	}
	last := c.nodes[machines[tolerableLosses]]
	for _, machine := range machines {
		if node := c.nodes[machine]; node != last {
			c.startNode(node)
		}
	}
	c.updateLearners()
	c.runTraffic(time.Second)
	c.startAllNodes()
	c.waitUntilRepaired()
}

// faultDiskLossDuringPause: a disk is lost while another machine is paused.
func faultDiskLossDuringPause(c *chaosRun, machines []string, span time.Duration) {
	c.replaceDisk(machines[0])
	c.nodes[machines[1]].paused = true
	c.runTraffic(span)
	c.startAllNodes()
	c.runTraffic(span)
	c.resumeAll()
	c.waitUntilRepaired()
}

// faultDiskLossDuringPartition: a disk is lost while another machine is partitioned.
func faultDiskLossDuringPartition(c *chaosRun, machines []string, span time.Duration) {
	c.setPartitioned(c.nodes[machines[0]], true)
	c.replaceDisk(machines[1])
	c.startAllNodes()
	c.runTraffic(span)
	c.healAll()
	c.waitUntilRepaired()
}
