package operatorapi

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/schematest"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/rpc"
)

// TestPurgesAreBatched checks that pending purges are committed in one batch, without
// duplicates and with one notification, so that a burst of purges needs few log entries.
func TestPurgesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cells := &testCells{Cell: schematest.NewCell(t)}
		queue := newPurgeQueue(cells, logging.Nop())
		outcomes := make(chan error, 3)
		for _, label := range []string{"a", "b", "a"} {
			go func() { outcomes <- queue.submit(t.Context(), distribution.Purge{Label: label}) }()
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		go queue.run(ctx)
		for range cap(outcomes) {
			if err := <-outcomes; err != nil {
				t.Errorf("submit returned %v, want nil", err)
			}
		}
		cancel()
		keys := cells.Replica().KeysWithPrefix(schema.PurgeKeyPrefix, schema.PurgeKeyPrefix)
		if len(keys) != 1 {
			t.Fatalf("%d batches were committed, want 1", len(keys))
		}
		var purges []distribution.Purge
		value, _ := cells.Replica().Get(keys[0])
		if err := rpc.Unmarshal(value.Bytes, &purges); err != nil || len(purges) != 2 {
			t.Errorf("the batch contains %v (decoding error: %v), want 2 purges", purges, err)
		}
		if rows := schema.OutboxRows(cells.Replica()); len(rows) != 1 {
			t.Errorf("the outbox contains %d notifications, want 1", len(rows))
		}
	})
}

// TestStoppedPurgeQueue guards against a submit that blocks, or returns a definite outcome,
// when the node stops. A purge that is pending at that time may or may not be committed.
func TestStoppedPurgeQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newPurgeQueue(&testCells{Cell: schematest.NewCell(t)}, logging.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		queue.run(ctx)
		err := queue.submit(t.Context(), distribution.Purge{Label: "a"})
		if !errors.Is(err, replicahost.ErrOutcomeUnknown) {
			t.Errorf("submit to a stopped queue returned %v, want ErrOutcomeUnknown", err)
		}
	})
}
