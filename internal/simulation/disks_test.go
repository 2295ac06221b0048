package simulation_test

import (
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	"comethold/internal/simulation"
)

// TestChaosOfDiskFaultsDuringChanges checks that no acknowledged change is lost if disks, links or power fail
// while changes are in progress. It draws faults of one machine at a time and power losses of all machines; at
// the end every machine must have all acknowledged changes. COMETHOLD_SEEDS is the number of runs.
func TestChaosOfDiskFaultsDuringChanges(t *testing.T) {
	for seed := range simulation.SeedCount(1) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.seed = int64(seed)
				t.Cleanup(f.shutDown)
				run := &diskFaultRun{fleet: f, rng: rand.New(rand.NewSource(int64(seed)))}
				run.execute()
			})
		})
	}
}

// diskFaultRun draws the commands of one run and runs them.
type diskFaultRun struct {
	fleet *fleet
	rng   *rand.Rand
}

func (d *diskFaultRun) do(format string, args ...any) {
	c, _ := simulation.Parse(fmt.Sprintf(format, args...))
	if err := d.fleet.Do(c); err != nil {
		d.fleet.t.Errorf("%s: %v", c.Line, err)
	}
}

func (d *diskFaultRun) execute() {
	d.do("core a b c")
	d.do("list l1")
	d.do("routes 5")
	d.do("begin")
	version := 1
	for range 3 {
		version += d.runRound(version)
	}
	d.do("want-read 9000")
	d.do("want-applied %d all 9000", version-1)
}

// runRound injects faults into one machine's disk, link or power, while another machine accepts
// changes that start with the given version. It returns the number of changes.
func (d *diskFaultRun) runRound(version int) int {
	faulty := d.rng.Intn(3)
	changes := 1 + d.rng.Intn(90)
	healthy := 1 + (faulty+1)%3
	name := fmt.Sprintf("c%d", faulty+1)
	gap := 5 + d.rng.Intn(20)
	var updates sync.WaitGroup
	updates.Go(func() { d.do("replace-series %d %d c%d gap=%d within=30000", version, changes, healthy, gap) })
	for range 1 + d.rng.Intn(3) {
		d.do("run %d", d.rng.Intn(900))
		d.injectFault(name)
	}
	updates.Wait()
	d.do("disk all ok")
	d.do("start all")
	d.do("run %d", d.rng.Intn(2000))
	d.do("slow all 0")
	return changes
}

func (d *diskFaultRun) injectFault(name string) {
	switch d.rng.Intn(7) {
	case 0:
		d.do("kill %s", name)
	case 1:
		d.do("lose-power %s", name)
	case 2:
		d.do("disk %s full", name)
	case 3:
		d.do("disk %s hangs", name)
	case 4:
		d.do("slow %s %d", name, 50+d.rng.Intn(1000))
	case 5:
		d.do("lose-power all")
		d.do("start all")
	case 6:
		d.do("start %s", name)
	}
}
