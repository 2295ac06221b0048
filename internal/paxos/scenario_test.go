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

// The files of testdata are scenarios, one command per line, played on a simulation.

// scenarioCommand is one line of a scenario.
type scenarioCommand struct {
	*cellSimulation
	line  string
	words []string // after the verb
}

// word returns an argument; if it is missing, the test fails.
func (c scenarioCommand) word(i int) string {
	if i >= len(c.words) {
		c.t.Fatalf("%s: %q lacks a word", c.name, c.line)
	}
	return c.words[i]
}

// number returns the first argument as a number.
func (c scenarioCommand) number() float64 {
	value, err := strconv.ParseFloat(c.word(0), 64)
	if err != nil {
		c.t.Fatalf("%s: %q: %v", c.name, c.line, err)
	}
	return value
}

// millis returns the first argument as milliseconds.
func (c scenarioCommand) millis() time.Duration {
	return time.Duration(c.number()) * time.Millisecond
}

// node returns the node that the first argument names.
func (c scenarioCommand) node() *simulatedNode { return c.findNode(c.word(0)) }

// scenarioCommands maps each verb to its function.
var scenarioCommands = map[string]func(c scenarioCommand){
	// The set-up.
	"seed":        func(c scenarioCommand) { c.rng = rand.New(rand.NewSource(int64(c.number()))) },
	"cell":        func(c scenarioCommand) { c.bootstrapCell(c.words) },
	"add-learner": func(c scenarioCommand) { c.addLearner(c.word(0)) },
	"run":         func(c scenarioCommand) { c.run(c.millis()) },

	// The network and the disks.
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

	// The processes.
	"kill":       func(c scenarioCommand) { c.node().stop() },
	"lose-power": func(c scenarioCommand) { c.losePower(c.node()) },
	"start":      func(c scenarioCommand) { c.startNode(c.node()) },
	"pause":      func(c scenarioCommand) { c.node().paused = true },
	"resume-all": func(c scenarioCommand) { c.resumeAll() },

	// The clients.
	"put":           func(c scenarioCommand) { c.putUntilCommitted(c.word(0), c.word(1)) },
	"put-many":      putManyCommand,
	"propose-burst": proposeBurstCommand,
	"race":          raceCommand,
	"read":          readCommand,
	"replace-voter": replaceVoterCommand,

	// The expectations.
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

// runCommand runs one line.
func (s *cellSimulation) runCommand(line string) {
	fields := strings.Fields(line)
	command, ok := scenarioCommands[fields[0]]
	if !ok {
		s.t.Fatalf("%s: unknown command %q", s.name, line)
	}
	command(scenarioCommand{cellSimulation: s, line: line, words: fields[1:]})
}

// lose-disk NODE ID: the disk is lost, and the machine comes back as another replica.
func loseDiskCommand(c scenarioCommand) {
	node := c.node()
	former := node.id
	c.loseDisk(node, ReplicaID(c.word(1)))
	c.startNode(node)
	c.scheduleLossReports(node, former)
	c.updateLearners()
}

// put-many N: N puts, one after the other.
func putManyCommand(c scenarioCommand) {
	for i := range int(c.number()) {
		c.putUntilCommitted(fmt.Sprintf("k%d", i%7), fmt.Sprintf("v%d.%d", i, c.rng.Intn(1000)))
	}
}

// propose-burst N: N proposals at once, named burst0 and so on.
func proposeBurstCommand(c scenarioCommand) {
	leader := c.findNode("leader")
	for i := range int(c.number()) {
		c.propose(leader, fmt.Sprintf("burst%d", i), Txn{Ops: []Op{{Kind: OpAdd, Key: "count", Value: Int(1)}}})
	}
}

// race KEY OLD A B: two conditional changes of one value, named race-A and race-B.
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

// read NODE: asks for a linearizable read there, whose status is that of "read".
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

// replace-voter OUT IN [OUT IN]: a voter is replaced, and at once after it another. An OUT
// that does not vote ("-") means that a voter is added. The status of the two changes is that
// of "first" and "second".
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

// withoutVoter returns a copy of the voters that lacks one.
func withoutVoter(voters []Voter, id ReplicaID) []Voter {
	var rest []Voter
	for _, voter := range voters {
		if voter.ID != id {
			rest = append(rest, voter)
		}
	}
	return rest
}

// want ID STATUS
func wantCommand(c scenarioCommand) {
	if got, want := c.txnStatus[c.word(0)], txnStatus(c.word(1)); got != want {
		c.t.Fatalf("%s at %v: %s is %q, want %q", c.name, c.now, c.word(0), got, want)
	}
}

// want-some STATUS PREFIX: at least one transaction.
func wantSomeCommand(c scenarioCommand) {
	for id, status := range c.txnStatus {
		if status == txnStatus(c.word(0)) && strings.HasPrefix(id, c.word(1)) {
			return
		}
	}
	c.t.Fatalf("%s at %v: none of %s* is %s: %v", c.name, c.now, c.word(1), c.word(0), c.txnStatus)
}

// want-one-committed PREFIX: exactly one transaction.
func wantOneCommittedCommand(c scenarioCommand) {
	count := 0
	for id, status := range c.txnStatus {
		if strings.HasPrefix(id, c.word(0)) && status == statusCommitted {
			count++
		}
	}
	if count != 1 {
		c.t.Fatalf("%s at %v: %d of %s* committed: %v", c.name, c.now, count, c.word(0), c.txnStatus)
	}
}

// want-leader yes|no
func wantLeaderCommand(c scenarioCommand) {
	if leader := c.leader(); (leader != nil) != (c.word(0) == "yes") {
		c.t.Fatalf("%s at %v: leader: %v", c.name, c.now, leader)
	}
}

// want-not-leader NODE
func wantNotLeaderCommand(c scenarioCommand) {
	if c.node().replica.Role() == Leader {
		c.t.Fatalf("%s at %v: %s leads", c.name, c.now, c.word(0))
	}
}

// wantVoter checks whether the node that the command names is a voter.
func (c scenarioCommand) wantVoter(want bool) {
	if got := c.node().replica.IsVoter(); got != want {
		c.t.Fatalf("%s at %v: voter: %v", c.name, c.now, got)
	}
}

// settleAndCheckAcknowledged waits for messages in transit, and then checks that every live voter
// holds all acknowledged values.
func (s *cellSimulation) settleAndCheckAcknowledged() {
	s.run(500 * time.Millisecond)
	s.checkAcknowledgedValues()
}

// propose proposes a transaction at one node.
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

// putUntilCommitted sets a key at the current leader, and repeats that until it is committed.
func (s *cellSimulation) putUntilCommitted(key, value string) {
	const attempts = 200
	for range attempts {
		if leader := s.leader(); leader != nil && s.putOnce(leader, key, value) {
			return
		}
		s.run(50 * time.Millisecond)
	}
	s.t.Fatalf("%s at %v: %s=%s was never committed", s.name, s.now, key, value)
}

// putOnce proposes a value, waits for the outcome and reports whether it was committed.
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

// scenarioWorld plays scenario files on a simulation.
type scenarioWorld struct{ *cellSimulation }

func (w scenarioWorld) Do(c simulation.Command) error {
	w.runCommand(c.Line)
	return nil
}

func TestScenarios(t *testing.T) {
	inRealTime := func(t *testing.T, run func(*testing.T)) { t.Helper(); run(t) }
	newWorld := func(t *testing.T) simulation.World {
		t.Helper()
		return scenarioWorld{newCellSimulation(t, t.Name())}
	}
	simulation.Play(t, "testdata", inRealTime, newWorld)
}
