package simulation_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/proxy"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/simulation"
)

// leaderMachine finds the registrar whose lead of the exchange cell a majority confirms.
func (f *fleet) leaderMachine() *machine {
	call := rpc.NewClient(f.network.netOf(operatorAddr))
	for range 100 {
		for _, m := range f.sortedMachines() {
			if m.controlPlane == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			var v struct {
				Confirmed bool `cbor:"1,keyasint"`
			}
			err := call.Call(ctx, net.JoinHostPort(m.addr, strconv.Itoa(f.settingsOf(m).PortOf(settings.ControlPlane))), "/confirm", struct {
				Cell string `cbor:"1,keyasint"`
			}{"exchange"}, &v)
			cancel()
			if err == nil && v.Confirmed {
				return m
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// doOperator carries out the commands about operators.
func (f *fleet) doOperator(c simulation.Command) error {
	number := func(i int) uint64 { n, _ := strconv.ParseUint(c.Word(i), 10, 64); return n }
	within := time.Duration(c.Number("within", 0)) * time.Millisecond
	switch c.Verb {
	case "let": // let NAME proposer|follower: from now on this machine has the name; a follower is one without
		p := f.leaderMachine()
		if p == nil {
			return errors.New("there is no proposer")
		}
		for _, m := range f.sortedMachines() {
			named := false
			for _, a := range f.aliases {
				named = named || a == m
			}
			if c.Word(1) == "proposer" && m == p || c.Word(1) == "follower" && m != p && m.controlPlane != nil && !named {
				f.aliases[c.Word(0)] = m
				return nil
			}
		}
		return errors.New("there is no such machine")
	case "lead": // lead NAMES WITHIN: one of them is the proposer in the end; those that are first are cut off for a while
		return f.until(c.Milliseconds(1), "one of them leads", func() bool {
			p := f.leaderMachine()
			if p == nil || slices.Contains(f.machinesNamed(c.Word(0)), p) {
				return p != nil
			}
			f.cutOff([]*machine{p}, true, true)
			time.Sleep(2500 * time.Millisecond)
			f.heal()
			time.Sleep(500 * time.Millisecond)
			return false
		})
	case "add": // add NAME ZONE: a new machine with a disk
		m := &machine{name: c.Word(0), zone: c.Word(1), addr: fmt.Sprintf("10.1.0.%d", 100+len(f.machines)), disk: true}
		f.machines[m.name] = m
		f.start(m)
	case "lose": // lose NAMES: their answers to operators are lost; lose none
		f.network.mu.Lock()
		defer f.network.mu.Unlock()
		clear(f.network.answersLost)
		if c.Word(0) != "none" {
			for _, m := range f.machinesNamed(c.Word(0)) {
				f.network.answersLost[m.addr] = true
			}
		}
	case "again": // again VERSION BASE NAMES [mark= within=]: the same order, to each of them in turn
		for _, m := range f.machinesNamed(c.Word(2)) {
			f.replaceAt(m, number(0), number(1), c.Options["mark"], within)
		}
	case "series": // series N BASE NAMES: so many in a row, each one number higher, at these machines in turn
		at := f.machinesNamed(c.Word(2))
		for i := range number(0) {
			if v := number(1) + i; f.replaceAt(at[int(i)%len(at)], v+1, v, "", 8*time.Second) != http.StatusOK {
				return fmt.Errorf("%d is not taken", v+1)
			}
		}
	case "want-unclear": // want-unclear NAMES: neither a read nor an order gets a clear answer there
		for i, m := range f.machinesNamed(c.Word(0)) {
			if status, _ := f.call(m, http.MethodGet, "/Configuration.Read", 0, ""); status != 0 && status != http.StatusServiceUnavailable {
				return fmt.Errorf("%s answers a read with %d", m.name, status)
			}
			for _, base := range []uint64{0, f.newest, f.newest + 1} {
				if status := f.post(m, "/Configuration.Replace", base, f.configurationBody(f.newest+1000+base+uint64(i), "lesser")); status != 0 && status != http.StatusServiceUnavailable {
					return fmt.Errorf("%s answers an order on %d with %d", m.name, base, status)
				}
			}
		}
	case "want-order": // want-order NAMES WITHIN: each of them takes an order on top of what it reads
		for _, m := range f.machinesNamed(c.Word(0)) {
			var last []string
			if err := f.until(c.Milliseconds(1), "a read and an order at "+m.name, func() bool {
				v, ok := f.readVersionAt(m)
				status := 0
				if ok {
					status = f.replaceUntilAnswered(m, v, v+1, f.configurationBody(v+1, m.name), 0)
				}
				last = append(last, fmt.Sprintf("read %d (%v), order %d", v, ok, status))
				return status == http.StatusOK
			}); err != nil {
				return fmt.Errorf("%w: %s", err, strings.Join(last, "; "))
			}
		}
	case "operators": // operators N NAMES MS [seed= gap=]: so many at once send and read what they like to these machines
		var wg sync.WaitGroup
		for i := range int(number(0)) {
			o := &operator{f: f, machines: f.machinesNamed(c.Word(1)), rng: rand.New(rand.NewSource(int64(c.Number("seed", 1))*100 + int64(i))), name: "o" + strconv.Itoa(i), gap: c.Number("gap", 300)}
			wg.Go(func() { o.work(time.Now().Add(c.Milliseconds(2))) })
		}
		wg.Wait()
	default:
		return errors.New("unknown command")
	}
	return nil
}

func (f *fleet) readVersionAt(m *machine) (version uint64, ok bool) {
	status, raw := f.call(m, http.MethodGet, "/Configuration.Read", 0, "")
	var v struct {
		Version uint64 `json:"version"`
	}
	switch {
	case status == http.StatusNotFound:
		return 0, true
	case status != http.StatusOK || json.Unmarshal([]byte(raw), &v) != nil:
		return 0, false
	}
	return v.Version, true
}

// operator sends orders as they come: on what it has read, or thinks that it knows; with
// the number that another may pick too; the same ones again, old ones also.
type operator struct {
	f           *fleet
	machines    []*machine
	rng         *rand.Rand
	name        string
	gap         float64
	baseVersion uint64
	sent        []sentReplace
}

type sentReplace struct {
	version, base uint64
	raw           string
}

func (o *operator) work(end time.Time) {
	for time.Now().Before(end) {
		if v, ok := o.f.readVersionAt(o.machines[o.rng.Intn(len(o.machines))]); ok {
			o.baseVersion = v
		}
		s := sentReplace{version: o.baseVersion + 1 + uint64(o.rng.Intn(2)), base: o.baseVersion}
		s.raw = o.f.configurationBody(s.version, o.name)
		if n := len(o.sent); n > 0 && o.rng.Intn(4) == 0 {
			s = o.sent[o.rng.Intn(n)]
		} else {
			o.sent = append(o.sent, s)
		}
		for range 1 + o.rng.Intn(3) { // tries, each at another node
			status := o.f.replaceUntilAnswered(o.machines[o.rng.Intn(len(o.machines))], s.base, s.version, s.raw, 0)
			if status == http.StatusOK {
				o.baseVersion = max(o.baseVersion, s.version)
			}
			if status != 0 && status != http.StatusServiceUnavailable {
				break
			}
		}
		time.Sleep(time.Duration(o.rng.Float64() * o.gap * float64(time.Millisecond)))
	}
}

// TestFleetChaos draws troubles and orders from seeds, COMETHOLD_SEEDS of them.
func TestFleetChaos(t *testing.T) {
	first, _ := strconv.Atoi(os.Getenv("COMETHOLD_FIRST_SEED"))
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
				f.chaos(rand.New(rand.NewSource(int64(seed))))
			})
		})
	}
}

