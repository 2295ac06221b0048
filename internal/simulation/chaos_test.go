package simulation_test

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/proxy"
	"comethold/internal/simulation"
)

const (
	// chaosDuration is how long random faults are injected.
	chaosDuration = 22 * time.Second
	// minDiskLossInterval is the least time between losses of disks. Within it, other replicas become
	// voters in place of the lost ones.
	minDiskLossInterval = 12 * time.Second
	// applyTimeout is how long a proxy in contact with the majority may take to apply the newest configuration.
	applyTimeout = 3 * time.Second
)

// chaosNodes lists the machines with a disk.
var chaosNodes = []string{"c1", "c2", "c3", "c4", "c5", "c6"}

// TestFleetChaos guards against acknowledged changes that are lost, and proxies that return to an older
// configuration, under random faults of machines, disks and network. It runs COMETHOLD_SEEDS seeds, beginning at
// COMETHOLD_FIRST_SEED.
func TestFleetChaos(t *testing.T) {
	first, _ := strconv.Atoi(os.Getenv("COMETHOLD_FIRST_SEED")) // 0 if unset
	for seed := first; seed < first+simulation.SeedCount(1); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			var f *fleet
			defer func() {
				if f == nil {
					return
				}
				if err := f.history.check(); err != nil {
					t.Error(err)
				}
				t.Logf("%d operator calls, %d acknowledged versions", len(f.history.ops), len(f.acknowledged))
			}()
			synctest.Test(t, func(t *testing.T) {
				f = newFleet(t)
				t.Cleanup(f.shutDown)
				newChaos(f, seed).execute()
			})
		})
	}
}

// chaos draws the commands of one run and runs them.
type chaos struct {
	fleet    *fleet
	rng      *rand.Rand
	lines    []string // the commands run so far
	versions map[*proxy.Server]uint64
	// lastDiskLoss is when disks were last lost. The next loss follows after minDiskLossInterval at the earliest.
	lastDiskLoss time.Time
}

func newChaos(f *fleet, seed int) *chaos {
	return &chaos{fleet: f, rng: rand.New(rand.NewSource(int64(seed))), versions: map[*proxy.Server]uint64{}}
}

// do runs a command; if it fails, the test ends and prints all commands run so far.
func (c *chaos) do(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	c.lines = append(c.lines, line)
	command, _ := simulation.Parse(line)
	if err := c.fleet.Do(command); err != nil {
		c.fleet.t.Fatalf("%v, at the last of these commands:\n%s", err, strings.Join(c.lines, "\n"))
	}
}

// pick returns a random one of the words.
func (c *chaos) pick(words ...string) string { return words[c.rng.Intn(len(words))] }

// run advances the simulated time and checks the versions of the proxies meanwhile.
func (c *chaos) run(milliseconds int) {
	c.lines = append(c.lines, fmt.Sprintf("run %d", milliseconds))
	c.advance(time.Duration(milliseconds)*time.Millisecond, func() bool { return false })
}

// runToAcknowledgement advances the simulated time until the next acknowledgement, for at most
// limitMilliseconds, and then for up to 30 ms more.
func (c *chaos) runToAcknowledgement(limitMilliseconds int) {
	start := time.Now()
	before := c.acknowledgements()
	c.advance(time.Duration(limitMilliseconds)*time.Millisecond, func() bool { return c.acknowledgements() > before })
	c.lines = append(c.lines, fmt.Sprintf("run %d", time.Since(start).Milliseconds()))
	c.run(c.rng.Intn(30))
}

func (c *chaos) acknowledgements() int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return len(c.fleet.acknowledged)
}

