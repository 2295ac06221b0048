package outboxpublisher

import (
	"fmt"
	"slices"
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// TestNotificationWaitsForConfiguration guards against notifying data plane nodes of a change
// before this node holds its configuration. Later notifications must wait as well.
func TestNotificationWaitsForConfiguration(t *testing.T) {
	f := newFixture(t)
	f.setConfiguration(1)
	f.consumer.Apply()
	f.wantApplied(1)
	f.commitChange("configuration/3", 3, 1)
	f.commitChange("configuration/5", 5, 3)
	f.consumer.Apply()
	f.wantNotified()
	f.setConfiguration(3)
	f.consumer.Apply()
	f.wantNotified("configuration/3")
	f.wantApplied(3)
	f.setConfiguration(5)
	f.consumer.Apply()
	f.wantNotified("configuration/3", "configuration/5")
	f.wantApplied(5)
	if got := slices.Compact(f.configurations); !slices.Equal(got, []uint64{1, 3, 5}) {
		t.Errorf("configurations %v took effect, want [1 3 5]", got)
	}
}

// TestInboxSurvivesRestart checks that the applied versions are kept over a restart, and that
// applied notifications are passed on again, because the distributor starts empty.
func TestInboxSurvivesRestart(t *testing.T) {
	f := newFixture(t)
	f.setConfiguration(3)
	f.commitChange("configuration/3", 3, 0)
	f.consumer.Apply()
	f.wantApplied(3)
	f.restart()
	f.distributor.added = nil
	f.distributor.configuration = nil
	f.wantApplied(3)
	f.consumer.Apply()
	f.wantNotified("configuration/3")
}

// TestUnreadableInboxStartsEmpty checks that a stored inbox that can't be decoded is replaced by
// an empty one.
func TestUnreadableInboxStartsEmpty(t *testing.T) {
	f := newFixture(t)
	f.storage.QueueNodeValue(InboxStorageKey, []byte("no inbox"))
	f.restart()
	f.wantApplied(0)
}

// TestConflictingNotificationIsQuarantined checks that a notification whose content differs
// from an earlier one with the same event ID is quarantined once, is not passed on, and does
// not block later notifications.
func TestConflictingNotificationIsQuarantined(t *testing.T) {
	f := newFixture(t)
	f.setConfiguration(5)
	f.commitChange("configuration/3", 3, 0)
	f.commitChange("configuration/3", 4, 3)
	f.commitChange("configuration/5", 5, 3)
	f.consumer.Apply()
	f.consumer.Apply()
	f.consumer.quarantining.Close()
	f.wantNotified("configuration/3", "configuration/5")
	f.wantApplied(5)
	if got := f.quarantined(); !slices.Equal(got, []string{schema.QuarantineKeyPrefix + "configuration/3"}) {
		t.Errorf("the quarantine contains %v, want only configuration/3", got)
	}
}

// TestReceiveAcknowledgesAppliedAndInvalid guards against acknowledging a notification that the
// local replica has not received, whose row would then be marked as published too early, and
// against endless retries of an invalid one.
func TestReceiveAcknowledgesAppliedAndInvalid(t *testing.T) {
	f := newFixture(t)
	f.setConfiguration(3)
	f.commitChange("configuration/3", 3, 0)
	applied := f.rowsByEventID()["configuration/3"].Notification
	unseen, err := outbox.Notification{
		EventID:         "configuration/5",
		Aggregate:       outbox.AggregateConfiguration,
		Version:         5,
		PreviousVersion: 3,
	}.WithPayload(nil)
	if err != nil {
		t.Fatal(err)
	}
	invalid := applied
	invalid.EventID = ""
	acknowledged := f.consumer.Receive([]outbox.Notification{applied, unseen, invalid})
	if !slices.Equal(acknowledged, []bool{true, false, true}) {
		t.Errorf("Receive of applied, unseen and invalid notifications returned %v, want [true false true]", acknowledged)
	}
}

// TestQuarantineIsBounded checks that the quarantine holds at most maxQuarantined records, and that
// a repeated event ID does not overwrite the first record.
func TestQuarantineIsBounded(t *testing.T) {
	f := newFixture(t)
	quarantine := NewQuarantine(f.cell, "n1")
	for i := range 2 * maxQuarantined {
		eventID := fmt.Sprintf("event/%04d", i)
		quarantine.Add(&outbox.Notification{EventID: eventID}, "first")
		quarantine.Add(&outbox.Notification{EventID: eventID}, "second")
	}
	keys := f.quarantined()
	if len(keys) > maxQuarantined {
		t.Errorf("the quarantine contains %d records, want at most maxQuarantined", len(keys))
	}
	f.cell.View(func(replica *paxos.Replica) {
		for _, key := range keys {
			var record schema.QuarantineRecord
			value, _ := replica.Get(key)
			if rpc.Unmarshal(value.Bytes, &record) != nil || record.Reason != "first" || record.ReportedBy != "n1" {
				t.Errorf("record %s is %+v, want reason \"first\" and reporter n1", key, record)
			}
		}
	})
}
