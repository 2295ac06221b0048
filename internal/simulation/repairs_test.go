package simulation_test

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"comethold/internal/simulation"
)

// repairScenario returns the commands of a random series of losses: at most two at a time, the next as soon
// as all cells have all their voters. Disks are lost, machines are killed or cut off, new replicas are killed
// while they catch up, and configurations with other indexes are sent meanwhile.
func repairScenario(rng *rand.Rand) (lines []string) {
	add := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	add("losses 2")
	add("core %s", []string{"a b c a b c", "a b c a b", "a b c d e f a"}[rng.Intn(3)])
	nodeCount := 5 + (len(lines[1])-len("core a b c a b"))/2
	add("proxies a 1")
	add("list l1")
	add("indexes %d", rng.Intn(4))
	add("begin")
	add("run %d", 200+rng.Intn(1500))
	add("replace 1 0 c1 within=9000")
	add("want-all-voters 9000")
	version := 1
	nodes := rng.Perm(nodeCount)
	replace := func() { // sends a change to a machine without a fault
		version += 2
		add("replace %d %d c%d within=9000", version, version-2, nodes[2]+1)
	}
	for range 5 {
		nodes = rng.Perm(nodeCount)
		a, b := fmt.Sprint("c", nodes[0]+1), fmt.Sprint("c", nodes[1]+1)
		switch rng.Intn(6) {
		case 0, 1: // both disks are lost at once, right after an acknowledgement
			replace()
			add("kill %s,%s", a, b)
			add("lose-disk %s,%s", a, b)
		case 2: // the second machine is lost while the first returns
			add("kill %s", a)
			add("lose-disk %s", a)
			add("run %d", rng.Intn(7000))
			add("start %s", a)
			add("run %d", rng.Intn(1500))
			add("kill %s,%s", a, b)
			add("lose-disk %s", []string{a, b, a + "," + b}[rng.Intn(3)])
		case 3: // both are cut off for up to 9 s, then index cells are created
			add("cut %s,%s", a, b)
			add("run %d", rng.Intn(9000))
			add("indexes %d", rng.Intn(5))
			add("heal")
			replace()
		case 4: // the mover is lost after another machine lost its disk
			add("kill %s", a)
			add("lose-disk %s", a)
			add("start %s", a)
			add("run %d", rng.Intn(800))
			add("kill-lease-holder mover")
		case 5: // a machine returns with its disk while it is replaced as a voter
			add("kill %s", a)
			add("run %d", 4000+rng.Intn(2500))
			add("indexes %d", rng.Intn(5))
			replace()
			add("start %s", a)
			add("run %d", rng.Intn(600))
			add("kill %s", b)
			add("lose-disk %s", b)
		}
		add("want-read 9000")
		add("run %d", rng.Intn(800))
		add("start all")
		if rng.Intn(2) == 0 {
			replace()
		}
		add("want-all-voters 4000") // catchUpS: a machine counts as lost for this long after its return
	}
	add("kill all")
	add("start all")
	add("want-read 9000")
	return lines
}

// TestRepairs guards against the loss of acknowledged changes when machines or disks are lost shortly after
// others were replaced as voters. It runs COMETHOLD_SEEDS random scenarios.
func TestRepairs(t *testing.T) {
	for seed := range simulation.SeedCount(1) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				t.Cleanup(f.shutDown)
				lines := repairScenario(rand.New(rand.NewSource(int64(seed))))
				for i, line := range lines {
					c, _ := simulation.Parse(line)
					if err := f.Do(c); err != nil {
						t.Fatalf("%v, at the last of these commands:\n%s", err, strings.Join(lines[:i+1], "\n"))
					}
				}
				if f.newest == 0 {
					t.Error("the scenario ended without an acknowledged change, want at least one")
				}
			})
		})
	}
}
