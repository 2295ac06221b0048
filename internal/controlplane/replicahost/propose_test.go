package replicahost

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// memoryStorage is a Storage that stores nothing and never needs a sync.
type memoryStorage struct{}

func (memoryStorage) LoadReplica(string) (state paxos.PersistedState, found bool, err error) {
	return state, false, nil
}

func (memoryStorage) Submit(string, paxos.Writes, func()) bool { return true }

// runHost runs a host that is the only voter of the meta cell, until the test ends.
func runHost(t *testing.T) *Host {
	t.Helper()
	host := New(Options{
		Self:    PeerInfo{ID: "a", Addr: "10.0.0.1"},
		Storage: memoryStorage{},
		Client:  rpc.NewClient(unreachable),
		Network: unreachable,
		Log:     logging.Nop(),
	})
	host.Open(schema.MetaCell, []paxos.Voter{{ID: "a", Addr: "10.0.0.1"}})
	ended := make(chan error, 1)
	go func() { ended <- host.Run() }()
	t.Cleanup(func() {
		host.Stop()
		host.Wait()
		if err := <-ended; err != nil {
			t.Error("Run returned an error after Stop, want nil:", err)
		}
	})
	return host
}

// putTxn puts a value under the key "k".
func putTxn(value string, conditions ...paxos.Condition) paxos.Txn {
	return paxos.Txn{
		Conditions: conditions,
		Ops:        []paxos.Op{{Kind: paxos.OpPut, Key: "k", Value: paxos.Bytes([]byte(value))}},
	}
}

// TestProposeAtOnlyVoter guards against a transaction that is committed although its conditions
// don't hold, and against WaitLinearizable returning before a committed transaction is applied.
func TestProposeAtOnlyVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		host := runHost(t)
		if committed, err := host.Propose(ctx, schema.MetaCell, putTxn("1")); !committed || err != nil {
			t.Errorf("Propose without conditions returned %v, %v, want true, nil", committed, err)
		}
		isAbsent := paxos.Condition{Key: "k", Absent: true}
		if committed, err := host.Propose(ctx, schema.MetaCell, putTxn("2", isAbsent)); committed || err != nil {
			t.Errorf("Propose with a condition that does not hold returned %v, %v, want false, nil", committed, err)
		}
		if err := host.WaitLinearizable(ctx, schema.MetaCell); err != nil {
			t.Error("WaitLinearizable returned an error, want nil:", err)
		}
		if value, found := host.Get(schema.MetaCell, "k"); !found || string(value.Bytes) != "1" {
			t.Errorf("Get returned found %v and value %q, want true and \"1\"", found, value.Bytes)
		}
		if !host.IsVoter() || host.QuorumContactAge() > StaleAfter {
			t.Errorf("IsVoter returned %v and QuorumContactAge %v, want true and at most StaleAfter",
				host.IsVoter(), host.QuorumContactAge())
		}
	})
}

// TestStabilityGrows guards against a Stability that restarts without a cause: while the leader and
// the voters of a cell don't change, StableFor grows from the election of the leader on.
func TestStabilityGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := runHost(t)
		if _, err := host.Propose(t.Context(), schema.MetaCell, putTxn("1")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		cell, found := host.Stability()
		if !found || len(cell.Voters) != 1 || !cell.MembershipChangeComplete {
			t.Errorf("Stability returned found %v, %+v, want found true, one voter and MembershipChangeComplete", found, cell)
		}
		if cell.StableFor < time.Minute || cell.StableFor > cell.Age {
			t.Errorf("StableFor is %v and Age %v, want StableFor between 1 min and Age", cell.StableFor, cell.Age)
		}
	})
}

// TestNoLeader guards against calls that succeed, or fail with another error, for a cell whose
// leader is unknown: Propose and WaitLinearizable retry until the context ends, and the local
// variants return NoLeader.
func TestNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := runHost(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := host.Propose(ctx, "i1", putTxn("1")); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("Propose without a leader returned %v, want ErrNoQuorum", err)
		}
		if err := host.WaitLinearizable(ctx, "i1"); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("WaitLinearizable without a leader returned %v, want ErrNoQuorum", err)
		}
		if result := host.ProposeLocal(ctx, "i1", putTxn("1")); !result.NoLeader {
			t.Errorf("ProposeLocal without a replica returned %+v, want NoLeader", result)
		}
		if result := host.ReadIndexLocal(ctx, "i1"); !result.NoLeader {
			t.Errorf("ReadIndexLocal without a replica returned %+v, want NoLeader", result)
		}
	})
}

// TestStoppedHost guards against calls that block or report a false result after Stop, when the
// event loop runs no more tasks: View calls nothing, and the outcome of a proposal is unknown.
func TestStoppedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := runHost(t)
		if committed, err := host.Propose(t.Context(), schema.MetaCell, putTxn("1")); !committed {
			t.Fatal("Propose before Stop did not commit the transaction, want it committed; error:", err)
		}
		host.Stop()
		synctest.Wait()
		if host.View(schema.MetaCell, func(*paxos.Replica) { t.Error("View called its function after Stop") }) {
			t.Error("View returned true after Stop, want false")
		}
		if result := host.ProposeLocal(t.Context(), schema.MetaCell, putTxn("2")); !result.Unknown {
			t.Errorf("ProposeLocal after Stop returned %+v, want Unknown", result)
		}
		if err := host.WaitLinearizable(t.Context(), schema.MetaCell); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("WaitLinearizable after Stop returned %v, want ErrNoQuorum", err)
		}
	})
}
