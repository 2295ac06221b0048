package paxos

import (
	"errors"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"
	"time"

	"comethold/internal/simulation"
)

// The files in testdata are scenarios with one command per line. They run on a cellSimulation.

// scenarioCommand is one line of a scenario.
type scenarioCommand struct {
	*cellSimulation
	line  string
	words []string // the arguments after the verb
}

// word returns the argument with index i, counted from 0. The test fails if it is missing.
func (c scenarioCommand) word(i int) string {
	if i >= len(c.words) {
		c.t.Fatalf("%s: command %q has too few arguments", c.name, c.line)
	}
	return c.words[i]
}

// number returns the first argument as a number.
func (c scenarioCommand) number() float64 {
	value, err := strconv.ParseFloat(c.word(0), 64)
	if err != nil {
		c.t.Fatalf("%s: first argument of %q is not a number: %v", c.name, c.line, err)
	}
	return value
}

// millis returns the first argument as milliseconds.
func (c scenarioCommand) millis() time.Duration {
	return time.Duration(c.number()) * time.Millisecond
}

// node returns the node with the name in the first argument.
func (c scenarioCommand) node() *simulatedNode { return c.findNode(c.word(0)) }

// scenarioCommands maps each verb to the function that runs the command.
var scenarioCommands = map[string]func(c scenarioCommand){
	// Setup and time.
	"seed":        func(c scenarioCommand) { c.rng = rand.New(rand.NewSource(int64(c.number()))) },
	"cell":        func(c scenarioCommand) { c.bootstrapCell(c.words) },
	"add-learner": func(c scenarioCommand) { c.addLearner(c.word(0)) },
	"run":         func(c scenarioCommand) { c.run(c.millis()) },

	// Network and disks.
	"message-loss":       func(c scenarioCommand) { c.lossRate = c.number() },
	"message-duplicates": func(c scenarioCommand) { c.duplicateRate = c.number() },
	"message-delay":      func(c scenarioCommand) { c.messageDelay = c.millis() },
	"sync-delay":         func(c scenarioCommand) { c.syncDelay = c.millis() },
	"partition":          func(c scenarioCommand) { c.setPartitioned(c.node(), true) },
	"heal":               func(c scenarioCommand) { c.setPartitioned(c.node(), false) },
	"heal-all":           func(c scenarioCommand) { c.healAll() },
	"hang-disk":          func(c scenarioCommand) { c.node().diskHangs = true },
	"fail-disk":          func(c scenarioCommand) { c.node().diskFails = true },
	"repair-disks":       func(c scenarioCommand) { c.repairDisks() },
	"lose-disk":          loseDiskCommand,

	// Processes.
	"kill":       func(c scenarioCommand) { c.node().stop() },
	"lose-power": func(c scenarioCommand) { c.losePower(c.node()) },
	"start":      func(c scenarioCommand) { c.startNode(c.node()) },
	"pause":      func(c scenarioCommand) { c.node().paused = true },
	"resume-all": func(c scenarioCommand) { c.resumeAll() },

	// Clients and membership changes.
	"put":           func(c scenarioCommand) { c.putUntilCommitted(c.word(0), c.word(1)) },
	"put-many":      putManyCommand,
	"propose-burst": proposeBurstCommand,
	"race":          raceCommand,
	"read":          readCommand,
	"replace-voter": replaceVoterCommand,

	// Checks.
	"want":                     wantCommand,
	"want-some":                wantSomeCommand,
	"want-one-committed":       wantOneCommittedCommand,
	"want-leader":              wantLeaderCommand,
	"want-not-leader":          wantNotLeaderCommand,
	"want-voter":               func(c scenarioCommand) { c.wantVoter(true) },
	"want-not-voter":           func(c scenarioCommand) { c.wantVoter(false) },
	"want-membership-complete": func(c scenarioCommand) { c.checkMembershipComplete() },
	"want-acknowledged":        func(c scenarioCommand) { c.settleAndCheckAcknowledged() },
}

// runCommand runs one line of a scenario.
func (s *cellSimulation) runCommand(line string) {
	fields := strings.Fields(line)
	command, ok := scenarioCommands[fields[0]]
	if !ok {
		s.t.Fatalf("%s: unknown command %q", s.name, line)
	}
	command(scenarioCommand{cellSimulation: s, line: line, words: fields[1:]})
}

