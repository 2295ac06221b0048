package schema

import (
	"fmt"
	"net/http"

	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/paxos/statemachine"
	"comethold/internal/routing"
)

// ReadConfig returns the version of the configuration and its text; 0 if there is none.
func ReadConfig(replica *paxos.Replica) (version uint64, raw []byte) {
	value, found := replica.Get(ConfigVersionKey)
	if !found || value.Int == nil {
		return 0, nil
	}
	data, _ := replica.Get(ConfigDataKey)
	return value.Int.Uint64(), data.Bytes
}

// ConfigChange is a change of the configuration, not yet committed.
type ConfigChange struct {
	Config         *routing.Configuration
	Raw            []byte   // its text
	Fingerprint    []byte   // of the request as it was sent
	ChangedTenants []string // tenants whose part differs
}

// ConfigTxn makes the transaction that replaces the current configuration. It stores the
// receipt of the change, the configuration and the notification atomically.
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
	// The publisher sweeps the outbox, but many changes in a row outrun it.
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
		panic(err) // a record of ours can always be encoded
	}
	return notification
}
