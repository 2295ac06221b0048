package paxos

import (
	"container/heap"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"comethold/internal/simulation"

	"github.com/anishathalye/porcupine"
)

// A chaosRun injects random faults, drawn from a seed, into a cell that has five voters on six
// machines and tolerates the loss of two disks. Clients propose changes and read at every replica
// that considers itself the leader, on both sides of a partition. The checks of the simulation run
// all the time. At the end, the state must include every acknowledged change, no two acknowledged
// changes may replace the same value, and the history of changes and reads must be linearizable.
type chaosRun struct {
	*cellSimulation
	replacedDisks int // makes the IDs of new replicas unique
	lastOperation int

	// The changes of registerKey, by transaction ID:
	baseOf  map[string]string // the value that the change replaces
	valueOf map[string]string // the value that the change writes
	changes map[string]*porcupine.Operation
	// successorOf maps a value to the acknowledged value that replaced it.
	successorOf map[string]string

	pendingReads  map[uint64]*porcupine.Operation
	finishedReads []porcupine.Operation
}

const (
	// voterCount is the number of voters to which repairMembership restores the cell.
	voterCount = 5
	// tolerableLosses is the number of disks that the cell may lose at once.
	tolerableLosses = 2
	// registerKey is the key that clients change and read. The history of its values is checked.
	registerKey = "config"
	// changeKeyPrefix is the prefix of the keys that record which changes took effect.
	changeKeyPrefix = "was/"
)

// machineOf returns the machine that a replica runs on: the first letter of the replica's ID.
func machineOf(id ReplicaID) string { return string(id)[:1] }

// newChaosRun starts a cell with three initial voters and waits until it has voterCount voters.
func newChaosRun(t *testing.T, name string, seed int64) *chaosRun {
	t.Helper()
	c := &chaosRun{
		cellSimulation: newCellSimulation(t, name),
		baseOf:         map[string]string{},
		valueOf:        map[string]string{},
		changes:        map[string]*porcupine.Operation{},
		successorOf:    map[string]string{},
		pendingReads:   map[uint64]*porcupine.Operation{},
	}
	c.recordHistory()
	c.runCommand(fmt.Sprintf("seed %d", seed))
	c.bootstrapCell([]string{"a", "b", "c"})
	for _, machine := range []string{"d", "e", "f"} {
		c.addLearner(machine)
	}
	c.lossRate = 0.03
	c.duplicateRate = 0.1
	c.syncDelay = 12 * time.Millisecond
	c.messageDelay = 3 * time.Millisecond
	c.run(time.Second)
	c.waitUntilRepaired()
	return c
}

// runSeeds calls runSeed for each seed below defaultCount, or below COMETHOLD_SEEDS if that is set.
// The seeds are split into groups that run in parallel.
func runSeeds(t *testing.T, defaultCount int, runSeed func(t *testing.T, seed int64)) {
	t.Helper()
	const groups = 8
	seeds := int64(simulation.SeedCount(defaultCount))
	for group := range int64(groups) {
		t.Run(strconv.FormatInt(group, 10), func(t *testing.T) {
			t.Parallel()
			for seed := group; seed < seeds; seed += groups {
				runSeed(t, seed)
			}
		})
	}
}

// runChaos injects ten random faults, with traffic before, during and after each, and then checks
// the acknowledged changes.
func runChaos(t *testing.T, seed int64) *chaosRun {
	t.Helper()
	c := newChaosRun(t, fmt.Sprintf("chaos %d", seed), seed)
	for range 10 {
		c.runTraffic(c.randomDurationMillis(300))
		c.injectFault(c.nodeNames())
		c.runTraffic(100 * time.Millisecond)
	}
	c.waitUntilRepaired()
	c.checkAcknowledged()
	return c
}

// TestChaos guards against lost acknowledged changes, stale reads and disagreement of replicas when
// machines, disks, processes and links fail in random order.
func TestChaos(t *testing.T) {
	runSeeds(t, 60, func(t *testing.T, seed int64) {
		t.Helper()
		runChaos(t, seed)
	})
}

// TestChaosIsDeterministic guards against seeds that can't be replayed: two runs of one seed must
// send the same number of messages and end at the same simulated time.
func TestChaosIsDeterministic(t *testing.T) {
	for _, seed := range []int64{9, 13} {
		first := runChaos(t, seed)
		second := runChaos(t, seed)
		if first.messagesSent != second.messagesSent || first.now != second.now {
			t.Errorf("seed %d: first run sent %d messages until %v, second run sent %d until %v, want the same",
				seed, first.messagesSent, first.now, second.messagesSent, second.now)
		}
	}
}

// randomDurationMillis returns a random whole number of milliseconds, from 0 to below-1.
func (c *chaosRun) randomDurationMillis(below int) time.Duration {
	return time.Duration(c.rng.Intn(below)) * time.Millisecond
}