// advance waits until the time is over or a condition holds. Meanwhile it checks that no proxy returns to
// an older configuration between its start and its stop.
func (c *chaos) advance(span time.Duration, condition func() bool) {
	for end := time.Now().Add(span); time.Now().Before(end) && !condition(); time.Sleep(50 * time.Millisecond) {
		for _, m := range c.fleet.machines {
			version := c.fleet.versionAt(m)
			if m.proxy == nil {
				continue
			}
			if version < c.versions[m.proxy] {
				c.fleet.t.Errorf("%s went back from version %d to the older version %d, want no older one",
					m.name, c.versions[m.proxy], version)
			}
			c.versions[m.proxy] = version
		}
	}
}

// heal ends all faults except lost answers.
func (c *chaos) heal() {
	c.do("heal")
	c.do("packet-loss 0")
	c.do("slow core 0")
	c.do("disk c1,c2,c3,c4,c5,c6 ok")
	c.do("start all")
}

// execute runs a random bootstrap of the cells, then injects random faults while two operators send changes, then
// a final fault. In the end every control node must accept a change and every proxy must apply the newest one.
func (c *chaos) execute() {
	defer func() {
		if c.fleet.t.Failed() {
			c.fleet.t.Log(strings.Join(c.lines, "\n"))
		}
	}()
	c.do("losses 2")
	c.do("core a b c a b c")
	machines := c.fleet.sortedMachines()
	c.do("proxies a 1")
	c.do("list l1")
	kind, faultyNodes := c.drawBootstrap()
	c.do("begin")
	end := time.Now().Add(chaosDuration)
	operators := c.startOperators(machines, end)
	c.lastDiskLoss = time.Now()
	c.runBootstrap(kind, faultyNodes)
	for time.Now().Before(end) {
		c.run(300 + c.rng.Intn(2500))
		if c.rng.Intn(3) == 0 {
			c.runToAcknowledgement(1500)
		}
		c.injectFault()
	}
	operators.Wait()
	c.injectFinalFault()
	c.heal()
	c.do("lose-answers none")
	c.run(3000)
	c.do("want-order c1,c2,c3,c4,c5,c6 15000")
	c.do("want-read 2000")
	c.do("want-config %d 3000", c.fleet.newest)
	c.run(0)
}

// startOperators starts two operators that send changes until the end time.
func (c *chaos) startOperators(machines []*machine, end time.Time) *sync.WaitGroup {
	var working sync.WaitGroup
	for i := range 2 {
		o := &operator{
			fleet:    c.fleet,
			machines: machines,
			rng:      rand.New(rand.NewSource(c.rng.Int63())),
			name:     "o" + strconv.Itoa(i),
			maxPause: 600 * time.Millisecond,
		}
		working.Go(func() { o.runUntil(end) })
	}
	return &working
}

// Kinds of bootstrap: with some control nodes cut off, with a rolling restart, and without a fault.
const (
	bootstrapPartitioned = iota
	bootstrapRollingRestart
	bootstrapKinds = 3
)

// drawBootstrap draws the kind of bootstrap and the control nodes with a fault during it. It cuts them off
// if the kind requires it.
func (c *chaos) drawBootstrap() (kind int, faultyNodes string) {
	kind, faultyNodes = c.rng.Intn(bootstrapKinds), "c1,c2,c3"
	if kind == bootstrapPartitioned {
		faultyNodes = c.pick("c1,c2", "c2,c3", "c1,c4", "c2,c5")
		for name := range strings.SplitSeq(faultyNodes, ",") {
			c.do("%s %s", c.pick("cut", "cut", "cut-outgoing", "cut-incoming"), name)
		}
	}
	return kind, faultyNodes
}

func (c *chaos) runBootstrap(kind int, faultyNodes string) {
	switch kind {
	case bootstrapPartitioned:
		c.run(c.rng.Intn(8000))
		c.do("heal")
		c.runToAcknowledgement(9000)
		if c.rng.Intn(2) == 0 {
			c.do("%s", c.pick("kill all", "lose-power all"))
			c.do("lose-disk %s", faultyNodes)
			c.do("start all")
			c.run(12000)
			c.lastDiskLoss = time.Now()
		}
	case bootstrapRollingRestart:
		c.run(c.rng.Intn(2000))
		c.do("restart-in-turn %s gap=%d", faultyNodes, c.rng.Intn(300))
	default:
		c.run(3000)
	}
}

