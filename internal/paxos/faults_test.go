package paxos

import (
	"slices"
	"time"
)

// This file contains the faults of TestChaos.

// fault causes a fault, runs traffic for span and then repairs the fault. The machines are in random
// order. Some faults have a fixed duration and ignore span.
type fault func(c *chaosRun, machines []string, span time.Duration)

// faults lists the faults from which injectFault chooses. A change of the order changes the faults
// that a seed selects.
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

// injectFault runs a random fault of the list faults.
func (c *chaosRun) injectFault(machines []string) {
	span := c.randomDurationMillis(1500)
	machines = c.shuffled(machines)
	faults[c.rng.Intn(len(faults))](c, machines, span)
}

// faultPowerLossOfOne cuts the power of one machine and restarts it at once.
func faultPowerLossOfOne(c *chaosRun, machines []string, span time.Duration) {
	node := c.nodes[machines[0]]
	c.losePower(node)
	c.restartNode(node)
	c.runTraffic(span)
}

// faultPartitionWithLeader partitions the leader from the others, alone or with one other machine.
func faultPartitionWithLeader(c *chaosRun, machines []string, span time.Duration) {
	isolated := machines[:1+c.rng.Intn(2)]
	if leader := c.leader(); leader != nil && !slices.Contains(isolated, machineOf(leader.id)) {
		isolated[0] = machineOf(leader.id)
	}
	c.partition(isolated...)
	c.runTraffic(span)
	c.healAll()
}

// faultPause pauses one process.
func faultPause(c *chaosRun, machines []string, span time.Duration) {
	c.nodes[machines[0]].paused = true
	c.runTraffic(span)
	c.resumeAll()
}

// faultDiskHangs makes one disk complete no syncs.
func faultDiskHangs(c *chaosRun, machines []string, span time.Duration) {
	c.nodes[machines[0]].diskHangs = true
	c.runTraffic(span)
	c.repairDisks()
}

// faultPowerLossOfAllAfterCommit cuts the power of all machines right after a change was
// acknowledged.
func faultPowerLossOfAllAfterCommit(c *chaosRun, machines []string, _ time.Duration) {
	c.commitChange()
	for _, machine := range machines {
		c.losePower(c.nodes[machine])
	}
	c.startAllNodes()
}

// faultDiskLossesAfterCommit cuts the power of all machines right after a change was acknowledged.
// Two of the disks that store the change are lost. A remaining machine that stores it starts one
// second after the others, which must not commit anything else in its place.
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

// faultDiskLossDuringPause replaces a disk while another machine is paused.
func faultDiskLossDuringPause(c *chaosRun, machines []string, span time.Duration) {
	c.replaceDisk(machines[0])
	c.nodes[machines[1]].paused = true
	c.runTraffic(span)
	c.startAllNodes()
	c.runTraffic(span)
	c.resumeAll()
	c.waitUntilRepaired()
}

// faultDiskLossDuringPartition replaces a disk while another machine is partitioned from the others.
func faultDiskLossDuringPartition(c *chaosRun, machines []string, span time.Duration) {
	c.setPartitioned(c.nodes[machines[0]], true)
	c.replaceDisk(machines[1])
	c.startAllNodes()
	c.runTraffic(span)
	c.healAll()
	c.waitUntilRepaired()
}
