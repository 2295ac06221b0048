package simulation_test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"comethold/internal/simulation"
)

// setMachineLosses is `losses N`: how many machines the cells must be able to lose.
func (f *fleet) setMachineLosses(c simulation.Command) error {
	f.machineLosses = c.Int(0)
	return nil
}

// addControlNodes is `core ZONE...`: a machine with a disk in each.
func (f *fleet) addControlNodes(c simulation.Command) error {
	for i, zone := range c.Words {
		m := f.addMachine(&machine{
			name: "c" + strconv.Itoa(i+1), zone: zone, addr: fmt.Sprintf("10.1.0.%d", i+1), disk: true,
		})
		if i < maxSeeds {
			f.seedNodes = append(f.seedNodes, net.JoinHostPort(m.addr, controlPort))
		}
	}
	return nil
}

// addProxies is `proxies ZONE N`: N machines without a disk, also later in a run.
func (f *fleet) addProxies(c simulation.Command) error {
	for range c.Int(1) {
		n := len(f.machines) + 1
		m := f.addMachine(&machine{name: fmt.Sprintf("s%d", n), zone: c.Word(0), addr: fmt.Sprintf("10.2.0.%d", n)})
		if f.started {
			f.start(m)
		}
	}
	return nil
}

// addControlNode is `add NAME ZONE`: a new machine with a disk, which starts at once.
func (f *fleet) addControlNode(c simulation.Command) error {
	addr := fmt.Sprintf("10.1.0.%d", 100+len(f.machines))
	f.start(f.addMachine(&machine{name: c.Word(0), zone: c.Word(1), addr: addr, disk: true}))
	return nil
}

// begin is `begin`: starts all machines that were not started before.
func (f *fleet) begin(simulation.Command) error {
	f.startAll(f.sortedMachines())
	f.started = true
	return nil
}

// letTimePass is `run MS`.
func (f *fleet) letTimePass(c simulation.Command) error {
	time.Sleep(c.Milliseconds(0))
	return nil
}

// startCommand is `start NAMES`.
func (f *fleet) startCommand(c simulation.Command) error {
	f.startAll(f.machinesNamed(c.Word(0)))
	return nil
}

// startAll starts the machines that are down.
func (f *fleet) startAll(machines []*machine) {
	for _, m := range machines {
		if m.stop == nil {
			f.start(m)
		}
	}
}

// killCommand is `kill NAMES`.
func (f *fleet) killCommand(c simulation.Command) error {
	f.kill(f.machinesNamed(c.Word(0)))
	return nil
}

// kill ends the processes of machines at once: they send nothing more.
func (f *fleet) kill(machines []*machine) {
	var ending sync.WaitGroup
	for _, m := range machines {
		if m.stop != nil {
			f.network.killMachine(m.addr)
			ending.Go(m.stop)
		}
	}
	ending.Wait()
}

// restartInTurn is `restart-in-turn NAMES [gap=]`: each is ended and started again in turn.
func (f *fleet) restartInTurn(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		m.stop()
		time.Sleep(c.OptionDuration("gap", 300))
		f.start(m)
	}
	return nil
}

// loseDiskCommand is `lose-disk NAMES`: machines that are down lose their disks.
func (f *fleet) loseDiskCommand(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		if err := f.loseDisk(m); err != nil {
			return err
		}
	}
	return nil
}

