package paxos

import (
	"fmt"
	"testing"
	"time"
)

// TestDiskLossRightAfterMembershipChange guards against a membership change that is reported as
// complete before enough disks of the new voters store the earlier entries. As soon as the change is
// complete on the leader, two of the disks that store all entries before it are lost, and the other
// machines are killed or lose power. Until then, messages are lost, duplicated and reordered, some
// disks are slow, and the only traffic comes from the repairs of the membership.
func TestDiskLossRightAfterMembershipChange(t *testing.T) {
	runSeeds(t, 90, func(t *testing.T, seed int64) {
		t.Helper()
		c := newChaosRun(t, fmt.Sprintf("membership durability %d", seed), seed)
		for range 4 {
			c.runTraffic(c.randomDurationMillis(200))
			c.loseDisksAfterMembershipChange()
		}
		c.duplicateRate = 0.1
		c.lossRate = 0.03
		c.messageDelay = 3 * time.Millisecond
		c.checkAcknowledged()
	})
}

// loseDisksAfterMembershipChange replaces a voter and loses the disks once the change is complete.
func (c *chaosRun) loseDisksAfterMembershipChange() {
	machines := c.shuffled(c.nodeNames())
	c.replaceDisk(machines[0])
	for _, machine := range machines[:1+c.rng.Intn(3)] {
		c.nodes[machine].diskDelay = c.randomDurationMillis(300)
	}
	c.startAllNodes()
	c.duplicateRate = 0.8
	c.lossRate = 0.3
	c.messageDelay = 15 * time.Millisecond
	c.waitForRepairOnLeader()

	lastBefore := c.leader().replica.state.LatestMembership().EffectiveFrom - 1
	c.sortByDisk(machines, func(disk *simulatedDisk) bool { return disk.recoverableIndex() >= lastBefore })
	for i, machine := range machines {
		node := c.nodes[machine]
		c.dropInTransit(node.id)
		switch {
		case i < tolerableLosses:
			c.replaceDisk(machine)
		case c.rng.Intn(2) == 0:
			c.killNode(node)
		default:
			c.losePower(node)
		}
		node.diskDelay = 0
	}
	c.startAllNodes()
	c.waitUntilRepaired()
}
