package controlplane

import (
	"slices"
	"strconv"
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

// TestReceiptsOfOldChanges: a change that was committed thousands of changes ago is still
// known, with its content; one that is older than that is not taken for one that was
// rejected.
func TestReceiptsOfOldChanges(t *testing.T) {
	const changes = 5000
	c := newSingleReplica(t)
	fingerprint := func(version uint64) []byte { return outbox.Digest(strconv.AppendUint(nil, version, 10)) }
	base := func(version uint64) uint64 { return max(version, 3) - 3 }
	for version := uint64(3); version <= 3*changes; version += 3 {
		configuration := &routing.Configuration{Version: version}
		txn := schema.ConfigTxn(c.replica, configuration, []byte("{}"), fingerprint(version), nil)
		// Nobody sweeps the outbox here.
		txn.Ops = slices.DeleteFunc(txn.Ops, func(o paxos.Op) bool { return o.Kind == paxos.OpAppend })
		if !c.propose(txn) {
			t.Fatalf("%d is not committed", version)
		}
	}
	remembered := 0
	for v := uint64(3); v <= 3*changes; v += 3 {
		same, isForgotten := schema.CheckReplay(c.replica, v, base(v), fingerprint(v))
		otherContent, isOtherForgotten := schema.CheckReplay(c.replica, v, base(v), fingerprint(v+1))
		otherBase, _ := schema.CheckReplay(c.replica, v, base(v)+1, fingerprint(v))
		otherVersion, _ := schema.CheckReplay(c.replica, v+1, base(v), fingerprint(v+1))
		if isForgotten != isOtherForgotten || isForgotten && remembered > 0 {
			t.Fatalf("%d: forgotten is %v, after newer ones", v, isForgotten)
		}
		if isForgotten {
			continue
		}
		isKnown := same == outbox.KeyRepeated && otherContent == outbox.KeyConflicting
		if !isKnown || otherBase != outbox.KeyUnused || otherVersion != outbox.KeyUnused {
			t.Fatalf("%d: %v, other content %v, other base %v, other version %v",
				v, same, otherContent, otherBase, otherVersion)
		}
		remembered++
	}
	least := schema.MaxReceipts + schema.ReceiptsPerArchive*(schema.MaxReceiptArchives-1)
	if remembered < least || remembered == changes {
		t.Errorf("%d changes are remembered", remembered)
	}
	size := receiptBytes(c.replica)
	t.Logf("%d changes are remembered in %d bytes", remembered, size)
	if size > 128<<10 {
		t.Errorf("they take %d bytes", size)
	}
}

// receiptBytes is the size of all that is stored of receipts.
func receiptBytes(replica *paxos.Replica) (size int) {
	prefixes := []string{schema.ReceiptKeyPrefix, schema.ReceiptArchiveKeyPrefix, schema.ReceiptsForgottenKey}
	for _, prefix := range prefixes {
		for _, key := range replica.KeysWithPrefix(prefix, prefix) {
			value, _ := replica.Get(key)
			size += len(key) + len(value.Bytes)
		}
	}
	return size
}
