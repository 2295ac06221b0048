package paxos

import (
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// A cellSimulation runs the replicas of one cell in simulated time. Its network delays, loses and
// duplicates messages, and its disks take time to sync. All random numbers come from one seed. The
// checks in simulation_checks_test.go run while the time advances.
type cellSimulation struct {
	t    *testing.T
	name string
	now  time.Duration
	rng  *rand.Rand

	nodes         map[string]*simulatedNode
	sortedNames   []string
	initialVoters []Voter
	lossReports   []lossReport

	network       network
	messagesSent  int
	lossRate      float64
	duplicateRate float64
	lateRate      float64 // fraction of messages with an additional delay of up to maxLateDelay
	messageDelay  time.Duration
	blockedLinks  map[link]bool

	syncDelay time.Duration // mean duration of a sync; the maximum is twice as long

	// State of the clients:
	lastTxn            int
	txnStatus          map[string]txnStatus
	proposedWrites     map[string]keyValue // by transaction ID
	acknowledgedValues map[string]string   // by key
	confirmedReads     map[uint64]bool
	onOutcome          func(node *simulatedNode, outcome Outcome)
	onRead             func(node *simulatedNode, ticket uint64)

	// State of the checks:
	committedContent map[uint64]string // the transaction IDs of each log index, joined by commas
	acknowledgements []acknowledgement
}

// keyValue is the key that a transaction writes, and its new value.
type keyValue struct{ key, value string }

// txnStatus is the status of a transaction or read, as known to its client.
type txnStatus string

const (
	statusPending      txnStatus = "pending"
	statusPipelineFull txnStatus = "pipeline-full"
	statusNotLeader    txnStatus = "not-leader"
	statusCommitted    txnStatus = "committed"
	statusIgnored      txnStatus = "ignored"
	statusUnknown      txnStatus = "unknown"
	// The status of a read:
	statusConfirmed   txnStatus = "confirmed"
	statusUnconfirmed txnStatus = "unconfirmed"
)

// Timing of the simulation.
const (
	simulationStep      = time.Millisecond
	tickInterval        = 20 * time.Millisecond
	maxLateDelay        = 4 * time.Second
	maxLossReportDelay  = time.Second
	defaultMessageDelay = 5 * time.Millisecond
	wrongReportOneIn    = 10 // one in this many loss reports names the successor instead of the lost replica
)

// simulatedNode is a machine with its disk and, while it is up, a replica.
type simulatedNode struct {
	id      ReplicaID
	up      bool
	replica *Replica

	disk         simulatedDisk
	diskHangs    bool
	diskFails    bool
	diskDelay    time.Duration // additional duration of each sync
	pendingSyncs []pendingSync

	paused       bool
	heldMessages []Message // messages that arrived while the node was paused

	checkedIndex uint64 // index up to which checkAgreement has checked the current replica
}

// stop ends a node's process. Writes that are not synced yet are lost.
func (n *simulatedNode) stop() {
	n.up = false
	n.pendingSyncs = nil
	n.heldMessages = nil
}

// lossReport is a report to one node that a replica is lost permanently.
type lossReport struct {
	arrivesAt time.Duration
	recipient *simulatedNode
	lost      ReplicaID
}

func newCellSimulation(t *testing.T, name string) *cellSimulation {
	t.Helper()
	return &cellSimulation{
		t: t, name: name, rng: rand.New(rand.NewSource(1)),
		nodes:              map[string]*simulatedNode{},
		messageDelay:       defaultMessageDelay,
		blockedLinks:       map[link]bool{},
		txnStatus:          map[string]txnStatus{},
		proposedWrites:     map[string]keyValue{},
		acknowledgedValues: map[string]string{},
		confirmedReads:     map[uint64]bool{},
		committedContent:   map[uint64]string{},
	}
}

func (s *cellSimulation) config(id ReplicaID) Config {
	return testConfig(id, s.rng.Float64)
}

// testConfig returns the configuration of the replicas in all tests of this package.
func testConfig(id ReplicaID, jitter func() float64) Config {
	return Config{
		Cell: testCell, Self: id,
		Alpha: 3, MaxQueue: 8, MaxBatch: 4, RetainedEntries: 16,
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   400 * time.Millisecond,
		Jitter:            jitter,
	}
}

// testCell is the name of the cell in all tests of this package.
const testCell = "c"

// bootstrapCell starts a new cell with its initial voters.
func (s *cellSimulation) bootstrapCell(names []string) {
	for _, name := range names {
		s.initialVoters = append(s.initialVoters, Voter{ID: ReplicaID(name), Addr: name, Zone: name})
	}
	for _, name := range names {
		node := &simulatedNode{id: ReplicaID(name)}
		node.disk.write(Writes{Snapshot: initialSnapshot(s.initialVoters)})
		s.nodes[name] = node
		s.startNode(node)
	}
}

// initialSnapshot returns the snapshot on the disk of each initial voter of a new cell.
func initialSnapshot(voters []Voter) *Snapshot {
	return &Snapshot{State: map[string]Value{}, Memberships: []Membership{{EffectiveFrom: 1, Voters: voters}}}
}

// addLearner starts a node with an empty disk whose replica is a learner.
func (s *cellSimulation) addLearner(name string) {
	node := &simulatedNode{id: ReplicaID(name)}
	s.nodes[name] = node
	s.startNode(node)
	s.updateLearners()
}

// startNode starts the replica of a node from the node's disk.
func (s *cellSimulation) startNode(node *simulatedNode) {
	node.replica = NewReplica(s.config(node.id), node.disk.load(), s.now)
	node.up = true
	node.paused = false
	node.checkedIndex = 0
	s.checkAgreement(node)
}

// updateLearners sets the learners on each running replica: all replicas that are not initial voters.
func (s *cellSimulation) updateLearners() {
	var ids []ReplicaID
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		if !(Membership{Voters: s.initialVoters}).Contains(node.id) {
			ids = append(ids, node.id)
		}
	}
	for _, node := range s.nodes {
		if node.up {
			node.replica.SetLearners(ids)
		}
	}
}