// loseDiskCommand runs "lose-disk NODE ID": the node restarts with an empty disk as the replica ID.
func loseDiskCommand(c scenarioCommand) {
	node := c.node()
	former := node.id
	c.loseDisk(node, ReplicaID(c.word(1)))
	c.startNode(node)
	c.scheduleLossReports(node, former)
	c.updateLearners()
}

// putManyCommand runs "put-many N": it commits N puts, one after the other.
func putManyCommand(c scenarioCommand) {
	for i := range int(c.number()) {
		c.putUntilCommitted(fmt.Sprintf("k%d", i%7), fmt.Sprintf("v%d.%d", i, c.rng.Intn(1000)))
	}
}

// proposeBurstCommand runs "propose-burst N": it proposes N transactions at once, with the IDs
// burst0, burst1 and so on.
func proposeBurstCommand(c scenarioCommand) {
	leader := c.findNode("leader")
	for i := range int(c.number()) {
		c.propose(leader, fmt.Sprintf("burst%d", i), Txn{Ops: []Op{{Kind: OpAdd, Key: "count", Value: Int(1)}}})
	}
}

// raceCommand runs "race KEY OLD A B": it proposes transactions race-A and race-B, which set KEY to A
// and to B on condition that its value is OLD.
func raceCommand(c scenarioCommand) {
	leader := c.findNode("leader")
	key := c.word(0)
	condition := Condition{Key: key, Equals: Bytes([]byte(c.word(1)))}
	for _, value := range []string{c.word(2), c.word(3)} {
		put := Op{Kind: OpPut, Key: key, Value: Bytes([]byte(value))}
		c.propose(leader, "race-"+value, Txn{Conditions: []Condition{condition}, Ops: []Op{put}})
	}
	c.run(300 * time.Millisecond)
	delete(c.acknowledgedValues, key)
}

// readCommand runs "read NODE": it starts a linearizable read at the node. The command "want" checks
// its status under the ID "read".
func readCommand(c scenarioCommand) {
	const ticket = 1
	node := c.node()
	c.confirmedReads = map[uint64]bool{}
	err := node.replica.Read(c.now, ticket)
	c.handleReady(node)
	c.run(150 * time.Millisecond)
	c.txnStatus["read"] = statusUnconfirmed
	if err == nil && c.confirmedReads[ticket] {
		c.txnStatus["read"] = statusConfirmed
	}
}

// replaceVoterCommand runs "replace-voter OUT IN [OUT IN]": it proposes to replace the voter OUT with
// IN, and immediately afterwards proposes the second replacement. If OUT is not a voter, such as
// "-", IN is added. The command "want" checks the status of the two changes under the IDs "first"
// and "second".
func replaceVoterCommand(c scenarioCommand) {
	leader := c.findNode("leader")
	voters, _ := leader.replica.Voters()
	var ids []string
	for i := 0; i < len(c.words); i += 2 {
		removed := ReplicaID(c.word(i))
		if removed == "leader" {
			removed = leader.id
		}
		added := c.word(i + 1)
		voters = append(withoutVoter(voters, removed), Voter{ID: ReplicaID(added), Addr: added, Zone: added})
		c.lastTxn++
		id := "move" + strconv.Itoa(c.lastTxn)
		ids = append(ids, id)
		c.propose(leader, id, Txn{Ops: []Op{{Kind: OpSetVoters, Voters: voters}}})
	}
	c.run(200 * time.Millisecond)
	c.txnStatus["first"] = c.txnStatus[ids[0]]
	if len(ids) > 1 {
		c.txnStatus["second"] = c.txnStatus[ids[1]]
	}
}

// withoutVoter returns a copy of the voters without the one with this ID.
func withoutVoter(voters []Voter, id ReplicaID) []Voter {
	var rest []Voter
	for _, voter := range voters {
		if voter.ID != id {
			rest = append(rest, voter)
		}
	}
	return rest
}

// wantCommand runs "want ID STATUS": the transaction or read must have this status.
func wantCommand(c scenarioCommand) {
	if got, want := c.txnStatus[c.word(0)], txnStatus(c.word(1)); got != want {
		c.t.Fatalf("%s at %v: status of %s is %q, want %q", c.name, c.now, c.word(0), got, want)
	}
}

// wantSomeCommand runs "want-some STATUS PREFIX": at least one transaction whose ID has the prefix
// must have this status.
func wantSomeCommand(c scenarioCommand) {
	for id, status := range c.txnStatus {
		if status == txnStatus(c.word(0)) && strings.HasPrefix(id, c.word(1)) {
			return
		}
	}
	c.t.Fatalf("%s at %v: no transaction %s* has status %s, want at least one; statuses: %v",
		c.name, c.now, c.word(1), c.word(0), c.txnStatus)
}

