package paxos

import (
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// A cellSimulation runs the replicas of one cell on simulated time, with a network that delays,
// loses and duplicates messages and disks that take time to sync. All its random numbers come
// from one seed. While time passes it runs the checks of simulation_checks_test.go.
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
	lateRate      float64 // of messages that arrive up to lateDelay later than others
	messageDelay  time.Duration
	blockedLinks  map[link]bool

	syncDelay time.Duration // half of the most that a sync takes

	// What clients have seen:
	lastTxn            int
	txnStatus          map[string]txnStatus
	proposedWrites     map[string]keyValue // by transaction
	acknowledgedValues map[string]string   // by key
	confirmedReads     map[uint64]bool
	onOutcome          func(node *simulatedNode, outcome Outcome)
	onRead             func(node *simulatedNode, ticket uint64)

	// What the checks remember:
	committedContent map[uint64]string // the transactions of each log index
	acknowledgements []acknowledgement
}

// keyValue is what a transaction writes.
type keyValue struct{ key, value string }

// txnStatus is a transaction's status as its client knows it.
type txnStatus string

const (
	statusPending      txnStatus = "pending"
	statusPipelineFull txnStatus = "pipeline-full"
	statusNotLeader    txnStatus = "not-leader"
	statusCommitted    txnStatus = "committed"
	statusIgnored      txnStatus = "ignored"
	statusUnknown      txnStatus = "unknown"
	// Of a read:
	statusConfirmed   txnStatus = "confirmed"
	statusUnconfirmed txnStatus = "unconfirmed"
)

// Timing of the simulation.
const (
	simulationStep   = time.Millisecond
	tickInterval     = 20 * time.Millisecond
	lateDelay        = 4 * time.Second
	lossReportDelay  = time.Second
	defaultDelay     = 5 * time.Millisecond
	wrongReportOneIn = 10 // reports of a lost replica that name its successor instead
)

// simulatedNode is a machine with its disk and, while it is up, a replica.
type simulatedNode struct {
	id      ReplicaID
	up      bool
	replica *Replica

	disk         simulatedDisk
	diskHangs    bool
	diskFails    bool
	diskDelay    time.Duration // beyond the other disks' delay
	pendingSyncs []pendingSync

	paused       bool
	heldMessages []Message // that arrived while it was paused

	checkedIndex uint64 // up to which agreement was checked in this incarnation
}

// stop ends a node's process. Writes that are not synced yet are lost.
func (n *simulatedNode) stop() {
	n.up = false
	n.pendingSyncs = nil
	n.heldMessages = nil
}

// lossReport tells a replica that another's incarnation has ended.
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
		messageDelay:       defaultDelay,
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

// testConfig is the configuration of the replicas of all tests.
func testConfig(id ReplicaID, jitter func() float64) Config {
	return Config{
		Cell: testCell, Self: id,
		Alpha: 3, MaxQueue: 8, MaxBatch: 4, RetainedEntries: 16,
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   400 * time.Millisecond,
		Jitter:            jitter,
	}
}

// testCell is the name of the cell in all tests.
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

// initialSnapshot is the snapshot on the disk of each initial voter of a new cell.
func initialSnapshot(voters []Voter) *Snapshot {
	return &Snapshot{State: map[string]Value{}, Memberships: []Membership{{EffectiveFrom: 1, Voters: voters}}}
}

// addLearner starts an empty machine whose replica is a learner.
func (s *cellSimulation) addLearner(name string) {
	node := &simulatedNode{id: ReplicaID(name)}
	s.nodes[name] = node
	s.startNode(node)
	s.updateLearners()
}

// startNode starts a replica from what the node's disk holds.
func (s *cellSimulation) startNode(node *simulatedNode) {
	node.replica = NewReplica(s.config(node.id), node.disk.load(), s.now)
	node.up = true
	node.paused = false
	node.checkedIndex = 0
	s.checkAgreement(node)
}

// updateLearners sets, on each replica, the learners: all replicas that are not initial voters.
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

// handleReady performs the I/O that a node's replica asks for.
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

// randomDuration draws a duration below a bound.
func (s *cellSimulation) randomDuration(below time.Duration) time.Duration {
	return time.Duration(s.rng.Int63n(int64(below)))
}

// scheduleLossReports schedules reports to the other replicas, each with its own delay, that a
// replica's incarnation has ended. Some reports are wrong: they name the new incarnation.
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
		arrivesAt := s.now + s.randomDuration(lossReportDelay)
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

// run lets time pass.
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

// deliver hands a message to its recipient, if that is up and the link is not blocked.
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

// tickNodes lets time pass for the replicas.
func (s *cellSimulation) tickNodes() {
	for _, name := range s.nodeNames() {
		if node := s.nodes[name]; node.up && !node.paused {
			node.replica.Tick(s.now)
			s.handleReady(node)
		}
	}
}

// nodeNames returns the machines in order; callers must not change the list.
func (s *cellSimulation) nodeNames() []string {
	if len(s.sortedNames) != len(s.nodes) {
		s.sortedNames = slices.Sorted(maps.Keys(s.nodes))
	}
	return s.sortedNames
}

// nodeByID returns the machine that runs a replica, or nil.
func (s *cellSimulation) nodeByID(id ReplicaID) *simulatedNode {
	for _, node := range s.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

// leader returns the node that leads under the highest proposal number, or nil.
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

// findNode returns a node by its name, or the "leader", or the first live "follower".
func (s *cellSimulation) findNode(name string) *simulatedNode {
	switch name {
	case "leader":
		if node := s.leader(); node != nil {
			return node
		}
		s.t.Fatalf("%s at %v: no leader", s.name, s.now)
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
		s.t.Fatalf("%s at %v: no node %q", s.name, s.now, name)
	}
	return node
}

// resumeAll lets paused nodes go on, with all that arrived in the meantime.
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
