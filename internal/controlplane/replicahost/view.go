package replicahost

import (
	"slices"
	"sync/atomic"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// StaleAfter is the quorum contact age above which the state applied on this node counts as
// stale. Followers learn of a quorum contact one or two heartbeats after the leader.
const StaleAfter = 2 * time.Second

// Do runs a function on the event loop and waits for it. If the host is stopped, the function
// has either completed when Do returns or never runs. It must not be called on the event
// loop.
func (h *Host) Do(task func()) { h.loop.do(task) }

// View runs a function on the event loop that reads this node's replica of a cell. It reports
// false if the function did not run, because there is no replica or the host is stopped. It
// must not be called on the event loop.
func (h *Host) View(cell string, read func(*paxos.Replica)) bool {
	var called atomic.Bool
	h.loop.do(func() {
		if replica := h.Replica(cell); replica != nil {
			read(replica)
			called.Store(true)
		}
	})
	return called.Load()
}

// Replica returns this node's replica of a cell, or nil. It must be called on the event loop,
// for example from the hook OnApply, and the replica must be used only there.
func (h *Host) Replica(cell string) *paxos.Replica {
	if hosted := h.replicas[cell]; hosted != nil {
		return hosted.replica
	}
	return nil
}

// Cells returns the cells of this node's replicas. It must be called on the event loop.
func (h *Host) Cells() []string {
	var cells []string
	for cell := range h.replicas {
		cells = append(cells, cell)
	}
	return cells
}

// OpenReplica describes a replica of this node to the function that ViewAll calls.
type OpenReplica struct {
	Cell    string
	Replica *paxos.Replica
	Age     time.Duration // since it was opened on this node
	// LeaderAddress is the address of the cell's leader, or empty if it is not known.
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

// Get reads a key of the state that is applied on this node.
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

// QuorumContactAge returns how long ago, at most, a majority of the meta cell last acknowledged
// the leader that this node follows (paxos.Replica.Staleness). It returns 0 if this node has no
// replica of the meta cell.
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

// observeStability compares the leader and the voters of the meta cell with the last observation
// and records the time if they changed or the quorum is out of contact.
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
	// MembershipChangeComplete is true if the change to the newest membership is complete; see
	// paxos.Replica.Voters.
	MembershipChangeComplete bool
	// Age is the time since the replica was opened on this node.
	Age time.Duration
	// StableFor is the time since the leader or the voters changed, a node joined or
	// returned, or the quorum was out of contact.
	StableFor time.Duration
	// SinceVoterAdded is the time since a voter was added to the cell.
	SinceVoterAdded time.Duration
}

// Stability returns the stability of the meta cell. found is false if this node has no replica
// of it or the host is stopped.
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