// wantOneCommittedCommand runs "want-one-committed PREFIX": exactly one transaction whose ID has the
// prefix must be committed.
func wantOneCommittedCommand(c scenarioCommand) {
	count := 0
	for id, status := range c.txnStatus {
		if strings.HasPrefix(id, c.word(0)) && status == statusCommitted {
			count++
		}
	}
	if count != 1 {
		c.t.Fatalf("%s at %v: %d transactions %s* are committed, want 1; statuses: %v",
			c.name, c.now, count, c.word(0), c.txnStatus)
	}
}

// wantLeaderCommand runs "want-leader yes|no": the cell must have a leader (yes) or none (no).
func wantLeaderCommand(c scenarioCommand) {
	if leader := c.leader(); (leader != nil) != (c.word(0) == "yes") {
		c.t.Fatalf("%s at %v: leader is %v, want a leader: %s", c.name, c.now, leader, c.word(0))
	}
}

// wantNotLeaderCommand runs "want-not-leader NODE": the node must not be a leader.
func wantNotLeaderCommand(c scenarioCommand) {
	if c.node().replica.Role() == Leader {
		c.t.Fatalf("%s at %v: node %s is a leader, want another role", c.name, c.now, c.word(0))
	}
}

// wantVoter checks whether the node in the first argument considers itself a voter.
func (c scenarioCommand) wantVoter(want bool) {
	if got := c.node().replica.IsVoter(); got != want {
		c.t.Fatalf("%s at %v: IsVoter returned %v, want %v on node %s", c.name, c.now, got, want, c.word(0))
	}
}

// settleAndCheckAcknowledged runs for 500 ms, so that messages in transit arrive, and then checks
// that every running voter has all acknowledged values.
func (s *cellSimulation) settleAndCheckAcknowledged() {
	s.run(500 * time.Millisecond)
	s.checkAcknowledgedValues()
}

// propose proposes a transaction at one node and records its status.
func (s *cellSimulation) propose(node *simulatedNode, id string, txn Txn) {
	txn.ID = id
	err := node.replica.Propose(s.now, txn)
	switch {
	case errors.Is(err, ErrPipelineFull):
		s.txnStatus[id] = statusPipelineFull
	case err != nil:
		s.txnStatus[id] = statusNotLeader
	default:
		s.txnStatus[id] = statusPending
	}
	s.handleReady(node)
}

// putUntilCommitted proposes a put at the current leader, and repeats it until it is committed.
func (s *cellSimulation) putUntilCommitted(key, value string) {
	const attempts = 200
	for range attempts {
		if leader := s.leader(); leader != nil && s.putOnce(leader, key, value) {
			return
		}
		s.run(50 * time.Millisecond)
	}
	s.t.Fatalf("%s at %v: put %s=%s was not committed in 200 attempts, want it committed", s.name, s.now, key, value)
}

// putOnce proposes a put, waits for its outcome for up to 1.2 s, and reports whether it was committed.
func (s *cellSimulation) putOnce(leader *simulatedNode, key, value string) bool {
	const waits = 60
	s.lastTxn++
	id := fmt.Sprintf("t%d", s.lastTxn)
	s.proposedWrites[id] = keyValue{key, value}
	s.propose(leader, id, Txn{Ops: []Op{{Kind: OpPut, Key: key, Value: Bytes([]byte(value))}}})
	for wait := 0; wait < waits && s.txnStatus[id] == statusPending; wait++ {
		s.run(20 * time.Millisecond)
	}
	return s.txnStatus[id] == statusCommitted
}

// scenarioWorld runs the commands of scenario files on a cellSimulation.
type scenarioWorld struct{ *cellSimulation }

func (w scenarioWorld) Do(c simulation.Command) error {
	w.runCommand(c.Line)
	return nil
}

// TestScenarios runs the scenario files. The comment at the head of each file states the fault and the
// expected result.
func TestScenarios(t *testing.T) {
	withoutSynctest := func(t *testing.T, run func(*testing.T)) { t.Helper(); run(t) }
	newWorld := func(t *testing.T) simulation.World {
		t.Helper()
		return scenarioWorld{newCellSimulation(t, t.Name())}
	}
	simulation.RunScenarios(t, "testdata", withoutSynctest, newWorld)
}
