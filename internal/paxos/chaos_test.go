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

// A chaosRun draws faults from a seed, on a cell of five voters on six machines that tolerates
// the loss of two. Clients propose changes and read at every replica that considers itself the
// leader, on both sides of a partition. Besides the checks of the simulation, in the end every
// acknowledged change must be there, no two of them may build on the same value, and the history
// of changes and reads must be linearizable.
type chaosRun struct {
	*cellSimulation
	incarnations  int
	lastOperation int

	// Of the changes of registerKey, by transaction:
	baseOf  map[string]string // the value that it builds on
	valueOf map[string]string // the value that it makes
	changes map[string]*porcupine.Operation
	// successorOf has the acknowledged value that builds on a value.
	successorOf map[string]string

	pendingReads  map[uint64]*porcupine.Operation
	finishedReads []porcupine.Operation
}

const (
	// voterCount is the number of voters that repairs restore.
	voterCount = 5
	// tolerableLosses is how many disks of the cell may be lost at once.
	tolerableLosses = 2
	// registerKey is the key that clients change and read.
	registerKey = "config"
	// changeKeyPrefix begins the keys that show which changes took effect.
	changeKeyPrefix = "was/"
)

// machineOf returns the machine that a replica runs on: its name is one letter.
func machineOf(id ReplicaID) string { return string(id)[:1] }

// newChaosRun starts a cell and waits until it has all its voters.
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

// runSeeds plays a few seeds, or as many as COMETHOLD_SEEDS says, several at once.
func runSeeds(t *testing.T, few int, play func(t *testing.T, seed int64)) {
	t.Helper()
	const parts = 8
	seeds := int64(simulation.SeedCount(few))
	for part := range int64(parts) {
		t.Run(strconv.FormatInt(part, 10), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < seeds; seed += parts {
				play(t, seed)
			}
		})
	}
}

// runChaos draws ten faults, with traffic before, during and after each.
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

func TestChaos(t *testing.T) {
	runSeeds(t, 60, func(t *testing.T, seed int64) {
		t.Helper()
		runChaos(t, seed)
	})
}

// TestChaosIsDeterministic: two runs of one seed are identical, message by message.
func TestChaosIsDeterministic(t *testing.T) {
	for _, seed := range []int64{9, 13} {
		first := runChaos(t, seed)
		second := runChaos(t, seed)
		if first.messagesSent != second.messagesSent || first.now != second.now {
			t.Errorf("seed %d: %d messages until %v, then %d until %v",
				seed, first.messagesSent, first.now, second.messagesSent, second.now)
		}
	}
}

// randomDurationMillis draws a whole number of milliseconds below a bound.
func (c *chaosRun) randomDurationMillis(below int) time.Duration {
	return time.Duration(c.rng.Intn(below)) * time.Millisecond
}

// shuffled returns the names in random order.
func (c *chaosRun) shuffled(names []string) []string {
	names = slices.Clone(names)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// nextOperation numbers the operations of clients.
func (c *chaosRun) nextOperation() int {
	c.lastOperation++
	return c.lastOperation
}

// changeID is the transaction of a client's operation.
func changeID(operation int) string { return fmt.Sprintf("o%d", operation) }

// putOps gives a value to several keys.
func putOps(value string, keys ...string) []Op {
	var ops []Op
	for _, key := range keys {
		ops = append(ops, Op{Kind: OpPut, Key: key, Value: Bytes([]byte(value))})
	}
	return ops
}

// proposeChange sends a change that builds on the newest value known to one replica, and
// returns its transaction.
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

// readRegister starts a read at a replica that considers itself the leader.
func (c *chaosRun) readRegister(node *simulatedNode) {
	ticket := uint64(c.nextOperation())
	c.startRead(ticket)
	if node.replica.Read(c.now, ticket) != nil {
		delete(c.pendingReads, ticket)
	}
	c.handleReady(node)
}

// leaders returns the live nodes whose replicas consider themselves the leader.
func (c *chaosRun) leaders() []*simulatedNode {
	var leaders []*simulatedNode
	for _, name := range c.nodeNames() {
		if node := c.nodes[name]; node.up && !node.paused && node.replica.Role() == Leader {
			leaders = append(leaders, node)
		}
	}
	return leaders
}

// runTraffic lets time pass and periodically sends two changes and a read to each leader.
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

// runSparseTraffic sends a change and a read to each leader, more rarely.
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

// commitChange returns at the moment at which a change is acknowledged, with an index that
// the leader had applied then.
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
	c.t.Fatalf("%s at %v: nothing is acknowledged", c.name, c.now)
	return 0
}

