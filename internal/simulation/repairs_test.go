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

// repairScenario draws a series of losses: at most two at a time, the next as soon as all cells are
// complete. Disks are lost, machines are killed or cut off, new replicas are killed while they
// catch up, and configurations with other indexes are sent meanwhile.
func repairScenario(rng *rand.Rand) (lines []string) {
	add := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	add("losses 2")
	add("core %s", []string{"a b c a b c", "a b c a b", "a b c d e f a"}[rng.Intn(3)])
	n := 5 + (len(lines[1])-len("core a b c a b"))/2
	add("proxies a 1")
	add("list l1")
	add("indexes %d", rng.Intn(4))
	add("begin")
	add("run %d", 200+rng.Intn(1500))
	add("replace 1 0 c1 within=9000")
	add("want-all-voters 9000")
	version := 1
	p := rng.Perm(n)
	order := func() { // to a machine without a fault
		version += 2
		add("replace %d %d c%d within=9000", version, version-2, p[2]+1)
	}
	for range 5 {
		p = rng.Perm(n)
		a, b := fmt.Sprint("c", p[0]+1), fmt.Sprint("c", p[1]+1)
		switch rng.Intn(6) {
		case 0, 1: // both disks at once, right after an acknowledgement
			order()
			add("kill %s,%s", a, b)
			add("lose-disk %s,%s", a, b)
		case 2: // one after the other, the second while the first comes back
			add("kill %s", a)
			add("lose-disk %s", a)
			add("run %d", rng.Intn(7000))
			add("start %s", a)
			add("run %d", rng.Intn(1500))
			add("kill %s,%s", a, b)
			add("lose-disk %s", []string{a, b, a + "," + b}[rng.Intn(3)])
		case 3: // cut off for long, while an index cell is created
			add("cut %s,%s", a, b)
			add("run %d", rng.Intn(9000))
			add("indexes %d", rng.Intn(5))
			add("heal")
			order()
		case 4: // the mover, and one without its disk
			add("kill %s", a)
			add("lose-disk %s", a)
			add("start %s", a)
			add("run %d", rng.Intn(800))
			add("kill-lease-holder mover")
		case 5: // back with the disk while the seat is given away
			add("kill %s", a)
			add("run %d", 4000+rng.Intn(2500))
			add("indexes %d", rng.Intn(5))
			order()
			add("start %s", a)
			add("run %d", rng.Intn(600))
			add("kill %s", b)
			add("lose-disk %s", b)
		}
		add("want-read 9000")
		add("run %d", rng.Intn(800))
		add("start all")
		if rng.Intn(2) == 0 {
			order()
		}
		add("want-all-voters 4000") // the shortest time after which a loss stops counting
	}
	add("kill all")
	add("start all")
	add("want-read 9000")
	return lines
}

// TestRepairs plays such scenarios; COMETHOLD_SEEDS is their number.
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
						t.Fatalf("%v, after\n%s", err, strings.Join(lines[:i+1], "\n"))
					}
				}
				if f.newest == 0 {
					t.Error("nothing was acknowledged")
				}
			})
		})
	}
}
