package paxos

import (
	"time"

	"comethold/internal/paxos/entrylog"
)

// Catch-up, called "teaching" in section 2.4 of the paper: a replica that lacks committed entries
// requests them from the leader; a candidate receives them with the promises of its acceptors. The
// answer is a log segment if the entries are still in the log and not larger than the state,
// otherwise a snapshot.
//
// The paper's third mode proposes a no-op into a gap of the log. Here the leader does this for
// gaps below the last adopted index (proposer.nextTxns).

const (
	// maxBackoffHeartbeats is the maximum backoff, in heartbeat intervals, between repeated
	// requests, and between repeated large answers to a replica that has made no progress.
	maxBackoffHeartbeats = 16
	// smallTransferBytes is the maximum size of a log segment that is sent without a backoff.
	smallTransferBytes = 4 << 10
	// minSegmentEntries is the maximum number of entries that are sent as a segment even if they
	// are larger than the state.
	minSegmentEntries = 4
)

// catchUp owns the replica's own request for missing entries, and the backoff of its large
// answers to other replicas.
//
// Invariant: a large answer to a replica that has made no progress since the last one is
// repeated only after a backoff that doubles up to maxBackoffHeartbeats, since the previous
// answer may still be in transit. A replica that has made progress is answered at once.
type catchUp struct {
	// The last request of this replica:
	pending       bool
	requestedAt   time.Duration
	requestedFrom ReplicaID
	backoff       time.Duration

	// transfers holds the last large answer to each replica.
	transfers map[ReplicaID]transfer
}

// transfer describes a large answer to a replica that had applied the entries up to index. The
// answer may be repeated once backoff has passed since sentAt.
type transfer struct {
	index   uint64
	sentAt  time.Duration
	backoff time.Duration
}

// finish records that no entry is missing.
func (c *catchUp) finish() {
	c.pending = false
	c.backoff = 0
}

// nextBackoff returns twice the backoff, limited to maxBackoffHeartbeats.
func (r *Replica) nextBackoff(backoff time.Duration) time.Duration {
	return min(2*backoff, maxBackoffHeartbeats*r.config.HeartbeatInterval)
}

// requestCatchUp asks the leader for the missing entries up to its commit index. A replica that
// lacks at most Alpha entries has probably lost a message, and asks on each heartbeat. A replica
// that lacks more backs off, since the answer may be large and slow.
func (r *Replica) requestCatchUp(now time.Duration, leader ReplicaID, commitIndex uint64) {
	request := &r.catchUp
	interval := r.config.HeartbeatInterval
	leaderChanged := request.requestedFrom != leader
	smallGapDue := r.state.HasMembership() && commitIndex <= r.lastOpenIndex() && now-request.requestedAt >= interval/2
	if request.pending && !leaderChanged && !smallGapDue && now-request.requestedAt < request.backoff {
		return
	}
	request.backoff = r.nextBackoff(request.backoff)
	if request.backoff == 0 || smallGapDue || leaderChanged {
		request.backoff = interval
	}
	request.pending = true
	request.requestedFrom = leader
	request.requestedAt = now
	r.send(Message{Kind: CatchUpRequest, To: leader, Index: r.appliedIndex, NeedsSnapshot: !r.state.HasMembership()})
}

// handleCatchUpRequest sends a log segment or a snapshot.
func (r *Replica) handleCatchUpRequest(now time.Duration, msg Message) {
	if !r.state.HasMembership() || msg.Index >= r.appliedIndex && !msg.NeedsSnapshot {
		return
	}
	response := Message{Kind: CatchUpResponse, To: msg.From, CommitIndex: r.appliedIndex}
	if msg.Index >= r.log.CompactedIndex() && !msg.NeedsSnapshot {
		segment := r.log.Between(msg.Index, r.appliedIndex)
		size := entrylog.Size(segment)
		if size <= r.state.Size() || len(segment) <= minSegmentEntries {
			if size <= smallTransferBytes || r.beginTransfer(now, msg.From, msg.Index) {
				response.Entries = segment
				r.send(response)
			}
			return
		}
	}
	if r.beginTransfer(now, msg.From, msg.Index) {
		response.Snapshot = r.state.Snapshot(r.appliedIndex)
		r.send(response)
	}
}

// beginTransfer reports whether a large answer may be sent now to a replica that has applied the
// entries up to index. If so, it records that one is sent.
func (r *Replica) beginTransfer(now time.Duration, to ReplicaID, index uint64) bool {
	last, ok := r.catchUp.transfers[to]
	backoff := r.config.HeartbeatInterval
	if ok && last.index == index {
		if now-last.sentAt < last.backoff {
			return false
		}
		backoff = r.nextBackoff(last.backoff)
	}
	r.catchUp.transfers[to] = transfer{index: index, sentAt: now, backoff: backoff}
	return true
}

// handleCatchUpResponse applies the missing entries or the snapshot, and allows the next request
// at once.
func (r *Replica) handleCatchUpResponse(now time.Duration, msg Message) {
	before := r.appliedIndex
	r.learn(now, msg)
	r.catchUp.pending = false
	if r.appliedIndex > before {
		r.catchUp.backoff = 0
	}
	r.contact.advanceCurrentUntil(r.appliedIndex)
	r.fillPipeline(now)
}