// injectFault draws and injects one fault. It may also end faults, or check convergence instead.
func (c *chaos) injectFault() {
	names := append([]string(nil), chaosNodes...)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	targets := strings.Join(names[:1+c.rng.Intn(2)], ",")
	switch k := c.rng.Intn(16); {
	case k < 2:
		c.do("%s %s", c.pick("cut", "cut-outgoing", "cut-incoming", "isolate"), targets)
	case k < 4:
		c.do("%s %s", c.pick("cut", "cut-outgoing", "cut-incoming"), strings.Join(names[:3], ","))
	case k < 6:
		c.do("heal")
	case k < 7:
		c.do("%s %s", c.pick("kill", "lose-power"), targets)
		c.run(c.rng.Intn(3000))
		c.do("start %s", targets)
	case k < 8:
		c.do("%s all", c.pick("kill", "lose-power"))
		c.run(c.rng.Intn(500))
		c.do("start all")
	case k < 9:
		c.do("lose-answers %s", c.pick(targets, "core", "none"))
	case k < 10:
		c.do("disk %s %s", targets, c.pick("full", "hangs", "ok"))
	case k < 11:
		c.do("slow %s %d", targets, 100+c.rng.Intn(2000))
	case k < 12:
		c.do("packet-loss 0.%02d", c.rng.Intn(15))
	case k < 13:
		c.do("reset %s", c.pick(targets, "core"))
	case k < 14: // with the two of startOperators: eight changes at once
		c.do("operators 6 c1,c2,c3,c4,c5,c6 400 gap=100 seed=%d", c.rng.Intn(1000))
	case k < 15:
		c.checkConvergence(names[0])
	case time.Since(c.lastDiskLoss) > minDiskLossInterval:
		c.heal()
		c.do("kill %s", c.pick(targets, "all"))
		c.do("lose-disk %s", targets)
		c.do("start all")
		c.run(12000) // other replicas become voters meanwhile
		c.lastDiskLoss = time.Now()
	}
}

// checkConvergence ends all faults and waits until all machines are in contact. Then it checks that a machine
// accepts a change and that every proxy applies the newest configuration within applyTimeout.
func (c *chaos) checkConvergence(name string) {
	c.heal()
	c.do("lose-answers none")
	c.run(5000)
	c.do("want-order %s 5000", name)
	c.fleet.mu.Lock()
	newest := c.fleet.newest
	c.fleet.mu.Unlock()
	for start := time.Now(); ; c.run(20) {
		lagging := c.laggingMachine(newest)
		if lagging == nil {
			return
		}
		if time.Since(start) > applyTimeout {
			c.fleet.t.Errorf("%s has version %d at the apply timeout, want %d", lagging.name, c.fleet.versionAt(lagging), newest)
			return
		}
	}
}

// laggingMachine returns a machine that has not applied a version yet, or nil.
func (c *chaos) laggingMachine(version uint64) *machine {
	for _, m := range c.fleet.machines {
		if c.fleet.versionAt(m) < version {
			return m
		}
	}
	return nil
}

// injectFinalFault stops all machines right after an acknowledgement, deletes some of their disks, and starts
// all machines again.
func (c *chaos) injectFinalFault() {
	if time.Since(c.lastDiskLoss) <= minDiskLossInterval {
		return
	}
	c.heal()
	c.run(4000)
	c.do("lose-answers none")
	c.do("want-order c%d 8000", 1+c.rng.Intn(6))
	c.do("%s", c.pick("kill all", "lose-power all"))
	c.do("lose-disk %s", c.pick("c1,c2", "c3", "c4,c5", "c2,c6", "c1,c5"))
	c.do("start all")
}
