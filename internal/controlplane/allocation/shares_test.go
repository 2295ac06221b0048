package allocation

import (
	"testing"
	"time"

	"comethold/internal/controlplane/lease"
	"comethold/internal/distribution"
	"comethold/internal/ratelimit"
)

// TestSharesNeverExceedFullShare: the shares held never add up to more than the full share, in any
// order of requests and when a node fails. The share of a failed node is reassigned only after it has
// certainly stopped using it.
func TestSharesNeverExceedFullShare(t *testing.T) {
	allocator := NewShareService(nil, lease.ClockSkewFactor).allocators[distribution.RateShares]
	table := shareTable{}
	fair := map[string]int{}
	now := time.Now()
	request := func(node string) {
		var grant distribution.ShareGrant
		table, grant = allocator.allocate(table, distribution.ShareRequest{Node: node, Permille: fair[node]}, now)
		fair[node] = grant.FairPermille
		sum := 0
		for _, share := range table {
			sum += share.Permille
		}
		if sum > ratelimit.FullShare {
			t.Fatalf("shares add up to %d thousandths, want at most 1000: %v", sum, table)
		}
	}
	nodes := []string{"a", "b", "c", "d"}
	for round := range 40 {
		now = now.Add(time.Second)
		for i := range nodes {
			if n := nodes[(i*3+round)%4]; round < 10 || n != "b" {
				request(n)
			}
		}
		if round == 9 && table["b"].Permille != 250 {
			t.Fatalf("after 10 rounds of renewals by 4 nodes the shares are %v, want 250 thousandths for each node", table)
		}
		if _, held := table["b"]; round == 12 && !held {
			t.Fatal("the share of node b expired 3 s after its last renewal, want 9 s (clock skew factor 3, lease 3 s)")
		}
	}
	if _, held := table["b"]; held || table["a"].Permille != 333 {
		t.Fatalf("30 s after the last renewal by node b the shares are %v, want none for b and 333 for a", table)
	}
	// After a restart, a node gets its recorded share with its first request. A new node gets only
	// what the other nodes do not hold.
	returning := distribution.ShareRequest{Node: "a", HoldsNone: true}
	if _, grant := allocator.allocate(table, returning, now); grant.Permille != 333 {
		t.Errorf("a restarted node with a recorded share was granted %d thousandths, want 333", grant.Permille)
	}
	newcomer := distribution.ShareRequest{Node: "b", HoldsNone: true}
	if _, grant := allocator.allocate(table, newcomer, now); grant.Permille > 1 {
		t.Errorf("a new node was granted %d thousandths, want at most 1, because other nodes hold 999", grant.Permille)
	}
	// A request that is decided after a newer request of the same node is rejected.
	numbers := distribution.NewRequestNumber()
	old := distribution.ShareRequest{Node: "a", Permille: 100, Number: numbers.Next()}
	newer := distribution.ShareRequest{Node: "a", Permille: 300, Number: numbers.Next()}
	table, _ = allocator.allocate(table, newer, now)
	if after, grant := allocator.allocate(table, old, now); grant.Granted || after["a"] != table["a"] {
		t.Errorf("an outdated request got %+v and set the share to %+v, want no grant and no change", grant, after["a"])
	}
	restarted := distribution.ShareRequest{Node: "a", Permille: 300, Number: distribution.NewRequestNumber()}
	if _, grant := allocator.allocate(table, restarted, now); !grant.Granted {
		t.Error("the first request of a new incarnation was rejected, want a grant")
	}
}
