package schema

import (
	"fmt"
	"net/http"

	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/paxos/statemachine"
	"comethold/internal/routing"
)

// ReadConfig returns the version and the raw text of the current configuration, or 0 and nil if
// none is stored.
func ReadConfig(replica *paxos.Replica) (version uint64, raw []byte) {
	value, found := replica.Get(ConfigVersionKey)
	if !found || value.Int == nil {
		return 0, nil
	}
	data, _ := replica.Get(ConfigDataKey)
	return value.Int.Uint64(), data.Bytes
}

// ConfigChange is a configuration change that is not committed yet.
type ConfigChange struct {
	Config         *routing.Configuration
	Raw            []byte   // text of Config
	Fingerprint    []byte   // digest of the request as the operator sent it
	ChangedTenants []string // tenants whose configuration differs from the current one
}

// ConfigTxn returns the transaction that replaces the current configuration. It stores the
// receipt of the change, the configuration and the notification atomically. It changes nothing
// if another configuration change is committed first.
func ConfigTxn(replica *paxos.Replica, change *ConfigChange) paxos.Txn {
	base, old := ReadConfig(replica)
	version := change.Config.Version
	receipt := outbox.Receipt{Fingerprint: change.Fingerprint, Status: http.StatusOK, Version: version}
	row := outbox.Row{
		Notification: configNotification(version, base, change.ChangedTenants),
		State:        outbox.Pending,
	}
	txn := paxos.Txn{
		Conditions: []paxos.Condition{UnchangedCondition(ConfigVersionKey, UintValue(base), base != 0)},
		Ops: []paxos.Op{
			PutOp(ReceiptKey(version, base), receipt),
			PutValueOp(ConfigVersionKey, UintValue(version)),
			{Kind: paxos.OpAppend, Key: OutboxKeyPrefix, Value: MustEncode(row)},
		},
	}
	if base == 0 {
		txn.Ops = append(txn.Ops, PutValueOp(ConfigDataKey, paxos.Bytes(change.Raw)))
	} else {
		patch := paxos.Bytes(statemachine.MakePatch(old, change.Raw))
		txn.Ops = append(txn.Ops, paxos.Op{Kind: paxos.OpPatch, Key: ConfigDataKey, Value: patch})
	}
	txn.Ops = append(txn.Ops, compactReceipts(replica)...)
	// The publisher removes old rows from the outbox, but a burst of changes can add rows faster
	// than it removes them.
	rows := replica.KeysWithPrefix(OutboxKeyPrefix, OutboxKeyPrefix)
	for i := 0; i+MaxOutboxRows <= len(rows); i++ {
		txn.Ops = append(txn.Ops, DeleteOp(rows[i]))
	}
	return txn
}

func configNotification(version, base uint64, changed []string) outbox.Notification {
	eventID := fmt.Sprintf("%s/%d", outbox.AggregateConfiguration, version)
	change := outbox.ConfigurationChange{Tenants: changed}
	notification, err := outbox.Notification{
		EventID:         eventID,
		Aggregate:       outbox.AggregateConfiguration,
		Version:         version,
		PreviousVersion: base,
	}.WithPayload(change)
	if err != nil {
		panic(err) // the payload type can always be encoded
	}
	return notification
}