// handleReady performs the I/O that the replica of a node returns from Ready.
func (s *cellSimulation) handleReady(node *simulatedNode) {
	for node.up {
		ready := node.replica.Ready()
		toSelf := s.sendMessages(node, ready.Messages)
		if len(ready.MessagesAfterSync) > 0 || !ready.Writes.Empty() {
			node.pendingSyncs = append(node.pendingSyncs, pendingSync{
				dueAt:    s.now + s.drawSyncDelay() + node.diskDelay,
				replica:  node.replica,
				writes:   ready.Writes,
				messages: ready.MessagesAfterSync,
			})
			toSelf = append(toSelf, s.completeSyncs(node)...)
		}
		for _, outcome := range ready.Outcomes {
			s.recordOutcome(node, outcome)
		}
		for _, ticket := range ready.ConfirmedReads {
			s.confirmedReads[ticket] = true
			if s.onRead != nil {
				s.onRead(node, ticket)
			}
		}
		s.checkAgreement(node)
		if len(toSelf) == 0 {
			return
		}
		for _, msg := range toSelf {
			node.replica.Step(s.now, msg)
		}
	}
}

// randomDuration returns a random duration that is less than below.
func (s *cellSimulation) randomDuration(below time.Duration) time.Duration {
	return time.Duration(s.rng.Int63n(int64(below)))
}

// scheduleLossReports schedules reports to all other nodes that the replica former is lost. Each
// report has a random delay below maxLossReportDelay. Some reports are wrong: they name the new
// replica of the node.
func (s *cellSimulation) scheduleLossReports(node *simulatedNode, former ReplicaID) {
	for _, name := range s.nodeNames() {
		recipient := s.nodes[name]
		if recipient == node {
			continue
		}
		lost := former
		if s.rng.Intn(wrongReportOneIn) == 0 {
			lost = node.id
		}
		arrivesAt := s.now + s.randomDuration(maxLossReportDelay)
		s.lossReports = append(s.lossReports, lossReport{arrivesAt, recipient, lost})
	}
}

