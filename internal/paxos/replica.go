package paxos

import (
	"errors"
	"time"

	"comethold/internal/paxos/entrylog"
	"comethold/internal/paxos/statemachine"
)

// Errors of Propose and Read.
var (
	// ErrNotLeader means that another replica leads, or none.
	ErrNotLeader = errors.New("paxos: this replica is not the leader")
	// ErrPipelineFull means that the caller should back off and try again.
	ErrPipelineFull = errors.New("paxos: the pipeline is full")
)

// Role is the part that a replica plays in the election of a leader.
type Role uint8

// The roles of a replica.
const (
	// Follower accepts what the leader proposes.
	Follower Role = iota
	// PersistingTerm waits until the term of its next campaign is on its disk.
	PersistingTerm
	// Candidate asks for promises.
	Candidate
	// Leader is the distinguished proposer.
	Leader
)

// String returns the role as log lines show it.
func (role Role) String() string {
	return [...]string{"follower", "persisting term", "candidate", "leader"}[role]
}

// Config is constant while a replica runs.
type Config struct {
	Cell string
	Self ReplicaID
	// Alpha is how many entries may be in flight, and after how many indexes a membership
	// change takes effect; all replicas of a cell must have the same.
	Alpha uint64
	// MaxQueue is how many transactions may wait for the pipeline; Propose rejects more.
	MaxQueue int
	// MaxBatch is how many transactions one entry may hold.
	MaxBatch int
	// RetainedEntries is how many applied entries are kept for catch-up by log segment.
	RetainedEntries uint64
	// HeartbeatInterval is the time between heartbeats, and before a retransmission.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a leader may be without contact to a majority before it steps
	// down. A follower campaigns after one to two times this time without its leader.
	ElectionTimeout time.Duration
	// Jitter returns a random number in [0,1).
	Jitter func() float64
}

// Replica is one voter or learner of one cell. It owns the roles and their transitions, and
// dispatches each message to its handler.
//
// Invariant: a replica is deterministic. The same PersistedState, calls and Jitter give the
// same Ready values, except for the order of ChangedKeys and ConfirmedReads. The order of
// messages is part of that: no code here sends messages while it ranges over an unsorted map.
type Replica struct {
	config   Config
	learners []ReplicaID // the leader replicates to them as to the voters

	role             Role
	roleSince        time.Duration
	electionDeadline time.Duration // of a follower or candidate

	acceptor  acceptor
	proposer  proposer        // the current campaign or leadership
	contact   leaderContact   // as a follower
	followers followerContact // as the leader
	catchUp   catchUp

	log   entrylog.Log
	state statemachine.State
	// appliedIndex is the last log index that state includes; all entries up to it are committed.
	appliedIndex uint64
	// durableCommitIndex is the commit index that a restart finds on disk once all Writes are
	// synced.
	durableCommitIndex uint64

	ready Ready
}

// NewReplica makes a replica from what its disk holds. A voter of a new cell starts with a
// snapshot at index 0 that holds the first membership.
func NewReplica(config Config, persisted PersistedState, now time.Duration) *Replica {
	r := &Replica{
		config:    config,
		acceptor:  acceptor{promised: persisted.Promised},
		proposer:  newProposer(max(persisted.Promised.Term, persisted.Term)),
		contact:   leaderContact{timestampBase: uint64(config.Jitter() * maxTimestampBase)},
		followers: newFollowerContact(),
		catchUp:   catchUp{transfers: map[ReplicaID]transfer{}},
		log:       entrylog.New(),
		state:     statemachine.NewState(),
	}
	if persisted.Snapshot != nil {
		r.loadSnapshot(persisted.Snapshot)
	}
	for _, entry := range persisted.Entries {
		r.log.Store(entry)
	}
	for r.appliedIndex < persisted.CommitIndex && r.log.At(r.appliedIndex+1) != nil && r.state.HasMembership() {
		r.applyNext()
	}
	r.durableCommitIndex = r.appliedIndex
	r.becomeFollower(now)
	// After a start there may be no leader, so campaign soon. If there is one, the replicas in
	// contact with it reject the campaign, and this replica has promised nothing yet.
	r.electionDeadline = now + time.Duration((0.2+config.Jitter())*float64(config.ElectionTimeout)/3)
	return r
}

// Role returns the replica's role in the election.
func (r *Replica) Role() Role { return r.role }

// Leader returns the leader that the replica knows of, or "".
func (r *Replica) Leader() ReplicaID { return r.contact.leader }

// AppliedIndex returns the last log index that the state includes.
func (r *Replica) AppliedIndex() uint64 { return r.appliedIndex }

// Get returns a value of the applied state, which may be stale; see Read.
func (r *Replica) Get(key string) (Value, bool) { return r.state.Get(key) }

// Keys returns the keys of the applied state in order.
func (r *Replica) Keys() []string { return r.state.Keys() }

// KeysWithPrefix returns, in order, the keys with a prefix that are not before from.
func (r *Replica) KeysWithPrefix(prefix, from string) []string {
	return r.state.KeysWithPrefix(prefix, from)
}

// Tick passes the current time. Its owner calls it several times per HeartbeatInterval.
func (r *Replica) Tick(now time.Duration) {
	switch r.role {
	case Leader:
		r.tickLeader(now)
	case PersistingTerm:
		// The disk is slow or hangs, so the knowledge that a leadership has ended is too old.
		if now-r.roleSince > r.config.ElectionTimeout {
			r.contact.endedLeadership = ProposalNumber{}
		}
	case Candidate, Follower:
		if now >= r.electionDeadline {
			r.startElection(now)
		}
	}
}

// Step handles a message. A message for another replica or cell is ignored.
func (r *Replica) Step(now time.Duration, msg Message) {
	if msg.To != r.config.Self || msg.Cell != r.config.Cell {
		return
	}
	switch msg.Kind {
	case Prepare:
		r.handlePrepare(now, msg)
	case Promise:
		r.handlePromise(now, msg)
	case Reject:
		r.handleReject(now, msg)
	case Accept:
		r.handleAccept(now, msg)
	case Accepted:
		r.handleAccepted(now, msg)
	case Heartbeat:
		r.handleHeartbeat(now, msg)
	case HeartbeatAck:
		r.handleHeartbeatAck(now, msg)
	case TermPersisted:
		r.handleTermPersisted(now, msg)
	case CommitPersisted:
		r.handleCommitPersisted(msg)
	case LeadershipTransfer:
		r.handleLeadershipTransfer(now, msg)
	case CatchUpRequest:
		r.handleCatchUpRequest(now, msg)
	case CatchUpResponse:
		r.handleCatchUpResponse(now, msg)
	}
}
