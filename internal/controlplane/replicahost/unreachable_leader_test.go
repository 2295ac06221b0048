package replicahost

import (
	"context"
	"errors"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// noRoute is a network on which every dial fails.
func noRoute(time.Duration, time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("no route")
	}
}

// TestUnreachableLeader guards against index cells that wait for up to two election timeouts after
// the machine of their leader was lost. With such a delay the cells cannot replace the voter on
// the lost machine in time.
func TestUnreachableLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cells = 10
		host := New(Options{
			Self:    PeerInfo{ID: "a", Addr: "10.0.0.1"},
			Storage: memoryStorage{},
			Client:  rpc.NewClient(noRoute),
			Network: noRoute,
			Log:     logging.Nop(),
		})
		defer func() {
			host.Stop()
			host.Wait()
		}()
		leader := PeerInfo{ID: "b", Addr: "10.0.0.2"}
		voters := []paxos.Voter{{ID: "a", Addr: "10.0.0.1"}, {ID: "b", Addr: "10.0.0.2"}, {ID: "c", Addr: "10.0.0.3"}}
		batch := &Batch{Sender: leader}
		for i := range cells {
			cell := "i" + strconv.Itoa(i)
			host.Open(cell, voters)
			batch.Messages = append(batch.Messages, paxos.Message{
				Kind: paxos.Heartbeat, Cell: cell, From: leader.ID, To: "a",
				ProposalNumber: paxos.ProposalNumber{Term: 1, Proposer: leader.ID},
			})
		}
		tickFor := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); {
				time.Sleep(tickInterval)
				host.tick()
			}
		}
		following := func() (count int) {
			for _, hosted := range host.replicas {
				if hosted.replica.Leader() == leader.ID {
					count++
				}
			}
			return count
		}
		tickFor(time.Second)
		host.handleBatch(batch)
		tickFor(indexElectionTimeout - 2*tickInterval)
		if n := following(); n != cells {
			t.Errorf("%d of %d cells follow the leader shortly before the election timeout, want all", n, cells)
		}
		tickFor(leaderTimeout - indexElectionTimeout + indexHeartbeatInterval)
		if n := following(); n != 0 {
			t.Errorf("%d of %d cells follow a leader that sent nothing for longer than %v, want none", n, cells, leaderTimeout)
		}
	})
}