// shuffled returns a copy of the names in random order.
func (c *chaosRun) shuffled(names []string) []string {
	names = slices.Clone(names)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// nextOperation returns the number of the next client operation, counted from 1.
func (c *chaosRun) nextOperation() int {
	c.lastOperation++
	return c.lastOperation
}

// changeID returns the ID of the transaction that an operation proposes.
func changeID(operation int) string { return fmt.Sprintf("o%d", operation) }

// putOps returns operations that set several keys to one value.
func putOps(value string, keys ...string) []Op {
	var ops []Op
	for _, key := range keys {
		ops = append(ops, Op{Kind: OpPut, Key: key, Value: Bytes([]byte(value))})
	}
	return ops
}

// proposeChange proposes a change that replaces the value that one replica holds for registerKey,
// and returns the ID of its transaction.
func (c *chaosRun) proposeChange(node *simulatedNode) string {
	operation := c.nextOperation()
	id := changeID(operation)
	value := fmt.Sprintf("v%d", operation)
	condition := Condition{Key: registerKey, Absent: true}
	if old, ok := node.replica.Get(registerKey); ok {
		condition = Condition{Key: registerKey, Equals: old}
		c.baseOf[id] = string(old.Bytes)
	}
	c.valueOf[id] = value
	c.proposedWrites[id] = keyValue{changeKeyPrefix + value, value}
	c.startChange(id)
	c.propose(node, id, Txn{
		Conditions: []Condition{condition},
		Ops:        putOps(value, registerKey, changeKeyPrefix+value),
	})
	if status := c.txnStatus[id]; status == statusPipelineFull || status == statusNotLeader {
		delete(c.changes, id)
	}
	return id
}

// readRegister starts a read of registerKey at a replica that considers itself the leader.
func (c *chaosRun) readRegister(node *simulatedNode) {
	ticket := uint64(c.nextOperation())
	c.startRead(ticket)
	if node.replica.Read(c.now, ticket) != nil {
		delete(c.pendingReads, ticket)
	}
	c.handleReady(node)
}

// leaders returns the running nodes whose replicas consider themselves the leader.
func (c *chaosRun) leaders() []*simulatedNode {
	var leaders []*simulatedNode
	for _, name := range c.nodeNames() {
		if node := c.nodes[name]; node.up && !node.paused && node.replica.Role() == Leader {
			leaders = append(leaders, node)
		}
	}
	return leaders
}

// runTraffic advances the time by duration. Every 10 to 70 ms it sends two changes and a read to
// each leader, and repairs the membership.
func (c *chaosRun) runTraffic(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		for _, leader := range c.leaders() {
			c.proposeChange(leader)
			c.proposeChange(leader)
			c.readRegister(leader)
		}
		c.run(10*time.Millisecond + c.randomDurationMillis(60))
		c.repairMembership()
	}
}

// runSparseTraffic is like runTraffic, but sends one change and one read to each leader every 200 to
// 600 ms.
func (c *chaosRun) runSparseTraffic(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		for _, leader := range c.leaders() {
			c.proposeChange(leader)
			c.readRegister(leader)
		}
		c.run(200*time.Millisecond + c.randomDurationMillis(400))
		c.repairMembership()
	}
}

// commitChange proposes changes until one is acknowledged, and returns in the same millisecond of
// simulated time. It returns the applied index of the leader at that time.
func (c *chaosRun) commitChange() uint64 {
	const attempts, waits = 4000, 200
	for range attempts {
		if leader := c.leader(); leader != nil {
			id := c.proposeChange(leader)
			for range waits {
				if c.txnStatus[id] == statusCommitted {
					return leader.replica.AppliedIndex()
				}
				c.run(time.Millisecond)
			}
		}
		c.run(10 * time.Millisecond)
	}
	c.t.Fatalf("%s at %v: no change was acknowledged in 4000 attempts, want one", c.name, c.now)
	return 0
}

// repairMembership proposes a membership change at the leader once a new replica has caught up. The
// new replica replaces the voter that ran on the same machine and lost its disk, or it is added if
// the cell has fewer than voterCount voters. While the newest change is incomplete,
// repairMembership proposes an empty transaction instead.
func (c *chaosRun) repairMembership() {
	leader := c.leader()
	if leader == nil {
		return
	}
	voters, complete := leader.replica.Voters()
	if !complete {
		c.propose(leader, "noop", Txn{})
		return
	}
	kept, joining := c.nextVoters(voters)
	if joining == "" || !hasCaughtUp(leader.replica, joining) {
		return
	}
	version, _ := leader.replica.Get(MembershipVersionKey)
	condition := Condition{Key: MembershipVersionKey, Equals: version, Absent: version.Int == nil}
	machine := machineOf(joining)
	next := append(kept, Voter{ID: joining, Addr: machine, Zone: machine})
	id := fmt.Sprintf("move%d", c.nextOperation())
	c.propose(leader, id, Txn{Conditions: []Condition{condition}, Ops: []Op{{Kind: OpSetVoters, Voters: next}}})
}

