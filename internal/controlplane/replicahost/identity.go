package replicahost

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// IdentityKey is where a node's replica ID is stored.
const IdentityKey = "identity"

// IdentityStorage stores the identity of a node. *storage.Store implements it.
type IdentityStorage interface {
	// NodeValue returns a value of the node's own, or nil.
	NodeValue(key string) []byte
	// Bootstrap stores such a value together with the first state of a cell, durably.
	Bootstrap(key string, value []byte, cell string, writes paxos.Writes) error
}

// IdentityOptions describes the start of a node whose disk holds no identity.
type IdentityOptions struct {
	Address    string // IP address
	FirstStart bool   // of the system as a whole
	// HasCorruptFile says that a corrupt file was renamed. The replica stored in it may have voted.
	HasCorruptFile bool
	InitialVoters  []paxos.Voter // the first voters of the meta cell
}

// LoadOrCreateIdentity returns the replica ID of this incarnation of the disk. At the disk's
// first start the ID is created and synced, and isNew is true. The bare address, which the
// initial membership names, is used as the ID only at the first start of the system, and only
// if no damaged file was put aside: that ID may have voted. The initial snapshot of the meta
// cell is synced together with the ID, so a crash can't separate the two.
func LoadOrCreateIdentity(disk IdentityStorage, options IdentityOptions) (id paxos.ReplicaID, isNew bool, err error) {
	if stored := disk.NodeValue(IdentityKey); len(stored) > 0 {
		return paxos.ReplicaID(stored), false, nil
	}
	id = paxos.ReplicaID(options.Address)
	if !options.FirstStart || options.HasCorruptFile {
		var suffix [6]byte
		if _, err := rand.Read(suffix[:]); err != nil {
			return "", false, fmt.Errorf("replicahost: no random replica ID: %w", err)
		}
		id = paxos.ReplicaID(options.Address + "~" + hex.EncodeToString(suffix[:]))
	}
	var writes paxos.Writes
	if (paxos.Membership{Voters: options.InitialVoters}).Contains(id) {
		writes.Snapshot = initialSnapshot(options.InitialVoters)
	}
	return id, true, disk.Bootstrap(IdentityKey, []byte(id), schema.MetaCell, writes)
}

// initialSnapshot returns the empty state of a new cell with its first voters.
func initialSnapshot(voters []paxos.Voter) *paxos.Snapshot {
	return &paxos.Snapshot{
		State:       map[string]paxos.Value{},
		Memberships: []paxos.Membership{{EffectiveFrom: 1, Voters: voters}},
	}
}
