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

// ConfigTxn makes the transaction that puts a configuration in the place of the present one:
// the receipt of the change, the change and the notification of it become durable together,
// or none does. fingerprint is that of the request as it was sent; changed names the tenants
// whose part differs.
func ConfigTxn(
	replica *paxos.Replica, config *routing.Configuration, raw, fingerprint []byte, changed []string,
) paxos.Txn {
	base, old := ReadConfig(replica)
	receipt := outbox.Receipt{Fingerprint: fingerprint, Status: http.StatusOK, Version: config.Version}
	row := outbox.Row{Notification: configNotification(config.Version, base, changed), State: outbox.Pending}
	txn := paxos.Txn{Ops: []paxos.Op{
		{Kind: paxos.OpPut, Key: ReceiptKey(config.Version, base), Value: MustEncode(receipt)},
		{Kind: paxos.OpPut, Key: ConfigVersionKey, Value: UintValue(config.Version)},
		{Kind: paxos.OpAppend, Key: OutboxKeyPrefix, Value: MustEncode(row)},
	}}
	if base == 0 {
		txn.Conditions = []paxos.Condition{{Key: ConfigVersionKey, Absent: true}}
		txn.Ops = append(txn.Ops, paxos.Op{Kind: paxos.OpPut, Key: ConfigDataKey, Value: paxos.Bytes(raw)})
	} else {
		patch := paxos.Bytes(statemachine.MakePatch(old, raw))
		txn.Conditions = []paxos.Condition{{Key: ConfigVersionKey, Equals: UintValue(base)}}
		txn.Ops = append(txn.Ops, paxos.Op{Kind: paxos.OpPatch, Key: ConfigDataKey, Value: patch})
	}
	txn.Ops = append(txn.Ops, compactReceipts(replica)...)
	// The publisher sweeps the outbox, but many changes in a row outrun it.
	rows := replica.KeysWithPrefix(OutboxKeyPrefix, OutboxKeyPrefix)
	for i := 0; i+MaxOutboxRows <= len(rows); i++ {
		txn.Ops = append(txn.Ops, paxos.Op{Kind: paxos.OpDelete, Key: rows[i]})
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
