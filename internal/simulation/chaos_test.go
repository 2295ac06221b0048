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
	// chaosSpan is how long faults are drawn.
	chaosSpan = 22 * time.Second
	// lossesApart is the least time between losses of disks: by then other replicas are voters.
	lossesApart = 12 * time.Second
	// applyLimit is how long a proxy in contact may take to apply the newest configuration.
	applyLimit = 3 * time.Second
)

// chaosNodes are the machines with a disk.
var chaosNodes = []string{"c1", "c2", "c3", "c4", "c5", "c6"}

// TestFleetChaos plays random faults and changes, from COMETHOLD_SEEDS seeds beginning at
// COMETHOLD_FIRST_SEED.
func TestFleetChaos(t *testing.T) {
	first, _ := strconv.Atoi(os.Getenv("COMETHOLD_FIRST_SEED")) // unset: 0
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
				t.Logf("%d calls, %d acknowledged versions", len(f.history.ops), len(f.acknowledged))
			}()
			synctest.Test(t, func(t *testing.T) {
				f = newFleet(t)
				t.Cleanup(f.shutDown)
				newChaos(f, seed).play()
			})
		})
	}
}

// chaos draws the commands of one run and plays them.
type chaos struct {
	fleet    *fleet
	rng      *rand.Rand
	lines    []string // what was played
	versions map[*proxy.Server]uint64
	// Disks are lost only where no others were within lossesApart.
	lastLoss time.Time
}

func newChaos(f *fleet, seed int) *chaos {
	return &chaos{fleet: f, rng: rand.New(rand.NewSource(int64(seed))), versions: map[*proxy.Server]uint64{}}
}

// do plays a command; if it fails the test ends and prints all lines that were played.
func (c *chaos) do(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	c.lines = append(c.lines, line)
	command, _ := simulation.Parse(line)
	if err := c.fleet.Do(command); err != nil {
		c.fleet.t.Fatalf("%v, at the end of:\n%s", err, strings.Join(c.lines, "\n"))
	}
}

// oneOf draws one of the words.
func (c *chaos) oneOf(words ...string) string { return words[c.rng.Intn(len(words))] }

// run lets time pass.
func (c *chaos) run(milliseconds int) {
	c.lines = append(c.lines, fmt.Sprintf("run %d", milliseconds))
	c.advance(time.Duration(milliseconds)*time.Millisecond, func() bool { return false })
}

// runToAcknowledgement lets time pass until just after the next acknowledgement.
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

