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

// memoryStorage forgets all at the end and has nothing to wait for.
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
			t.Error(err)
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

// TestProposeAtOnlyVoter: a transaction is committed if its conditions hold, and applied by
// the time a linearizable read goes on.
func TestProposeAtOnlyVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		host := runHost(t)
		if committed, err := host.Propose(ctx, schema.MetaCell, putTxn("1")); !committed || err != nil {
			t.Errorf("committed %v, %v", committed, err)
		}
		isAbsent := paxos.Condition{Key: "k", Absent: true}
		if committed, err := host.Propose(ctx, schema.MetaCell, putTxn("2", isAbsent)); committed || err != nil {
			t.Errorf("against its condition: committed %v, %v", committed, err)
		}
		if err := host.WaitLinearizable(ctx, schema.MetaCell); err != nil {
			t.Error(err)
		}
		if value, found := host.Get(schema.MetaCell, "k"); !found || string(value.Bytes) != "1" {
			t.Errorf("found %v, %q", found, value.Bytes)
		}
		if !host.IsVoter() || host.QuorumContactAge() > StaleAfter {
			t.Errorf("voter %v, quorum contact %v ago", host.IsVoter(), host.QuorumContactAge())
		}
	})
}

// TestStabilityGrows: a cell that nothing happens to is at rest for longer and longer, from
// the time at which it got its leader.
func TestStabilityGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := runHost(t)
		if _, err := host.Propose(t.Context(), schema.MetaCell, putTxn("1")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		cell, found := host.Stability()
		if !found || len(cell.Voters) != 1 || !cell.MembershipChangeComplete {
			t.Errorf("found %v, %+v", found, cell)
		}
		if cell.StableFor < time.Minute || cell.StableFor > cell.Age {
			t.Errorf("at rest for %v of %v", cell.StableFor, cell.Age)
		}
	})
}

// TestNoLeader: a cell that this node knows no leader of is asked until the context ends; at
// this node itself nothing is proposed.
func TestNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := runHost(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := host.Propose(ctx, "i1", putTxn("1")); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("a proposal: %v", err)
		}
		if err := host.WaitLinearizable(ctx, "i1"); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("a read: %v", err)
		}
		if result := host.ProposeLocal(ctx, "i1", putTxn("1")); !result.NoLeader {
			t.Errorf("at this node: %+v", result)
		}
		if result := host.ReadIndexLocal(ctx, "i1"); !result.NoLeader {
			t.Errorf("a read at this node: %+v", result)
		}
	})
}

// TestStoppedHost: while a node stops there is nothing to look at, and what becomes of a
// proposal is not known.
func TestStoppedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := runHost(t)
		if committed, err := host.Propose(t.Context(), schema.MetaCell, putTxn("1")); !committed {
			t.Fatal(err)
		}
		host.Stop()
		synctest.Wait()
		if host.View(schema.MetaCell, func(*paxos.Replica) { t.Error("a replica is looked at") }) {
			t.Error("there is a replica")
		}
		if result := host.ProposeLocal(t.Context(), schema.MetaCell, putTxn("2")); !result.Unknown {
			t.Errorf("a proposal: %+v", result)
		}
		if err := host.WaitLinearizable(t.Context(), schema.MetaCell); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("a read: %v", err)
		}
	})
}
