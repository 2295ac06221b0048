package schema_test

import (
	"slices"
	"strconv"
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/schematest"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

func fingerprintOf(version uint64) []byte {
	return outbox.Digest(strconv.AppendUint(nil, version, 10))
}

// TestReceiptsOfOldChanges: a change that was committed thousands of changes ago is known
// still, with its content; one that is older than that is not taken for one that was
// rejected.
func TestReceiptsOfOldChanges(t *testing.T) {
	const changes = 5000
	cell := schematest.NewCell(t)
	replica := cell.Replica()
	baseOf := func(version uint64) uint64 { return max(version, 3) - 3 }
	isAppend := func(op paxos.Op) bool { return op.Kind == paxos.OpAppend }
	for version := uint64(3); version <= 3*changes; version += 3 {
		txn := schema.ConfigTxn(replica, &schema.ConfigChange{
			Config:      &routing.Configuration{Version: version},
			Raw:         []byte("{}"),
			Fingerprint: fingerprintOf(version),
		})
		txn.Ops = slices.DeleteFunc(txn.Ops, isAppend) // nobody sweeps the outbox here
		if !cell.Commit(txn) {
			t.Fatalf("%d is not committed", version)
		}
	}
	known := 0
	for version := uint64(3); version <= 3*changes; version += 3 {
		base := baseOf(version)
		use, forgotten := schema.CheckReplay(replica, version, base, fingerprintOf(version))
		otherContent, forgotten2 := schema.CheckReplay(replica, version, base, fingerprintOf(version+1))
		otherBase, _ := schema.CheckReplay(replica, version, base+1, fingerprintOf(version))
		otherVersion, _ := schema.CheckReplay(replica, version+1, base, fingerprintOf(version+1))
		if forgotten != forgotten2 || forgotten && known > 0 {
			t.Fatalf("%d: forgotten is %v, after newer ones", version, forgotten)
		}
		if forgotten {
			continue
		}
		known++
		if use != outbox.KeyRepeated || otherContent != outbox.KeyConflicting ||
			otherBase != outbox.KeyUnused || otherVersion != outbox.KeyUnused {
			t.Fatalf("%d: %v, other content %v, other base %v, other version %v",
				version, use, otherContent, otherBase, otherVersion)
		}
	}
	atLeast := schema.MaxReceipts + schema.ReceiptsPerArchive*(schema.MaxReceiptArchives-1)
	if known < atLeast || known == changes {
		t.Errorf("%d changes are remembered", known)
	}
	size := receiptBytes(replica)
	t.Logf("%d changes are remembered in %d bytes", known, size)
	if size > 128<<10 {
		t.Errorf("they take %d bytes", size)
	}
}

// receiptBytes is how much of the state remembers changes.
func receiptBytes(replica *paxos.Replica) (size int) {
	prefixes := []string{schema.ReceiptKeyPrefix, schema.ReceiptArchiveKeyPrefix, schema.ReceiptsDeletedKey}
	for _, prefix := range prefixes {
		for _, key := range replica.KeysWithPrefix(prefix, prefix) {
			value, _ := replica.Get(key)
			size += len(key) + len(value.Bytes)
		}
	}
	return size
}
