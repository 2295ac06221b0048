// Package schema defines the control plane's state as it is stored in the cells: the keys, the
// records under them and their encoding, and the transactions that change several of them
// atomically.
//
// There is one meta cell, which holds the state of the whole system, and an index cell for
// each set of services that routes share. Functions that take a *paxos.Replica read its applied
// state; they must run on the goroutine that owns the replica (see replicahost.Host.View). Keys
// and cbor field numbers are stored, so they must never change.
//
// To add a key, declare it in keys.go, define its record in this package and list it in
// controlplane/compat_test.go. If nodes must react to its changes, also add it to
// controlplane/applied.go.
package schema

// MetaCell is the cell that holds the operator's configuration, the registered nodes, the
// list of index cells, leases, the outbox and purges.
const MetaCell = "exchange"

// Keys of the meta cell: the configuration and the receipts of its changes.
const (
	ConfigVersionKey = "config/version"
	ConfigDataKey    = "config/raw"
	// ReceiptKeyPrefix is followed by an idempotency key. The value is an outbox.Receipt.
	ReceiptKeyPrefix = "receipt/"
	// ReceiptArchiveKeyPrefix is followed by the lowest configuration version in an archive. The
	// value is a list of ArchivedReceipt.
	ReceiptArchiveKeyPrefix = "receipt-archive/"
	// ReceiptsDeletedKey holds the highest configuration version whose receipt has been deleted.
	// The receipts of all older versions have been deleted as well.
	ReceiptsDeletedKey = "receipt-forgotten"
)

// Keys of the meta cell: nodes, index cells and leases.
const (
	// NodeKeyPrefix is followed by a node's name. The value is a distribution.Node.
	NodeKeyPrefix = "node/"
	// IndexKeyPrefix is followed by the name of an index cell. The value is an IndexRecord.
	IndexKeyPrefix = "index/"
	// LastIndexIDKey holds the number that was assigned last to an index cell.
	LastIndexIDKey = "index-next"
	// LeaseKeyPrefix is followed by the name of a singleton role. The value is a LeaseRecord.
	LeaseKeyPrefix = "duty/"
	// RateSharesKey holds the nodes' shares of the services' rate limits: a map from node name
	// to distribution.ShareLease.
	RateSharesKey = "shares"
	// QuotaSharesKey holds the nodes' shares of the tenants' quotas, in the same form as
	// RateSharesKey.
	QuotaSharesKey = "quota-shares"
)

// Keys of the meta cell: purges and the outbox. Where a prefix is followed by a log index
// and a transaction ID, the value was appended (see paxos.AppendedKey).
const (
	// PurgeKeyPrefix is followed by a log index. The value is a list of distribution.Purge.
	PurgeKeyPrefix = "recall/"
	// PurgeCompactedKey holds the log index up to which purges have been deleted.
	PurgeCompactedKey = "recall-floor"
	// OutboxKeyPrefix is followed by a log index. The value is an outbox.Row.
	OutboxKeyPrefix = "outbox/"
	// UsageReportKeyPrefix is followed by the number of a usage window. The value is an outbox.Row.
	UsageReportKeyPrefix = "usage/"
	// QuarantineKeyPrefix is followed by an event ID. The value is a QuarantineRecord.
	QuarantineKeyPrefix = "quarantine/"
	// RedriveKeyPrefix is followed by a sequence number. The value is a RedriveRequest.
	RedriveKeyPrefix = "redrive/"
)

// Keys of an index cell.
const (
	// ShardSetKey holds a ShardSetRecord.
	ShardSetKey = "cut"
	// EjectionKeyPrefix is followed by an endpoint's ID. The value is a
	// distribution.EjectionMark.
	EjectionKeyPrefix = "mark/"
)
