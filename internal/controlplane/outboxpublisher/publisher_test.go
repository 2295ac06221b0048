package outboxpublisher

import (
	"fmt"
	"testing"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

const owner = "a/1"

func (f *fixture) wantState(eventID string, state outbox.State) {
	f.t.Helper()
	if got := f.rowsByEventID()[eventID].State; got != state {
		f.t.Errorf("the row of %s is %v, want %v", eventID, got, state)
	}
}

// TestRowIsPublishedOnceAllNodesAcknowledge guards against marking a row as published while a
// live control node has not acknowledged its notification. The row must wait for a retry.
func TestRowIsPublishedOnceAllNodesAcknowledge(t *testing.T) {
	f := newFixture(t)
	f.setConfiguration(3)
	f.commitChange("configuration/2", 2, 0)
	f.commitChange("configuration/3", 3, 2)
	f.peers.acknowledged["10.0.0.2"] = []string{"configuration/2", "configuration/3"}
	f.peers.acknowledged["10.0.0.3"] = []string{"configuration/2"}
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/2", outbox.Published)
	f.wantState("configuration/3", outbox.RetryWait)

	f.peers.acknowledged["10.0.0.3"] = nil // unreachable, but still counted as live
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/3", outbox.RetryWait)
	if attempts := f.rowsByEventID()["configuration/3"].Attempts; attempts != 1 {
		t.Errorf("the row has %d attempts before the retry is due, want 1", attempts)
	}
	f.ageRows(outbox.InitialRetryDelay)
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/3", outbox.RetryWait)
	delete(f.peers.acknowledged, "10.0.0.3") // no longer counted as live
	f.ageRows(2 * outbox.InitialRetryDelay)
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/3", outbox.Published)
}

// ageRows moves back the time since which the publisher has seen each row unchanged.
func (f *fixture) ageRows(by time.Duration) {
	f.publisher.observe(outboxRows(f.cell), time.Now())
	for key, seen := range f.publisher.observed {
		seen.since = seen.since.Add(-by)
		f.publisher.observed[key] = seen
	}
}

// TestForeignClaimIsRespected guards against two publishers that deliver the same row. A row
// claimed by another publisher may be claimed only after the lease of that claim expires.
func TestForeignClaimIsRespected(t *testing.T) {
	f := newFixture(t)
	f.setConfiguration(3)
	f.commitChange("configuration/3", 3, 0)
	_, txn := f.publisher.claimRows(outboxRows(f.cell), "b/1", time.Now())
	if !f.cell.Commit(txn) {
		t.Fatal("commit of the claim of b/1 returned false, want true")
	}
	f.publisher.publish(t.Context(), owner)
	if row := f.rowsByEventID()["configuration/3"]; row.State != outbox.Claimed || row.Owner != "b/1" {
		t.Errorf("the row is %v with owner %q, want CLAIMED with owner b/1", row.State, row.Owner)
	}
	f.ageRows(outbox.ClaimLease)
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/3", outbox.Published)
}

// TestSweepKeepsNewestRows checks that a sweep keeps the newest published rows and the newest
// unpublished rows, and lists the removed events that were not published.
func TestSweepKeepsNewestRows(t *testing.T) {
	const surplus = 3
	var rows []schema.StoredRow
	for i := range schema.MaxPublishedRows + surplus {
		rows = append(rows, storedRow(2*i, outbox.Published), storedRow(2*i+1, outbox.RetryWait))
	}
	swept := SweepRows(rows)
	if len(swept.Remaining) != schema.MaxPublishedRows+schema.MaxUnpublishedRows {
		t.Errorf("%d rows remain, want MaxPublishedRows + MaxUnpublishedRows", len(swept.Remaining))
	}
	if len(swept.Txn.Ops) != 2*surplus || len(swept.Txn.Conditions) != surplus {
		t.Errorf("the sweep has %d operations and %d conditions, want 6 and 3", len(swept.Txn.Ops), len(swept.Txn.Conditions))
	}
	for _, op := range swept.Txn.Ops {
		if op.Kind != paxos.OpDelete || op.Key >= rows[2*surplus].Key {
			t.Errorf("the operation is %v of %s, want OpDelete of one of the 6 oldest rows", op.Kind, op.Key)
		}
	}
	if got := fmt.Sprint(swept.DroppedEvents); got != "[event/0005 event/0003 event/0001]" {
		t.Errorf("dropped events are %s, want [event/0005 event/0003 event/0001]", got)
	}
}

func storedRow(number int, state outbox.State) schema.StoredRow {
	name := fmt.Sprintf("%04d", number)
	row := outbox.Row{Notification: outbox.Notification{EventID: "event/" + name}, State: state}
	return schema.StoredRow{Key: schema.OutboxKeyPrefix + name, Raw: []byte(name), Row: row}
}
