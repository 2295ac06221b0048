package schema

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// Limits on the number of stored receipts. Receipts and archives cover at least the last
// MaxReceipts + ReceiptsPerArchive·(MaxReceiptArchives-1) changes.
const (
	MaxReceipts        = 128
	ReceiptsPerArchive = 64
	MaxReceiptArchives = 64
)

// archivedFingerprintBytes is the number of leading bytes of a fingerprint that are archived.
const archivedFingerprintBytes = 8

// ArchivedReceipt is the compact form of an old receipt.
type ArchivedReceipt struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Base        uint64
	Fingerprint []byte // the first archivedFingerprintBytes bytes
}

// ReceiptKey returns the key of the receipt of a configuration change. Operators send no
// idempotency key, so it is derived from the new version and the base version, which the change
// replaces.
func ReceiptKey(version, base uint64) string {
	return fmt.Sprintf("%s%s/%020d/%d", ReceiptKeyPrefix, outbox.AggregateConfiguration, version, base)
}

// readReceipt returns the receipt under a key, or nil.
func readReceipt(replica *paxos.Replica, key string) *outbox.Receipt {
	var receipt outbox.Receipt
	if value, found := replica.Get(key); found && rpc.Unmarshal(value.Bytes, &receipt) == nil {
		return &receipt
	}
	return nil
}

// CheckReplay reports whether a configuration change was committed before, or a different change
// with the same version and base. isReceiptDeleted reports that the receipts of this version have
// been deleted. In that case use can't be determined, and is KeyUnused.
func CheckReplay(
	replica *paxos.Replica, version, base uint64, fingerprint []byte,
) (use outbox.KeyUse, isReceiptDeleted bool) {
	if receipt := readReceipt(replica, ReceiptKey(version, base)); receipt != nil {
		return receipt.Compare(fingerprint), false
	}
	if current, _ := ReadConfig(replica); version > current {
		return outbox.KeyUnused, false
	}
	if upTo, found := replica.Get(ReceiptsDeletedKey); found && upTo.Int != nil && upTo.Int.Uint64() >= version {
		return outbox.KeyUnused, true
	}
	archives := replica.KeysWithPrefix(ReceiptArchiveKeyPrefix, ReceiptArchiveKeyPrefix)
	next := sort.SearchStrings(archives, ReceiptArchiveKey(version+1))
	if next == 0 {
		return outbox.KeyUnused, false
	}
	for _, archived := range readReceiptArchive(replica, archives[next-1]) {
		if archived.Version == version && archived.Base == base {
			receipt := outbox.Receipt{Fingerprint: archived.Fingerprint}
			return receipt.Compare(fingerprint[:archivedFingerprintBytes]), false
		}
	}
	return outbox.KeyUnused, false
}

// ReceiptArchiveKey returns the key of the archive whose lowest version is first.
func ReceiptArchiveKey(first uint64) string {
	return fmt.Sprintf("%s%020d", ReceiptArchiveKeyPrefix, first)
}

func readReceiptArchive(replica *paxos.Replica, key string) (archive []ArchivedReceipt) {
	if value, found := replica.Get(key); found && rpc.Unmarshal(value.Bytes, &archive) != nil {
		return nil
	}
	return archive
}

// compactReceipts returns the operations that move the oldest ReceiptsPerArchive receipts into an
// archive, if that leaves at least MaxReceipts, and delete the oldest archive if there are too
// many. The operations need no separate condition: their transaction is conditioned on the
// configuration version, and receipts change only together with that version.
func compactReceipts(replica *paxos.Replica) (ops []paxos.Op) {
	keys := replica.KeysWithPrefix(ReceiptKeyPrefix, ReceiptKeyPrefix)
	if len(keys) < MaxReceipts+ReceiptsPerArchive {
		return nil
	}
	var archive []ArchivedReceipt
	for _, key := range keys[:ReceiptsPerArchive] {
		ops = append(ops, DeleteOp(key))
		if archived, ok := archiveReceipt(replica, key); ok {
			archive = append(archive, archived)
		}
	}
	if len(archive) > 0 {
		key := ReceiptArchiveKey(archive[0].Version)
		ops = append(ops, PutOp(key, archive))
	}
	return append(ops, deleteOldestArchive(replica)...)
}

// archiveReceipt returns the compact form of the receipt under a key. It reports false if the
// receipt or its key can't be decoded.
func archiveReceipt(replica *paxos.Replica, key string) (archived ArchivedReceipt, ok bool) {
	receipt := readReceipt(replica, key)
	versions := strings.TrimPrefix(key, ReceiptKeyPrefix+outbox.AggregateConfiguration+"/")
	_, digits, _ := strings.Cut(versions, "/")
	base, err := strconv.ParseUint(digits, 10, 64)
	if receipt == nil || err != nil || len(receipt.Fingerprint) < archivedFingerprintBytes {
		return archived, false
	}
	return ArchivedReceipt{
		Version:     receipt.Version,
		Base:        base,
		Fingerprint: receipt.Fingerprint[:archivedFingerprintBytes],
	}, true
}

// deleteOldestArchive returns the operations that delete the oldest archive, if there are too
// many, and record the highest version in it under ReceiptsDeletedKey.
func deleteOldestArchive(replica *paxos.Replica) (ops []paxos.Op) {
	archives := replica.KeysWithPrefix(ReceiptArchiveKeyPrefix, ReceiptArchiveKeyPrefix)
	if len(archives) < MaxReceiptArchives {
		return nil
	}
	ops = append(ops, DeleteOp(archives[0]))
	if oldest := readReceiptArchive(replica, archives[0]); len(oldest) > 0 {
		last := oldest[len(oldest)-1].Version
		ops = append(ops, PutValueOp(ReceiptsDeletedKey, UintValue(last)))
	}
	return ops
}
