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

// setMachineLosses is `losses N`: sets the number of machine losses that the cells must survive.
func (f *fleet) setMachineLosses(c simulation.Command) error {
	f.machineLosses = c.Int(0)
	return nil
}

// addControlNodes is `core ZONE...`: adds a machine with a disk in each zone, named c1, c2, and so on.
func (f *fleet) addControlNodes(c simulation.Command) error {
	for i, zone := range c.Words {
		m := f.addMachine(&machine{
			name: "c" + strconv.Itoa(i+1), zone: zone, addr: fmt.Sprintf("10.1.0.%d", i+1), hasDisk: true,
		})
		if i < maxSeeds {
			f.seedNodes = append(f.seedNodes, net.JoinHostPort(m.addr, controlPort))
		}
	}
	return nil
}

// addProxies is `proxies ZONE N`: adds N machines without a disk; after `begin` they start at once.
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

// addControlNode is `add NAME ZONE`: adds a machine with a disk and starts it.
func (f *fleet) addControlNode(c simulation.Command) error {
	addr := fmt.Sprintf("10.1.0.%d", 100+len(f.machines))
	f.start(f.addMachine(&machine{name: c.Word(0), zone: c.Word(1), addr: addr, hasDisk: true}))
	return nil
}

// begin is `begin`: starts all machines that do not run yet.
func (f *fleet) begin(simulation.Command) error {
	f.startAll(f.sortedMachines())
	f.started = true
	return nil
}

// advanceTime is `run MS`: lets MS milliseconds of simulated time pass.
func (f *fleet) advanceTime(c simulation.Command) error {
	time.Sleep(c.Milliseconds(0))
	return nil
}

// startCommand is `start NAMES`: starts those of these machines that are down.
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

// killCommand is `kill NAMES`: kills those of these machines that run.
func (f *fleet) killCommand(c simulation.Command) error {
	f.kill(f.machinesNamed(c.Word(0)))
	return nil
}

// kill stops the processes of machines abruptly: they send nothing after it.
func (f *fleet) kill(machines []*machine) {
	var stopping sync.WaitGroup
	for _, m := range machines {
		if m.stop != nil {
			f.network.killMachine(m.addr)
			stopping.Go(m.stop)
		}
	}
	stopping.Wait()
}

// restartInTurn is `restart-in-turn NAMES [gap=]`: stops and starts each of these machines in turn.
func (f *fleet) restartInTurn(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		m.stop()
		time.Sleep(c.OptionDuration("gap", 300))
		f.start(m)
	}
	return nil
}

// loseDiskCommand is `lose-disk NAMES`: deletes the disks of these machines. They must be down.
func (f *fleet) loseDiskCommand(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		if err := f.loseDisk(m); err != nil {
			return err
		}
	}
	return nil
}

// loseDisksOfStopped is `lose-disks-of-dead`: deletes the disks of all machines that are down.
func (f *fleet) loseDisksOfStopped(simulation.Command) error {
	for _, m := range f.sortedMachines() {
		if !m.hasDisk || m.stop != nil {
			continue
		}
		if err := f.loseDisk(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) loseDisk(m *machine) error { return os.RemoveAll(filepath.Join(f.dir, m.name)) }

// setDiskFault is `disk NAMES ok|full|hangs`: sets or clears the fault of these disks.
func (f *fleet) setDiskFault(c simulation.Command) error {
	faults := map[string]simulation.DiskFault{"full": simulation.DiskFull, "hangs": simulation.DiskHanging}
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.diskOf(m).SetFault(faults[c.Word(1)]) // NoFault for "ok"
	}
	return nil
}

// losePower is `lose-power NAMES`: stops these machines at once; directory entries that were not synced
// may be lost.
func (f *fleet) losePower(c simulation.Command) error {
	var stopping sync.WaitGroup
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.network.killMachine(m.addr)
		stopping.Go(func() {
			if m.stop != nil {
				m.stop()
			}
			if m.faultyDisk != nil {
				m.faultyDisk.LosePower()
			}
		})
	}
	stopping.Wait()
	return nil
}

// damageFile is `damage-file NAMES garbage|half|short|nothing|gone`: damages the database file of
// the cells on machines that are down: overwrites it with zeros, truncates it to half, to 5000 bytes or
// to none, or deletes it.
func (f *fleet) damageFile(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		if err := applyFileDamage(filepath.Join(f.dir, m.name, "vault.db"), c.Word(1)); err != nil {
			return err
		}
	}
	return nil
}

func applyFileDamage(path, damage string) error {
	const shortBytes = 5000
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch damage {
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

// changeSeeds is `seeds NAMES RELOADING`: sets the seeds in the settings; the machines RELOADING reload
// them at once, the others use them from their next start on.
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

// nameMachine is `name NAME leader|follower`: gives the alias NAME to the leader's machine, or to a control
// node that is neither the leader nor has an alias yet.
func (f *fleet) nameMachine(c simulation.Command) error {
	leader := f.leaderMachine()
	if leader == nil {
		return errors.New("no control node confirmed its leadership")
	}
	for _, m := range f.sortedMachines() {
		hasAlias := false
		for _, aliased := range f.aliases {
			hasAlias = hasAlias || aliased == m
		}
		isFollower := m != leader && m.controlPlane != nil && !hasAlias
		if c.Word(1) == "leader" && m == leader || c.Word(1) == "follower" && isFollower {
			f.aliases[c.Word(0)] = m
			return nil
		}
	}
	return errors.New("no running control node without an alias has this role")
}

// makeLeader is `make-leader NAMES WITHIN`: makes one of these machines the leader within WITHIN
// milliseconds. While another control node is the leader, it cuts that node off for 2.5 s at a time.
func (f *fleet) makeLeader(c simulation.Command) error {
	return f.waitUntil(c.Milliseconds(1), "one of these machines is the leader", func() bool {
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

// killLeaseHolders is `kill-lease-holder NAME...`: kills the machines that hold these leases.
func (f *fleet) killLeaseHolders(c simulation.Command) error {
	holders, err := f.leaseHolders(c.Words)
	if err != nil {
		return err
	}
	f.kill(holders)
	return nil
}

// killReporter is `kill-reporter`: kills the machine that sent the newest usage report.
func (f *fleet) killReporter(simulation.Command) error {
	m, err := f.reporter()
	if err != nil {
		return err
	}
	f.network.killMachine(m.addr)
	m.stop()
	return nil
}
