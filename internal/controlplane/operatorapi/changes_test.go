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

// testCells has the meta cell alone; the other state is as set.
type testCells struct {
	*schematest.Cell
	isStopped bool
	waitErr   error // of WaitLinearizable
}

func (c *testCells) View(cell string, read func(*paxos.Replica)) bool {
	return !c.isStopped && cell == schema.MetaCell && c.Cell.View(read)
}

func (c *testCells) Propose(_ context.Context, _ string, txn paxos.Txn) (bool, error) {
	return c.Commit(txn), nil
}

func (c *testCells) WaitLinearizable(context.Context, string) error { return c.waitErr }

// testChanges commits changes on a meta cell, and lists what is quarantined.
type testChanges struct {
	*changes
	cells       *testCells
	isForming   bool
	quarantined []string
}

func newTestChanges(t *testing.T) *testChanges {
	t.Helper()
	c := &testChanges{cells: &testCells{Cell: schematest.NewCell(t)}}
	c.changes = &changes{
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

// TestChangeIsCommittedOnce: a change is committed, and acknowledged again when it is sent
// again, also after a later one.
func TestChangeIsCommittedOnce(t *testing.T) {
	c := newTestChanges(t)
	for i, r := range []struct{ version, base, want uint64 }{{3, 0, 3}, {3, 0, 3}, {5, 3, 5}, {3, 0, 5}} {
		if err := c.replace(t, r.version, r.base, "a"); err != nil {
			t.Errorf("step %d: %v", i, err)
		}
		if got := c.currentVersion(); got != r.want {
			t.Errorf("step %d: version %d is current, not %d", i, got, r.want)
		}
	}
}

// TestRejectedChanges: a change that can't be committed says why, and changes nothing.
func TestRejectedChanges(t *testing.T) {
	c := newTestChanges(t)
	if err := c.replace(t, 3, 0, "a"); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if err := c.replace(t, 7, 5, "a"); !errors.As(err, &conflict) || *conflict != (ConflictError{Current: 3, Base: 5}) {
		t.Errorf("on another base: %v", err)
	}
	var invalid *InvalidRequestError
	if err := c.replace(t, 2, 3, "a"); !errors.As(err, &invalid) || !errors.Is(err, errVersionNotAbove) {
		t.Errorf("with a version below: %v", err)
	}
	var reused *VersionReusedError
	if err := c.replace(t, 3, 0, "b"); !errors.As(err, &reused) || reused.Version != 3 {
		t.Errorf("with other content: %v", err)
	}
	if len(c.quarantined) != 1 {
		t.Errorf("quarantined are %v", c.quarantined)
	}
	if got := c.currentVersion(); got != 3 {
		t.Errorf("version %d is current", got)
	}
}

// TestChangesWithoutQuorum: while the cell forms or its state is not to be had, nothing is
// rejected for good.
func TestChangesWithoutQuorum(t *testing.T) {
	c := newTestChanges(t)
	c.isForming = true
	if err := c.replace(t, 3, 0, "a"); !errors.Is(err, errForming) {
		t.Errorf("forming: %v", err)
	}
	c.isForming = false
	c.cells.waitErr = replicahost.ErrNoQuorum
	if err := c.replace(t, 5, 3, "a"); !errors.Is(err, replicahost.ErrNoQuorum) {
		t.Errorf("not known to be current: %v", err)
	}
	c.cells.isStopped = true
	if err := c.replace(t, 3, 0, "a"); !errors.Is(err, replicahost.ErrNoQuorum) {
		t.Errorf("stopped: %v", err)
	}
	if c.cells.isStopped = false; c.currentVersion() != 0 {
		t.Errorf("version %d is current", c.currentVersion())
	}
}
