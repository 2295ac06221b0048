package simulation_test

import (
	"slices"
	"time"

	"comethold/internal/simulation"
)

// cutBothWays is `cut NAMES`: cuts them from the other machines with a disk, in both directions.
func (f *fleet) cutBothWays(c simulation.Command) error {
	f.cutOff(f.machinesNamed(c.Word(0)), true, true)
	return nil
}

// cutOutgoing is `cut-outgoing NAMES`: nothing that they send reaches the other machines with a disk.
func (f *fleet) cutOutgoing(c simulation.Command) error {
	f.cutOff(f.machinesNamed(c.Word(0)), true, false)
	return nil
}

// cutIncoming is `cut-incoming NAMES`: nothing that the other machines with a disk send reaches them.
func (f *fleet) cutIncoming(c simulation.Command) error {
	f.cutOff(f.machinesNamed(c.Word(0)), false, true)
	return nil
}

// cutOff cuts machines from the others with a disk, in one direction or both.
func (f *fleet) cutOff(apart []*machine, outgoing, incoming bool) {
	for _, a := range apart {
		for _, b := range f.machines {
			if slices.Contains(apart, b) || !b.disk {
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

// isolate is `isolate NAMES`: cuts them from all other machines, in both directions, until heal.
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

// cutFromPlatform is `cut-from-platform NAME`: cuts the owner of this lease from the platform
// only, until heal.
func (f *fleet) cutFromPlatform(c simulation.Command) error {
	m, err := f.leaseHolder(c.Word(0))
	if err != nil {
		return err
	}
	f.network.blockBothWays(m.addr, platformHost)
	return nil
}

// cutLeaseHolders is `cut-lease-holder NAME...`: the machines that hold these leases.
func (f *fleet) cutLeaseHolders(c simulation.Command) error {
	holders, err := f.leaseHolders(c.Words)
	if err != nil {
		return err
	}
	f.cutOff(holders, true, true)
	return nil
}

// cutReporter is `cut-reporter [platform]`: the machine that sent the newest usage report is
// cut from the other machines with a disk, or from the platform alone.
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

// heal is `heal [after=MS]`: ends all cuts.
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
// in each direction; 0: no limit.
func (f *fleet) slowLinks(c simulation.Command) error {
	const bytesPerKilobit = 1000.0 / 8
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.network.setBandwidth(m.addr, float64(c.Uint(1))*bytesPerKilobit)
	}
	return nil
}

// resetConnections is `reset NAMES`: all their connections end at once.
func (f *fleet) resetConnections(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		f.network.resetConnections(m.addr)
	}
	return nil
}

// loseAnswers is `lose-answers NAMES`: their answers to operators are lost; `lose-answers none` ends it.
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