// loseDisksOfDead is `lose-disks-of-dead`: all machines that are down lose their disks.
func (f *fleet) loseDisksOfDead(simulation.Command) error {
	for _, m := range f.sortedMachines() {
		if !m.disk || m.stop != nil {
			continue
		}
		if err := f.loseDisk(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) loseDisk(m *machine) error { return os.RemoveAll(filepath.Join(f.dir, m.name)) }

// setDiskFault is `disk NAMES ok|full|hangs`.
func (f *fleet) setDiskFault(c simulation.Command) error {
	faults := map[string]simulation.DiskFault{"full": simulation.DiskFull, "hangs": simulation.DiskHanging}
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.diskOf(m).SetFault(faults[c.Word(1)]) // "ok" has none
	}
	return nil
}

// losePower is `lose-power NAMES`: they lose power; file names that were not synced may be lost.
func (f *fleet) losePower(c simulation.Command) error {
	var ending sync.WaitGroup
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.network.killMachine(m.addr)
		ending.Go(func() {
			if m.stop != nil {
				m.stop()
			}
			if m.diskState != nil {
				m.diskState.LosePower()
			}
		})
	}
	ending.Wait()
	return nil
}

// damageFile is `damage-file NAMES garbage|half|short|nothing|gone`: damages the file of the cells
// on machines that are down; the last word is what is left of it.
func (f *fleet) damageFile(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		if err := tearFile(filepath.Join(f.dir, m.name, "vault.db"), c.Word(1)); err != nil {
			return err
		}
	}
	return nil
}

func tearFile(path, how string) error {
	const shortBytes = 5000
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch how {
	case "garbage":
		clear(raw)
	case "half":
		raw = raw[:len(raw)/2]
	case "short":
		raw = raw[:shortBytes]
	case "nothing":
		raw = nil
	case "gone":
		return os.Remove(path)
	}
	return os.WriteFile(path, raw, 0o600)
}

// changeSeeds is `seeds NAMES RELOADING`: sets the seeds in the settings; the machines RELOADING
// reload their settings at once.
func (f *fleet) changeSeeds(c simulation.Command) error {
	f.seedNodes = nil
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.seedNodes = append(f.seedNodes, net.JoinHostPort(m.addr, controlPort))
	}
	for _, m := range f.machinesNamed(c.Word(1)) {
		m.proxy.Reload(f.settingsOf(m))
		if m.controlPlane != nil {
			m.controlPlane.Reload(f.settingsOf(m))
		}
	}
	return nil
}

// nameMachine is `name NAME leader|follower`: from now on the leader's machine, or a
// control node that is neither the leader nor has another name yet, has this name.
func (f *fleet) nameMachine(c simulation.Command) error {
	leader := f.leaderMachine()
	if leader == nil {
		return errors.New("there is no leader")
	}
	for _, m := range f.sortedMachines() {
		isNamed := false
		for _, other := range f.aliases {
			isNamed = isNamed || other == m
		}
		isFollower := m != leader && m.controlPlane != nil && !isNamed
		if c.Word(1) == "leader" && m == leader || c.Word(1) == "follower" && isFollower {
			f.aliases[c.Word(0)] = m
			return nil
		}
	}
	return errors.New("there is no such machine")
}

// makeLeader is `make-leader NAMES WITHIN`: makes one of them the leader; other machines that
// become leader before are cut off for a while.
func (f *fleet) makeLeader(c simulation.Command) error {
	return f.until(c.Milliseconds(1), "one of them leads", func() bool {
		leader := f.leaderMachine()
		if leader == nil || slices.Contains(f.machinesNamed(c.Word(0)), leader) {
			return leader != nil
		}
		f.cutOff([]*machine{leader}, true, true)
		time.Sleep(2500 * time.Millisecond)
		f.network.heal()
		time.Sleep(500 * time.Millisecond)
		return false
	})
}

// killLeaseHolders is `kill-lease-holder NAME...`: the machines that hold these leases.
func (f *fleet) killLeaseHolders(c simulation.Command) error {
	holders, err := f.leaseHolders(c.Words)
	if err != nil {
		return err
	}
	f.kill(holders)
	return nil
}

// killReporter is `kill-reporter`: the machine that sent the newest usage report.
func (f *fleet) killReporter(simulation.Command) error {
	m, err := f.reporter()
	if err != nil {
		return err
	}
	f.network.killMachine(m.addr)
	m.stop()
	return nil
}
