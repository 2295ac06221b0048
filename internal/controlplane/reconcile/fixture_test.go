package reconcile

import (
	"context"
	"testing"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/schematest"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/paxos"
)

// testState implements the inputs of the reconcilers in memory: the meta cell, the index cells,
// the lists, the peers and the prober.
type testState struct {
	t     *testing.T
	cells map[string]*schematest.Cell
	// rejectNext makes the next transaction fail, as if another node had committed a conflicting
	// one first.
	rejectNext bool

	nodes        map[string]distribution.Node
	endpoints    *distribution.EndpointList
	reports      *nodereports.Tracker
	peers        map[string]replicahost.PeerInfo
	contactAges  map[string]time.Duration
	answersProbe map[string]bool // by node name
}

func newTestState(t *testing.T) *testState {
	t.Helper()
	return &testState{
		t:            t,
		cells:        map[string]*schematest.Cell{schema.MetaCell: schematest.NewCell(t)},
		nodes:        map[string]distribution.Node{},
		reports:      nodereports.NewTracker(),
		peers:        map[string]replicahost.PeerInfo{},
		contactAges:  map[string]time.Duration{},
		answersProbe: map[string]bool{},
	}
}

func (s *testState) options() Options {
	return Options{
		Self:    replicahost.PeerInfo{Name: "self", Addr: "10.0.0.1", Zone: "z"},
		Cells:   s,
		Peers:   s,
		Lists:   s,
		Reports: s.reports,
		Prober:  s,
		Log:     logging.Nop(),
	}
}

func (s *testState) committer() committer { return committer{s} }

// cell returns a cell, and creates it on first use.
func (s *testState) cell(name string) *schematest.Cell {
	if s.cells[name] == nil {
		s.cells[name] = schematest.NewCell(s.t)
	}
	return s.cells[name]
}

func (s *testState) View(cell string, read func(*paxos.Replica)) bool {
	return s.cell(cell).View(read)
}

func (s *testState) Get(cell, key string) (paxos.Value, bool) {
	return s.cell(cell).Replica().Get(key)
}

func (s *testState) Propose(_ context.Context, cell string, txn paxos.Txn) (bool, error) {
	if s.rejectNext {
		s.rejectNext = false
		return false, nil
	}
	return s.cell(cell).Commit(txn), nil
}

func (s *testState) QuorumContactAge() time.Duration { return 0 }

func (s *testState) Do(task func()) { task() }

func (s *testState) LivePeers(time.Duration) map[string]replicahost.PeerInfo { return s.peers }

func (s *testState) ContactAge(address string) time.Duration { return s.contactAges[address] }

func (s *testState) Nodes() map[string]distribution.Node { return s.nodes }

func (s *testState) Endpoints() *distribution.EndpointList { return s.endpoints }

func (s *testState) EndpointsRevision() distribution.Revision { return s.endpoints.Revision }

func (s *testState) Probe(_ context.Context, node distribution.Node) error {
	if s.answersProbe[node.Name] {
		return nil
	}
	return context.DeadlineExceeded
}

// readNodes copies the node list from the meta cell, like the distributor.
func (s *testState) readNodes() {
	s.nodes = map[string]distribution.Node{}
	for _, node := range schema.ReadNodes(s.cell(schema.MetaCell).Replica()) {
		s.nodes[node.Name] = node
	}
}

// addIndex adds to the meta cell the record of an index cell for services.
func (s *testState) addIndex(name string, services ...string) {
	s.cell(schema.MetaCell).Commit(paxos.Txn{Ops: []paxos.Op{
		schema.PutOp(schema.IndexKeyPrefix+name, schema.IndexRecord{Services: services}),
	}})
}

// marks returns the marks in an index cell by endpoint.
func (s *testState) marks(indexName string) map[string]distribution.EjectionMark {
	return schema.ReadEjections(indexName, s.cell(indexName).Replica()).Ejected
}
