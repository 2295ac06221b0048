package replicahost

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// IdentityKey is the storage key of a node's replica ID.
const IdentityKey = "identity"

// IdentityStorage stores the identity of a node. *storage.Store implements it.
type IdentityStorage interface {
	// NodeValue returns a value that is stored for the node rather than for a cell, or nil if
	// there is none.
	NodeValue(key string) []byte
	// Bootstrap stores a node value and the initial state of a cell atomically and syncs them.
	Bootstrap(key string, value []byte, cell string, writes paxos.Writes) error
}

// IdentityOptions describes the start of a node whose disk holds no identity.
type IdentityOptions struct {
	Address    string // IP address
	FirstStart bool   // whether the whole system starts for the first time
	// HasCorruptFile is true if a corrupt file was renamed. The replica stored in it may have voted.
	HasCorruptFile bool
	InitialVoters  []paxos.Voter // the initial voters of the meta cell
}

// LoadOrCreateIdentity returns the replica ID that is stored on the disk. If the disk holds
// none, LoadOrCreateIdentity creates one, syncs it and returns it with isNew set.
//
// The initial membership uses the bare addresses of nodes as replica IDs. A new ID is the bare
// address only at the first start of the system, and only if there is no corrupt file: the
// replica stored in that file may have voted under the bare address. In all other cases the
// ID has a random suffix. The initial snapshot of the meta cell is stored atomically with the
// ID, so a crash cannot leave one without the other.
func LoadOrCreateIdentity(disk IdentityStorage, options IdentityOptions) (id paxos.ReplicaID, isNew bool, err error) {
	if stored := disk.NodeValue(IdentityKey); len(stored) > 0 {
		return paxos.ReplicaID(stored), false, nil
	}
	id = paxos.ReplicaID(options.Address)
	if !options.FirstStart || options.HasCorruptFile {
		var suffix [6]byte
		if _, err := rand.Read(suffix[:]); err != nil {
			return "", false, fmt.Errorf("replicahost: cannot generate a random replica ID: %w", err)
		}
		id = paxos.ReplicaID(options.Address + "~" + hex.EncodeToString(suffix[:]))
	}
	var writes paxos.Writes
	if (paxos.Membership{Voters: options.InitialVoters}).Contains(id) {
		writes.Snapshot = initialSnapshot(options.InitialVoters)
	}
	return id, true, disk.Bootstrap(IdentityKey, []byte(id), schema.MetaCell, writes)
}

// initialSnapshot returns the empty state of a new cell with its initial voters.
func initialSnapshot(voters []paxos.Voter) *paxos.Snapshot {
	return &paxos.Snapshot{
		State:       map[string]paxos.Value{},
		Memberships: []paxos.Membership{{EffectiveFrom: 1, Voters: voters}},
	}
}