// deliverLossReports delivers the reports that are due. A node that is down or paused misses them.
func (s *cellSimulation) deliverLossReports() {
	s.lossReports = slices.DeleteFunc(s.lossReports, func(report lossReport) bool {
		due := report.arrivesAt <= s.now
		if due && report.recipient.up && !report.recipient.paused {
			report.recipient.replica.ReportReplicaLost(s.now, report.lost)
			s.handleReady(report.recipient)
		}
		return due
	})
}

// run advances the simulated time by duration, in steps of simulationStep.
func (s *cellSimulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.now += simulationStep
		for msg, ok := s.nextArrival(); ok; msg, ok = s.nextArrival() {
			s.deliver(msg)
		}
		if s.syncDelay > 0 {
			s.flushDueDisks()
		}
		if s.now%tickInterval == 0 {
			s.deliverLossReports()
			s.tickNodes()
			s.checkStaleness()
			s.checkDurableCommits()
		}
	}
}

// deliver passes a message to its recipient, or holds it if the recipient is paused. It drops the
// message if the recipient is down or the link is blocked.
func (s *cellSimulation) deliver(msg Message) {
	node := s.nodeByID(msg.To)
	if node == nil || !node.up || s.blockedLinks[link{msg.From, msg.To}] {
		return
	}
	if node.paused {
		node.heldMessages = append(node.heldMessages, msg)
		return
	}
	node.replica.Step(s.now, msg)
	s.handleReady(node)
}

// tickNodes passes the current time to the replicas of all running nodes.
func (s *cellSimulation) tickNodes() {
	for _, name := range s.nodeNames() {
		if node := s.nodes[name]; node.up && !node.paused {
			node.replica.Tick(s.now)
			s.handleReady(node)
		}
	}
}

// nodeNames returns the names of all nodes in sorted order. Callers must not modify the slice.
func (s *cellSimulation) nodeNames() []string {
	if len(s.sortedNames) != len(s.nodes) {
		s.sortedNames = slices.Sorted(maps.Keys(s.nodes))
	}
	return s.sortedNames
}

// nodeByID returns the node with a replica ID, or nil if there is none.
func (s *cellSimulation) nodeByID(id ReplicaID) *simulatedNode {
	for _, node := range s.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

// leader returns the running node that is the leader with the highest proposal number, or nil if
// there is none.
func (s *cellSimulation) leader() *simulatedNode {
	var best *simulatedNode
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		if !node.up || node.paused || node.replica.Role() != Leader {
			continue
		}
		if best == nil || best.replica.proposer.number.Less(node.replica.proposer.number) {
			best = node
		}
	}
	return best
}

// findNode returns the node with a name. The name "leader" selects the current leader, and "follower"
// the first other running voter. The test fails if there is no such node.
func (s *cellSimulation) findNode(name string) *simulatedNode {
	switch name {
	case "leader":
		if node := s.leader(); node != nil {
			return node
		}
		s.t.Fatalf("%s at %v: no node is the leader, want one", s.name, s.now)
	case "follower":
		leader := s.leader()
		for _, other := range s.nodeNames() {
			if node := s.nodes[other]; node != leader && node.up && node.replica.IsVoter() {
				return node
			}
		}
	}
	node := s.nodes[name]
	if node == nil {
		s.t.Fatalf("%s at %v: found no node %q, want one", s.name, s.now, name)
	}
	return node
}

// resumeAll resumes the paused nodes and delivers the messages that arrived while they were paused.
func (s *cellSimulation) resumeAll() {
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		if !node.paused {
			continue
		}
		node.paused = false
		held := node.heldMessages
		node.heldMessages = nil
		for _, msg := range held {
			node.replica.Step(s.now, msg)
			s.handleReady(node)
		}
	}
}
