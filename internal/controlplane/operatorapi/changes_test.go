package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/schematest"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

// testCells implements Cells with a meta cell only. Its fields simulate failures.
type testCells struct {
	*schematest.Cell
	isStopped bool
	waitErr   error // returned by WaitLinearizable
}

func (c *testCells) View(cell string, read func(*paxos.Replica)) bool {
	return !c.isStopped && cell == schema.MetaCell && c.Cell.View(read)
}

func (c *testCells) Propose(_ context.Context, _ string, txn paxos.Txn) (bool, error) {
	return c.Commit(txn), nil
}

func (c *testCells) WaitLinearizable(context.Context, string) error { return c.waitErr }

// testChanges commits changes to a meta cell and records the quarantined changes.
type testChanges struct {
	*changeCommitter
	cells       *testCells
	isForming   bool
	quarantined []string // event IDs
}

func newTestChanges(t *testing.T) *testChanges {
	t.Helper()
	c := &testChanges{cells: &testCells{Cell: schematest.NewCell(t)}}
	c.changeCommitter = &changeCommitter{
		cells:               c.cells,
		log:                 logging.Nop(),
		isForming:           func() bool { return c.isForming },
		latestConfiguration: func() *routing.Configuration { return nil },
		quarantine: func(notification *outbox.Notification, _ string) {
			c.quarantined = append(c.quarantined, notification.EventID)
		},
	}
	return c
}

func (c *testChanges) replace(t *testing.T, version, base uint64, content string) error {
	t.Helper()
	request := &change{base: base, raw: fmt.Appendf(nil, `{"version":%d,"content":%q}`, version, content)}
	request.version = version
	request.apply = func([]byte) (*routing.Configuration, []byte, error) {
		return &routing.Configuration{Version: version}, request.raw, nil
	}
	return c.commit(t.Context(), request)
}

func (c *testChanges) currentVersion() (version uint64) {
	c.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		version, _ = schema.ReadConfig(replica)
	})
	return version
}

// TestChangeIsCommittedOnce sends a change again, before and after a later one is committed.
// The repeated change must be acknowledged without replacing the current configuration.
func TestChangeIsCommittedOnce(t *testing.T) {
	c := newTestChanges(t)
	for i, r := range []struct{ version, base, want uint64 }{{3, 0, 3}, {3, 0, 3}, {5, 3, 5}, {3, 0, 5}} {
		if err := c.replace(t, r.version, r.base, "a"); err != nil {
			t.Errorf("step %d: commit returned %v, want nil", i, err)
		}
		if got := c.currentVersion(); got != r.want {
			t.Errorf("step %d: the current version is %d, want %d", i, got, r.want)
		}
	}
}

// TestRejectedChanges checks that a change with another base, a version that is not above the
// current one or a reused version is rejected with its typed error and changes nothing.
func TestRejectedChanges(t *testing.T) {
	c := newTestChanges(t)
	if err := c.replace(t, 3, 0, "a"); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if err := c.replace(t, 7, 5, "a"); !errors.As(err, &conflict) || *conflict != (ConflictError{Current: 3, Base: 5}) {
		t.Errorf("commit of version 7 on base 5 returned %v, want a ConflictError with Current 3 and Base 5", err)
	}
	var invalid *InvalidRequestError
	if err := c.replace(t, 2, 3, "a"); !errors.As(err, &invalid) || !errors.Is(err, errVersionNotAbove) {
		t.Errorf("commit of version 2 on base 3 returned %v, want an InvalidRequestError with errVersionNotAbove", err)
	}
	var reused *VersionReusedError
	if err := c.replace(t, 3, 0, "b"); !errors.As(err, &reused) || reused.Version != 3 {
		t.Errorf("commit of version 3 with other content returned %v, want a VersionReusedError for version 3", err)
	}
	if len(c.quarantined) != 1 {
		t.Errorf("quarantined changes are %v, want only the reused version", c.quarantined)
	}
	if got := c.currentVersion(); got != 3 {
		t.Errorf("the current version is %d after rejected changes, want 3", got)
	}
}

// TestChangesWithoutQuorum guards against permanent rejections while the cell is forming or
// its state can't be read. The change may be valid, so the error must allow a retry.
func TestChangesWithoutQuorum(t *testing.T) {
	c := newTestChanges(t)
	c.isForming = true
	if err := c.replace(t, 3, 0, "a"); !errors.Is(err, errForming) {
		t.Errorf("commit while the cell is forming returned %v, want errForming", err)
	}
	c.isForming = false
	c.cells.waitErr = replicahost.ErrNoQuorum
	if err := c.replace(t, 5, 3, "a"); !errors.Is(err, replicahost.ErrNoQuorum) {
		t.Errorf("commit on a replica that may lag returned %v, want ErrNoQuorum", err)
	}
	c.cells.isStopped = true
	if err := c.replace(t, 3, 0, "a"); !errors.Is(err, replicahost.ErrNoQuorum) {
		t.Errorf("commit on a stopped replica returned %v, want ErrNoQuorum", err)
	}
	if c.cells.isStopped = false; c.currentVersion() != 0 {
		t.Errorf("the current version is %d after rejected changes, want 0", c.currentVersion())
	}
}
