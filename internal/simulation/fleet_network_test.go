package simulation_test

import (
	"slices"
	"time"

	"comethold/internal/simulation"
)

// cutBothWays is `cut NAMES`: blocks traffic between these machines and the others with a disk, in both
// directions.
func (f *fleet) cutBothWays(c simulation.Command) error {
	f.cutOff(f.machinesNamed(c.Word(0)), true, true)
	return nil
}

// cutOutgoing is `cut-outgoing NAMES`: blocks traffic from these machines to the others with a disk.
func (f *fleet) cutOutgoing(c simulation.Command) error {
	f.cutOff(f.machinesNamed(c.Word(0)), true, false)
	return nil
}

// cutIncoming is `cut-incoming NAMES`: blocks traffic from the other machines with a disk to these.
func (f *fleet) cutIncoming(c simulation.Command) error {
	f.cutOff(f.machinesNamed(c.Word(0)), false, true)
	return nil
}

// cutOff blocks traffic between machines and the others with a disk, in one direction or both.
func (f *fleet) cutOff(targets []*machine, outgoing, incoming bool) {
	for _, a := range targets {
		for _, b := range f.machines {
			if slices.Contains(targets, b) || !b.hasDisk {
				continue
			}
			if outgoing {
				f.network.block(a.addr, b.addr)
			}
			if incoming {
				f.network.block(b.addr, a.addr)
			}
		}
	}
}

// isolate is `isolate NAMES`: blocks traffic between each of these machines and all other machines, in
// both directions, until heal.
func (f *fleet) isolate(c simulation.Command) error {
	for _, a := range f.machinesNamed(c.Word(0)) {
		for _, b := range f.machines {
			if a != b {
				f.network.blockBothWays(a.addr, b.addr)
			}
		}
	}
	return nil
}

// cutFromPlatform is `cut-from-platform NAME`: blocks traffic between the holder of this lease and
// the platform, until heal.
func (f *fleet) cutFromPlatform(c simulation.Command) error {
	m, err := f.leaseHolder(c.Word(0))
	if err != nil {
		return err
	}
	f.network.blockBothWays(m.addr, platformHost)
	return nil
}

// cutLeaseHolders is `cut-lease-holder NAME...`: cuts the holders of these leases from the other machines
// with a disk.
func (f *fleet) cutLeaseHolders(c simulation.Command) error {
	holders, err := f.leaseHolders(c.Words)
	if err != nil {
		return err
	}
	f.cutOff(holders, true, true)
	return nil
}

// cutReporter is `cut-reporter [platform]`: cuts the machine that sent the newest usage report from the
// other machines with a disk, or from the platform only.
func (f *fleet) cutReporter(c simulation.Command) error {
	m, err := f.reporter()
	if err != nil {
		return err
	}
	if c.Word(0) == "platform" {
		f.network.blockBothWays(m.addr, platformHost)
		return nil
	}
	f.cutOff([]*machine{m}, true, true)
	return nil
}

// heal is `heal [after=MS]`: ends all cuts, now or after MS milliseconds.
func (f *fleet) heal(c simulation.Command) error {
	if after := c.OptionDuration("after", 0); after > 0 {
		time.AfterFunc(after, f.network.heal)
		return nil
	}
	f.network.heal()
	return nil
}

// setPacketLoss is `packet-loss SHARE`: sets the share of packets that are lost.
func (f *fleet) setPacketLoss(c simulation.Command) error {
	f.network.setLossRate(c.Float(0))
	return nil
}

// slowLinks is `slow NAMES KBPS`: limits the links of these machines to KBPS kilobits per second
// in each direction. 0 removes the limit.
func (f *fleet) slowLinks(c simulation.Command) error {
	const bytesPerKilobit = 1000.0 / 8
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.network.setBandwidth(m.addr, float64(c.Uint(1))*bytesPerKilobit)
	}
	return nil
}

// resetConnections is `reset NAMES`: resets all connections of these machines.
func (f *fleet) resetConnections(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.network.resetConnections(m.addr)
	}
	return nil
}

// loseAnswers is `lose-answers NAMES`: drops the answers of these machines to operators;
// `lose-answers none` ends it.
func (f *fleet) loseAnswers(c simulation.Command) error {
	var hosts []string
	if c.Word(0) != "none" {
		for _, m := range f.machinesNamed(c.Word(0)) {
			hosts = append(hosts, m.addr)
		}
	}
	f.network.setAnswersLost(hosts)
	return nil
}