// nextVoters returns the voters that remain, and the ID of the replica to add to them. The ID is
// empty if there is nothing to repair.
func (c *chaosRun) nextVoters(voters []Voter) (kept []Voter, joining ReplicaID) {
	for _, voter := range voters {
		if node := c.nodes[machineOf(voter.ID)]; node.id != voter.ID && joining == "" {
			joining = node.id
			continue
		}
		kept = append(kept, voter)
	}
	for _, name := range c.nodeNames() {
		node := c.nodes[name]
		if joining == "" && len(kept) < voterCount && node.up && !(Membership{Voters: kept}).Contains(node.id) {
			joining = node.id
		}
	}
	return kept, joining
}

// hasCaughtUp reports whether the durable commit index that a new replica has reported is at most
// Alpha entries behind the applied index of the leader. A new replica that has reported none has not
// caught up.
func hasCaughtUp(leader *Replica, joining ReplicaID) bool {
	durable := leader.DurableCommitIndex(joining)
	if durable == 0 && leader.AppliedIndex() > 0 {
		return false
	}
	return durable+leader.config.Alpha >= leader.AppliedIndex()
}

// waitUntilRepaired repairs the membership until isRepaired holds on the leader. The test fails
// after 20 s of simulated time.
func (c *chaosRun) waitUntilRepaired() {
	for range 400 {
		if leader := c.leader(); leader != nil && c.isRepaired(leader.replica) {
			return
		}
		c.run(50 * time.Millisecond)
		c.repairMembership()
	}
	c.t.Fatalf("%s at %v: the membership is not repaired after 20 s, want all voters running and caught up", c.name, c.now)
}

// isRepaired reports whether the newest membership change is complete on the leader, with voterCount
// voters. All of them must be running, be at most two entries behind the leader and have no pending
// syncs.
func (c *chaosRun) isRepaired(leader *Replica) bool {
	voters, complete := leader.Voters()
	if !complete || len(voters) != voterCount {
		return false
	}
	for _, voter := range voters {
		node := c.nodes[machineOf(voter.ID)]
		isRunning := node.id == voter.ID && node.up
		if !isRunning || node.replica.AppliedIndex()+2 < leader.AppliedIndex() || len(node.pendingSyncs) > 0 {
			return false
		}
	}
	return true
}

// killNode ends the process of a node. Writes that are not synced yet are lost.
func (c *chaosRun) killNode(node *simulatedNode) { node.stop() }

// restartNode starts the replica of a node from the node's disk.
func (c *chaosRun) restartNode(node *simulatedNode) {
	c.startNode(node)
	c.updateLearners()
}

// startAllNodes starts all nodes that are down.
func (c *chaosRun) startAllNodes() {
	for _, name := range c.nodeNames() {
		if node := c.nodes[name]; !node.up {
			c.startNode(node)
		}
	}
	c.updateLearners()
}

// replaceDisk stops a machine, replaces its disk with an empty one, and schedules reports of the
// loss to the other machines. The machine gets a new replica ID and stays down.
func (c *chaosRun) replaceDisk(name string) {
	c.replacedDisks++
	node := c.nodes[name]
	former := node.id
	c.loseDisk(node, ReplicaID(name+"~"+strconv.Itoa(c.replacedDisks)))
	c.scheduleLossReports(node, former)
}

// leaderMachineOr returns the machine of the leader, or fallback if there is no leader.
func (c *chaosRun) leaderMachineOr(fallback string) string {
	if leader := c.leader(); leader != nil {
		return machineOf(leader.id)
	}
	return fallback
}

// dropInTransit removes all messages from a replica that have not arrived yet from the network.
func (c *chaosRun) dropInTransit(id ReplicaID) {
	c.network = slices.DeleteFunc(c.network, func(item inTransit) bool { return item.message.From == id })
	heap.Init(&c.network)
}

// forceElection expires the election timeout of a replica, and waits up to 400 ms until it is the
// leader.
func (c *chaosRun) forceElection(name string) {
	node := c.nodes[name]
	node.replica.electionDeadline = c.now
	for wait := 0; wait < 400 && node.replica.Role() != Leader; wait++ {
		c.run(time.Millisecond)
	}
}

// sortByDisk moves the machines whose disk matches a condition to the front, and otherwise keeps the
// order.
func (c *chaosRun) sortByDisk(names []string, matches func(disk *simulatedDisk) bool) {
	rank := func(name string) int {
		if matches(&c.nodes[name].disk) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(names, func(a, b string) int { return rank(a) - rank(b) })
}
