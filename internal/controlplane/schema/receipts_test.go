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

// TestCheckReplayOfOldChanges checks that a change is recognized thousands of changes later, and
// that CheckReplay reports deleted receipts. Otherwise, a change that was committed would be
// reported as rejected.
func TestCheckReplayOfOldChanges(t *testing.T) {
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
		txn.Ops = slices.DeleteFunc(txn.Ops, isAppend) // no publisher removes outbox rows in this test
		if !cell.Commit(txn) {
			t.Fatalf("the change to version %d was not committed", version)
		}
	}
	recognized := 0
	for version := uint64(3); version <= 3*changes; version += 3 {
		base := baseOf(version)
		use, isReceiptDeleted := schema.CheckReplay(replica, version, base, fingerprintOf(version))
		otherContent, isOtherReceiptDeleted := schema.CheckReplay(replica, version, base, fingerprintOf(version+1))
		otherBase, _ := schema.CheckReplay(replica, version, base+1, fingerprintOf(version))
		otherVersion, _ := schema.CheckReplay(replica, version+1, base, fingerprintOf(version+1))
		if isReceiptDeleted != isOtherReceiptDeleted || isReceiptDeleted && recognized > 0 {
			t.Fatalf("CheckReplay(%d): receipt deleted %v, want the same with other content, false after a recognized change",
				version, isReceiptDeleted)
		}
		if isReceiptDeleted {
			continue
		}
		recognized++
		if use != outbox.KeyRepeated || otherContent != outbox.KeyConflicting ||
			otherBase != outbox.KeyUnused || otherVersion != outbox.KeyUnused {
			t.Fatalf("CheckReplay(%d) = %v, other content %v, base %v, version %v; want repeated, conflicting, unused, unused",
				version, use, otherContent, otherBase, otherVersion)
		}
	}
	atLeast := schema.MaxReceipts + schema.ReceiptsPerArchive*(schema.MaxReceiptArchives-1)
	if recognized < atLeast || recognized == changes {
		t.Errorf("CheckReplay recognized %d changes, want at least %d, and fewer than %d", recognized, atLeast, changes)
	}
	size := receiptBytes(replica)
	t.Logf("%d changes are recognized from %d bytes of receipts", recognized, size)
	if size > 128<<10 {
		t.Errorf("receipts and archives take %d bytes, want at most 128 KiB", size)
	}
}

// receiptBytes returns the size of all receipts and archives in the state, keys included.
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
