package replicahost

import (
	"slices"
	"sync/atomic"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// StaleAfter is the quorum contact age from which the state here counts as stale. Nodes
// other than the leader learn of the contact a heartbeat or two later.
const StaleAfter = 2 * time.Second

// Do runs a function on the event loop and waits for it. If the host is stopped, the function
// has either completed when Do returns or never runs. It must not be called on the event
// loop.
func (h *Host) Do(task func()) { h.loop.do(task) }

// View runs a function on the event loop that reads this node's replica of a cell. It reports
// false if the function did not run, since there is no replica or the node is stopping. It
// must not be called on the event loop.
func (h *Host) View(cell string, read func(*paxos.Replica)) bool {
	var seen atomic.Bool
	h.loop.do(func() {
		if replica := h.Replica(cell); replica != nil {
			read(replica)
			seen.Store(true)
		}
	})
	return seen.Load()
}

// Replica returns this node's replica of a cell, or nil. It must be called on the event
// loop, as from the hook OnApply, and the replica must be used only there.
func (h *Host) Replica(cell string) *paxos.Replica {
	if hosted := h.replicas[cell]; hosted != nil {
		return hosted.replica
	}
	return nil
}

// Cells lists the cells of which a replica runs here. It must be called on the event loop.
func (h *Host) Cells() []string {
	var cells []string
	for cell := range h.replicas {
		cells = append(cells, cell)
	}
	return cells
}

// OpenReplica is a replica as ViewAll shows it.
type OpenReplica struct {
	Cell    string
	Replica *paxos.Replica
	Age     time.Duration // since it was opened here
	// LeaderAddress is where the cell's leader is; empty if that is not known.
	LeaderAddress string
}

// ViewAll runs a function on the event loop for each replica of this node. It must not be
// called on the event loop.
func (h *Host) ViewAll(read func(OpenReplica)) {
	h.loop.do(func() {
		now := h.now()
		for cell, hosted := range h.replicas {
			open := OpenReplica{
				Cell:    cell,
				Replica: hosted.replica,
				Age:     now - hosted.openedAt,
			}
			if leader := hosted.replica.Leader(); leader != "" {
				open.LeaderAddress = h.addresses[leader]
			}
			read(open)
		}
	})
}

// Get reads a key of the state that is applied here.
func (h *Host) Get(cell, key string) (value paxos.Value, found bool) {
	h.View(cell, func(replica *paxos.Replica) {
		value, found = replica.Get(key)
	})
	return value, found
}

// IsVoter reports whether this node votes in the meta cell. Only voters receive messages
// from every control node.
func (h *Host) IsVoter() (isVoter bool) {
	h.View(schema.MetaCell, func(replica *paxos.Replica) {
		isVoter = replica.IsVoter()
	})
	return isVoter
}

// QuorumContactAge returns the time since a majority of the meta cell is known to have
// followed the leader whose state is applied here; 0 if there is no replica of that cell.
func (h *Host) QuorumContactAge() (age time.Duration) {
	h.View(schema.MetaCell, func(replica *paxos.Replica) {
		age = replica.Staleness(h.now())
	})
	return age
}

// stability records when the meta cell was last unstable, as far as this node knows. Times
// are counted from the creation of the host.
type stability struct {
	leader       paxos.ReplicaID // as last observed
	voters       []paxos.Voter   // as last observed
	unstableAt   time.Duration   // see Stability.StableFor
	voterAddedAt time.Duration
}

// observeStability compares the meta cell with its last observation.
func (h *Host) observeStability(now time.Duration) {
	replica := h.Replica(schema.MetaCell)
	if replica == nil {
		return
	}
	leader := replica.Leader()
	voters, _ := replica.Voters()
	last := &h.stability
	isSame := leader != "" && leader == last.leader && slices.Equal(voters, last.voters)
	if isSame && replica.Staleness(now) <= StaleAfter {
		return
	}
	if len(voters) > len(last.voters) {
		last.voterAddedAt = now
	}
	last.leader = leader
	last.voters = slices.Clone(voters)
	last.unstableAt = now
}

// Stability describes how long the meta cell has been stable, as far as this node knows.
type Stability struct {
	Voters []paxos.Voter
	// MembershipChangeComplete says that the change to the newest membership is complete; see
	// paxos.Replica.Voters.
	MembershipChangeComplete bool
	// Age is the time since the replica was opened here.
	Age time.Duration
	// StableFor is the time since the leader or the voters changed, a node joined or
	// returned, or the quorum was out of contact.
	StableFor time.Duration
	// SinceVoterAdded is the time since a voter was added to the cell.
	SinceVoterAdded time.Duration
}

// Stability returns the stability of the meta cell. It reports false if there is no replica
// of it here.
func (h *Host) Stability() (s Stability, found bool) {
	found = h.View(schema.MetaCell, func(replica *paxos.Replica) {
		now := h.now()
		h.observeStability(now)
		s.Voters, s.MembershipChangeComplete = replica.Voters()
		s.Age = now - h.replicas[schema.MetaCell].openedAt
		s.StableFor = now - h.stability.unstableAt
		s.SinceVoterAdded = now - h.stability.voterAddedAt
	})
	return s, found
}