// advance lets time go by, until the next acknowledgement if strike, and checks that no switch
// goes back to an older configuration within one life.
func (f *fleet) advance(span time.Duration, strike bool, lives map[*proxy.Server]uint64) {
	acks := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.acknowledged)
	}
	had := acks()
	for end := time.Now().Add(span); time.Now().Before(end) && !(strike && acks() > had); time.Sleep(50 * time.Millisecond) {
		for _, m := range f.machines {
			if v := f.versionAt(m); m.proxy != nil {
				if v < lives[m.proxy] {
					f.t.Errorf("%s goes back from %d to %d", m.name, lives[m.proxy], v)
				}
				lives[m.proxy] = v
			}
		}
	}
}

// chaos plays what it draws, and prints it if the run fails.
func (f *fleet) chaos(rng *rand.Rand) {
	var lines []string
	do := func(format string, a ...any) {
		line := fmt.Sprintf(format, a...)
		lines = append(lines, line)
		c, _ := simulation.Parse(line)
		if err := f.Do(c); err != nil {
			f.t.Fatalf("%v, at the end of:\n%s", err, strings.Join(lines, "\n"))
		}
	}
	defer func() {
		if f.t.Failed() {
			f.t.Log(strings.Join(lines, "\n"))
		}
	}()
	lives := map[*proxy.Server]uint64{}
	run := func(ms int) {
		lines = append(lines, fmt.Sprintf("run %d", ms))
		f.advance(time.Duration(ms)*time.Millisecond, false, lives)
	}
	strike := func(ms int) { // right after an acknowledgement
		from := time.Now()
		f.advance(time.Duration(ms)*time.Millisecond, true, lives)
		lines = append(lines, fmt.Sprintf("run %d", time.Since(from).Milliseconds()))
		run(rng.Intn(30))
	}
	heal := func() {
		do("join")
		do("lossy 0")
		do("slow core 0")
		do("disk c1,c2,c3,c4,c5,c6 ok")
		do("start all")
	}
	one := func(of ...string) string { return of[rng.Intn(len(of))] }
	do("losses 2")
	do("core a b c a b c")
	at := f.sortedMachines()
	do("switches a 1")
	do("list l1")
	founding, early := rng.Intn(3), "c1,c2,c3"
	if founding == 0 {
		early = one("c1,c2", "c2,c3", "c1,c4", "c2,c5")
		for _, n := range strings.Split(early, ",") {
			do("%s %s", one("cut", "cut", "mute", "deaf"), n)
		}
	}
	do("begin")
	var wg sync.WaitGroup
	end := time.Now().Add(22 * time.Second)
	for i := range 2 {
		o := &operator{f: f, machines: at, rng: rand.New(rand.NewSource(rng.Int63())), name: "o" + strconv.Itoa(i), gap: 600}
		wg.Go(func() { o.work(end) })
	}
	// Disks are lost only where no others were within the time in which seats pass on.
	wiped := time.Now()
	switch founding {
	case 0:
		run(rng.Intn(8000))
		do("join")
		strike(9000)
		if rng.Intn(2) == 0 {
			do("%s", one("kill all", "power all"))
			do("wipe %s", early)
			do("start all")
			run(12000)
			wiped = time.Now()
		}
	case 1:
		run(rng.Intn(2000))
		do("roll %s gap=%d", early, rng.Intn(300))
	default:
		run(3000)
	}
	for time.Now().Before(end) {
		run(300 + rng.Intn(2500))
		if rng.Intn(3) == 0 {
			strike(1500)
		}
		names := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		some := strings.Join(names[:1+rng.Intn(2)], ",")
		switch k := rng.Intn(16); {
		case k < 2:
			do("%s %s", one("cut", "mute", "deaf", "silence"), some)
		case k < 4:
			do("%s %s", one("cut", "mute", "deaf"), strings.Join(names[:3], ","))
		case k < 6:
			do("join")
		case k < 7:
			do("%s %s", one("kill", "power"), some)
			run(rng.Intn(3000))
			do("start %s", some)
		case k < 8:
			do("%s all", one("kill", "power"))
			run(rng.Intn(500))
			do("start all")
		case k < 9:
			do("lose %s", one(some, "core", "none"))
		case k < 10:
			do("disk %s %s", some, one("full", "hangs", "ok"))
		case k < 11:
			do("slow %s %d", some, 100+rng.Intn(2000))
		case k < 12:
			do("lossy 0.%02d", rng.Intn(15))
		case k < 13:
			do("reset %s", one(some, "core"))
		case k < 14: // eight orders at once
			do("operators 6 c1,c2,c3,c4,c5,c6 400 gap=100 seed=%d", rng.Intn(1000))
		case k < 15:
			heal()
			do("lose none")
			run(5000) // in touch by now
			do("want-order %s 5000", names[0])
			f.mu.Lock()
			newest := f.newest
			f.mu.Unlock()
			for from := time.Now(); ; run(20) {
				late := ""
				for _, m := range f.machines {
					if f.versionAt(m) < newest {
						late = m.name
					}
				}
				if late == "" {
					break
				}
				if time.Since(from) > 3*time.Second {
					f.t.Errorf("%s stays with %d, not %d", late, f.versionAt(f.machines[late]), newest)
					break
				}
			}
		case time.Since(wiped) > 12*time.Second:
			heal()
			do("kill %s", one(some, "all"))
			do("wipe %s", some)
			do("start all")
			run(12000) // and the seats pass on
			wiped = time.Now()
		}
	}
	wg.Wait()
	if time.Since(wiped) > 12*time.Second { // the closing fault
		heal()
		run(4000)
		do("lose none")
		do("want-order c%d 8000", 1+rng.Intn(6))
		do("%s", one("kill all", "power all"))
		do("wipe %s", one("c1,c2", "c3", "c4,c5", "c2,c6", "c1,c5"))
		do("start all")
	}
	heal()
	do("lose none")
	run(3000)
	do("want-order c1,c2,c3,c4,c5,c6 15000")
	do("want-read 2000")
	do("want-config %d 3000", f.newest)
	run(0)
}
