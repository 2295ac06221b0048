package allocation

import (
	"testing"
	"time"

	"comethold/internal/controlplane/lease"
	"comethold/internal/distribution"
	"comethold/internal/ratelimit"
)

// TestShareAllocation: whatever order requests come in and whoever dies, the shares held
// never exceed the whole, and a dead holder's share is free in the end.
func TestShareAllocation(t *testing.T) {
	allocator := NewShareService(nil, lease.ClockSkewFactor).allocators[distribution.RateShares]
	table := shareTable{}
	fair := map[string]int{}
	now := time.Now()
	request := func(node string) {
		var grant distribution.ShareGrant
		table, grant = allocator.allocate(table, distribution.ShareRequest{Node: node, Permille: fair[node]}, now)
		fair[node] = grant.FairPermille
		sum := 0
		for _, s := range table {
			sum += s.Permille
		}
		if sum > ratelimit.FullShare {
			t.Fatalf("shares add up to %d: %v", sum, table)
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
			t.Fatalf("not shared evenly: %v", table)
		}
		if _, held := table["b"]; round == 12 && !held {
			t.Fatal("a share lapsed before its holder surely stopped")
		}
	}
	if _, held := table["b"]; held || table["a"].Permille != 333 {
		t.Fatalf("the dead holder's share is not free: %v", table)
	}
	// Back after a restart a holder has its share by its first request; a newcomer
	// gets no more than what the others leave.
	returning := distribution.ShareRequest{Node: "a", HoldsNone: true}
	if _, grant := allocator.allocate(table, returning, now); grant.Permille != 333 {
		t.Errorf("a restarted holder is granted %d", grant.Permille)
	}
	newcomer := distribution.ShareRequest{Node: "b", HoldsNone: true}
	if _, grant := allocator.allocate(table, newcomer, now); grant.Permille > 1 {
		t.Errorf("a newcomer is granted %d of what others hold", grant.Permille)
	}
	// A request that was given up and is decided after a newer one changes nothing.
	numbers := distribution.NewRequestNumber()
	old := distribution.ShareRequest{Node: "a", Permille: 100, Number: numbers.Next()}
	newer := distribution.ShareRequest{Node: "a", Permille: 300, Number: numbers.Next()}
	table, _ = allocator.allocate(table, newer, now)
	if after, grant := allocator.allocate(table, old, now); grant.Granted || after["a"] != table["a"] {
		t.Errorf("a late request is granted: %v, the share is %v", grant, after["a"])
	}
	restarted := distribution.ShareRequest{Node: "a", Permille: 300, Number: distribution.NewRequestNumber()}
	if _, grant := allocator.allocate(table, restarted, now); !grant.Granted {
		t.Error("the first request of a new incarnation is not granted")
	}
}
