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
	if got := f.rows()[eventID].State; got != state {
		f.t.Errorf("%s is %v, not %v", eventID, got, state)
	}
}

// TestPublishedOnceAllAreDone: a row is published once every live control node is done with
// its notification; else it waits for a retry.
func TestPublishedOnceAllAreDone(t *testing.T) {
	f := newFixture(t)
	f.hold(3)
	f.change("configuration/2", 2, 0)
	f.change("configuration/3", 3, 2)
	f.peers.done["10.0.0.2"] = []string{"configuration/2", "configuration/3"}
	f.peers.done["10.0.0.3"] = []string{"configuration/2"}
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/2", outbox.Published)
	f.wantState("configuration/3", outbox.RetryWait)

	f.peers.done["10.0.0.3"] = nil // unreachable, but heard a moment ago
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/3", outbox.RetryWait)
	if attempts := f.rows()["configuration/3"].Attempts; attempts != 1 {
		t.Errorf("%d attempts before the retry is due", attempts)
	}
	f.age(outbox.InitialRetryDelay)
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/3", outbox.RetryWait)
	delete(f.peers.done, "10.0.0.3") // not live any more
	f.age(2 * outbox.InitialRetryDelay)
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/3", outbox.Published)
}

// age has the publisher take rows for unchanged for longer.
func (f *fixture) age(by time.Duration) {
	f.publisher.observe(outboxRows(f.cell), time.Now())
	for key, seen := range f.publisher.observed {
		seen.since = seen.since.Add(-by)
		f.publisher.observed[key] = seen
	}
}

// TestClaimOfAnotherIsRespected: a row that another publisher has claimed is taken over only
// after the lease of the claim.
func TestClaimOfAnotherIsRespected(t *testing.T) {
	f := newFixture(t)
	f.hold(3)
	f.change("configuration/3", 3, 0)
	_, txn := f.publisher.claimRows(outboxRows(f.cell), "b/1", time.Now())
	if !f.cell.Commit(txn) {
		t.Fatal("the claim is not committed")
	}
	f.publisher.publish(t.Context(), owner)
	if row := f.rows()["configuration/3"]; row.State != outbox.Claimed || row.Owner != "b/1" {
		t.Errorf("the row is %v of %q", row.State, row.Owner)
	}
	f.age(outbox.ClaimLease)
	f.publisher.publish(t.Context(), owner)
	f.wantState("configuration/3", outbox.Published)
}

// TestSweepKeepsTheNewest: of published and of unsent rows the newest are kept, and events
// that were never published are named.
func TestSweepKeepsTheNewest(t *testing.T) {
	const surplus = 3
	var rows []schema.StoredRow
	for i := range schema.MaxPublishedRows + surplus {
		rows = append(rows, storedRow(2*i, outbox.Published), storedRow(2*i+1, outbox.RetryWait))
	}
	swept := SweepRows(rows)
	if len(swept.Remaining) != schema.MaxPublishedRows+schema.MaxUnsentRows {
		t.Errorf("%d rows remain", len(swept.Remaining))
	}
	if len(swept.Txn.Ops) != 2*surplus || len(swept.Txn.Conditions) != surplus {
		t.Errorf("%d rows are removed under %d conditions", len(swept.Txn.Ops), len(swept.Txn.Conditions))
	}
	for _, op := range swept.Txn.Ops {
		if op.Kind != paxos.OpDelete || op.Key >= rows[2*surplus].Key {
			t.Errorf("%v of %s", op.Kind, op.Key)
		}
	}
	if got := fmt.Sprint(swept.DroppedEvents); got != "[event/0005 event/0003 event/0001]" {
		t.Errorf("dropped are %s", got)
	}
}

func storedRow(number int, state outbox.State) schema.StoredRow {
	name := fmt.Sprintf("%04d", number)
	row := outbox.Row{Notification: outbox.Notification{EventID: "event/" + name}, State: state}
	return schema.StoredRow{Key: schema.OutboxKeyPrefix + name, Raw: []byte(name), Row: row}
}