// repairMembership proposes, at the leader, to replace a voter whose disk was lost by the replica
// that now runs on its machine, or to add a voter up to voterCount, once the new replica has
// caught up.
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
	kept, newcomer := c.nextVoters(voters)
	if newcomer == "" || !hasCaughtUp(leader.replica, newcomer) {
		return
	}
	version, _ := leader.replica.Get(MembershipVersionKey)
	condition := Condition{Key: MembershipVersionKey, Equals: version, Absent: version.Int == nil}
	machine := machineOf(newcomer)
	next := append(kept, Voter{ID: newcomer, Addr: machine, Zone: machine})
	id := fmt.Sprintf("move%d", c.nextOperation())
	c.propose(leader, id, Txn{Conditions: []Condition{condition}, Ops: []Op{{Kind: OpSetVoters, Voters: next}}})
}

// nextVoters returns the voters that stay, and the replica that should join them or "".
func (c *chaosRun) nextVoters(voters []Voter) (kept []Voter, newcomer ReplicaID) {
	for _, voter := range voters {
		if node := c.nodes[machineOf(voter.ID)]; node.id != voter.ID && newcomer == "" {
			newcomer = node.id
			continue
		}
		kept = append(kept, voter)
	}
	for _, name := range c.nodeNames() {
		node := c.nodes[name]
		if newcomer == "" && len(kept) < voterCount && node.up && !(Membership{Voters: kept}).Contains(node.id) {
			newcomer = node.id
		}
	}
	return kept, newcomer
}

// hasCaughtUp reports whether a new replica's disk holds nearly everything that the leader has
// applied.
func hasCaughtUp(leader *Replica, newcomer ReplicaID) bool {
	durable := leader.DurableCommitIndex(newcomer)
	if durable == 0 && leader.AppliedIndex() > 0 {
		return false
	}
	return durable+leader.config.Alpha >= leader.AppliedIndex()
}

// waitUntilRepaired waits until the cell has all its voters, and they run and have caught up.
func (c *chaosRun) waitUntilRepaired() {
	for range 400 {
		if leader := c.leader(); leader != nil && c.isRepaired(leader.replica) {
			return
		}
		c.run(50 * time.Millisecond)
		c.repairMembership()
	}
	c.t.Fatalf("%s at %v: the membership was not repaired", c.name, c.now)
}

// isRepaired reports whether, according to the leader, the cell is complete and all voters are up
// to date.
func (c *chaosRun) isRepaired(leader *Replica) bool {
	voters, complete := leader.Voters()
	if !complete || len(voters) != voterCount {
		return false
	}
	for _, voter := range voters {
		node := c.nodes[machineOf(voter.ID)]
		lives := node.id == voter.ID && node.up
		if !lives || node.replica.AppliedIndex()+2 < leader.AppliedIndex() || len(node.pendingSyncs) > 0 {
			return false
		}
	}
	return true
}

// killNode ends a process. Writes that are not synced yet are lost.
func (c *chaosRun) killNode(node *simulatedNode) { node.stop() }

// restartNode starts a replica from its machine's disk.
func (c *chaosRun) restartNode(node *simulatedNode) {
	c.startNode(node)
	c.updateLearners()
}

// startAllNodes starts the machines that are down.
func (c *chaosRun) startAllNodes() {
	for _, name := range c.nodeNames() {
		if node := c.nodes[name]; !node.up {
			c.startNode(node)
		}
	}
	c.updateLearners()
}

// replaceDisk takes a machine down and gives it an empty disk.
func (c *chaosRun) replaceDisk(name string) {
	c.incarnations++
	node := c.nodes[name]
	former := node.id
	c.loseDisk(node, ReplicaID(name+"~"+strconv.Itoa(c.incarnations)))
	c.scheduleLossReports(node, former)
}

// leaderOr returns the name of the leader's machine, or another one if there is no leader.
func (c *chaosRun) leaderOr(other string) string {
	if leader := c.leader(); leader != nil {
		return machineOf(leader.id)
	}
	return other
}

// dropInTransit loses all messages from a replica that have not arrived yet.
func (c *chaosRun) dropInTransit(id ReplicaID) {
	c.network = slices.DeleteFunc(c.network, func(item inTransit) bool { return item.message.From == id })
	heap.Init(&c.network)
}

// forceElection makes a replica campaign until it leads or the time is over.
func (c *chaosRun) forceElection(name string) {
	node := c.nodes[name]
	node.replica.electionDeadline = c.now
	for wait := 0; wait < 400 && node.replica.Role() != Leader; wait++ {
		c.run(time.Millisecond)
	}
}

// sortByDisk sorts the machines whose disk meets a condition first.
func (c *chaosRun) sortByDisk(names []string, first func(disk *simulatedDisk) bool) {
	rank := func(name string) int {
		if first(&c.nodes[name].disk) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(names, func(a, b string) int { return rank(a) - rank(b) })
}
