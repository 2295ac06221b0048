package entrylog

import "comethold/internal/paxos/statemachine"

// ProposalNumber orders the proposals of all proposers: by term, then by proposer.
type ProposalNumber struct {
	Term     uint64                 `cbor:"1,keyasint,omitempty"`
	Proposer statemachine.ReplicaID `cbor:"2,keyasint,omitempty"`
}

// Less reports whether n orders before other.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	if n.Term != other.Term {
		return n.Term < other.Term
	}
	return n.Proposer < other.Proposer
}

// Entry is the content of one log index, and the proposal number under which it was accepted. An
// entry without transactions is a no-op.
type Entry struct {
	Index          uint64             `cbor:"1,keyasint"`
	ProposalNumber ProposalNumber     `cbor:"2,keyasint"`
	Txns           []statemachine.Txn `cbor:"3,keyasint,omitempty"`
}

// entryOverheadBytes is the estimated encoded size of an entry without its transactions.
const entryOverheadBytes = 32

// size estimates the encoded size of an entry in bytes.
func (e *Entry) size() int {
	size := entryOverheadBytes
	for i := range e.Txns {
		size += e.Txns[i].Size()
	}
	return size
}

// Size estimates the encoded size of entries in bytes.
func Size(entries []Entry) int {
	size := 0
	for i := range entries {
		size += entries[i].size()
	}
	return size
}