// advance lets time pass until the end or until a condition holds, and checks that no proxy
// returns to an older configuration within one incarnation.
func (c *chaos) advance(span time.Duration, holds func() bool) {
	for end := time.Now().Add(span); time.Now().Before(end) && !holds(); time.Sleep(50 * time.Millisecond) {
		for _, m := range c.fleet.machines {
			version := c.fleet.versionAt(m)
			if m.proxy == nil {
				continue
			}
			if version < c.versions[m.proxy] {
				c.fleet.t.Errorf("%s goes back from %d to %d", m.name, c.versions[m.proxy], version)
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

// play draws the bootstrap of the cells, then faults while two operators work, then a final fault.
func (c *chaos) play() {
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
	kind, early := c.drawBootstrap()
	c.do("begin")
	end := time.Now().Add(chaosSpan)
	operators := c.startOperators(machines, end)
	c.lastLoss = time.Now()
	c.playBootstrap(kind, early)
	for time.Now().Before(end) {
		c.run(300 + c.rng.Intn(2500))
		if c.rng.Intn(3) == 0 {
			c.runToAcknowledgement(1500)
		}
		c.playFault()
	}
	operators.Wait()
	c.playClosingFault()
	c.heal()
	c.do("lose-answers none")
	c.run(3000)
	c.do("want-order c1,c2,c3,c4,c5,c6 15000")
	c.do("want-read 2000")
	c.do("want-config %d 3000", c.fleet.newest)
	c.run(0)
}

// startOperators starts two operators that send changes until the end.
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
		working.Go(func() { o.work(end) })
	}
	return &working
}

// Kinds of bootstrap.
const (
	bootstrapCut = iota
	bootstrapRolled
	bootstrapKinds = 3
)

// drawBootstrap draws the faults of the bootstrap, and cuts off some of the initial voters before it.
func (c *chaos) drawBootstrap() (kind int, early string) {
	kind, early = c.rng.Intn(bootstrapKinds), "c1,c2,c3"
	if kind == bootstrapCut {
		early = c.oneOf("c1,c2", "c2,c3", "c1,c4", "c2,c5")
		for name := range strings.SplitSeq(early, ",") {
			c.do("%s %s", c.oneOf("cut", "cut", "cut-outgoing", "cut-incoming"), name)
		}
	}
	return kind, early
}

func (c *chaos) playBootstrap(kind int, early string) {
	switch kind {
	case bootstrapCut:
		c.run(c.rng.Intn(8000))
		c.do("heal")
		c.runToAcknowledgement(9000)
		if c.rng.Intn(2) == 0 {
			c.do("%s", c.oneOf("kill all", "lose-power all"))
			c.do("lose-disk %s", early)
			c.do("start all")
			c.run(12000)
			c.lastLoss = time.Now()
		}
	case bootstrapRolled:
		c.run(c.rng.Intn(2000))
		c.do("restart-in-turn %s gap=%d", early, c.rng.Intn(300))
	default:
		c.run(3000)
	}
}

// playFault draws and plays one fault, or ends all faults.
func (c *chaos) playFault() {
	names := append([]string(nil), chaosNodes...)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	some := strings.Join(names[:1+c.rng.Intn(2)], ",")
	switch k := c.rng.Intn(16); {
	case k < 2:
		c.do("%s %s", c.oneOf("cut", "cut-outgoing", "cut-incoming", "isolate"), some)
	case k < 4:
		c.do("%s %s", c.oneOf("cut", "cut-outgoing", "cut-incoming"), strings.Join(names[:3], ","))
	case k < 6:
		c.do("heal")
	case k < 7:
		c.do("%s %s", c.oneOf("kill", "lose-power"), some)
		c.run(c.rng.Intn(3000))
		c.do("start %s", some)
	case k < 8:
		c.do("%s all", c.oneOf("kill", "lose-power"))
		c.run(c.rng.Intn(500))
		c.do("start all")
	case k < 9:
		c.do("lose-answers %s", c.oneOf(some, "core", "none"))
	case k < 10:
		c.do("disk %s %s", some, c.oneOf("full", "hangs", "ok"))
	case k < 11:
		c.do("slow %s %d", some, 100+c.rng.Intn(2000))
	case k < 12:
		c.do("packet-loss 0.%02d", c.rng.Intn(15))
	case k < 13:
		c.do("reset %s", c.oneOf(some, "core"))
	case k < 14: // eight changes at once
		c.do("operators 6 c1,c2,c3,c4,c5,c6 400 gap=100 seed=%d", c.rng.Intn(1000))
	case k < 15:
		c.checkInContact(names[0])
	case time.Since(c.lastLoss) > lossesApart:
		c.heal()
		c.do("kill %s", c.oneOf(some, "all"))
		c.do("lose-disk %s", some)
		c.do("start all")
		c.run(12000) // and other replicas become voters
		c.lastLoss = time.Now()
	}
}

// checkInContact ends all faults and checks that, once all machines are in contact, one accepts a
// change and every proxy applies the newest configuration in time.
func (c *chaos) checkInContact(name string) {
	c.heal()
	c.do("lose-answers none")
	c.run(5000)
	c.do("want-order %s 5000", name)
	c.fleet.mu.Lock()
	newest := c.fleet.newest
	c.fleet.mu.Unlock()
	for start := time.Now(); ; c.run(20) {
		late := c.lateMachine(newest)
		if late == nil {
			return
		}
		if time.Since(start) > applyLimit {
			c.fleet.t.Errorf("%s stays with %d, not %d", late.name, c.fleet.versionAt(late), newest)
			return
		}
	}
}

// lateMachine returns a machine that has not applied a version yet, or nil.
func (c *chaos) lateMachine(version uint64) *machine {
	for _, m := range c.fleet.machines {
		if c.fleet.versionAt(m) < version {
			return m
		}
	}
	return nil
}

// playClosingFault stops all machines right after an acknowledgement, and loses some disks.
func (c *chaos) playClosingFault() {
	if time.Since(c.lastLoss) <= lossesApart {
		return
	}
	c.heal()
	c.run(4000)
	c.do("lose-answers none")
	c.do("want-order c%d 8000", 1+c.rng.Intn(6))
	c.do("%s", c.oneOf("kill all", "lose-power all"))
	c.do("lose-disk %s", c.oneOf("c1,c2", "c3", "c4,c5", "c2,c6", "c1,c5"))
	c.do("start all")
}
