package main

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

var errEnded = errors.New("the fleet has ended")

func (f *fleet) hasEnded() bool {
	select {
	case <-f.gone:
		return true
	default:
		return false
	}
}

// end sends a signal that ends a process for good, or until start is called again, and returns
// when it has ended.
func (p *process) end(sig syscall.Signal) {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	p.fleet.record.line("script: %v to %s on %s", sig, p.role, p.machine.name)
	_ = cmd.Process.Signal(sig)
	for syscall.Kill(cmd.Process.Pid, 0) == nil {
		time.Sleep(5 * time.Millisecond)
	}
	p.fleet.record.line("script: %s on %s has ended", p.role, p.machine.name)
}

// removeDisk empties the data directory of a process.
func (p *process) removeDisk() error {
	dir := filepath.Join(p.fleet.dir, "data", p.machine.name, p.role)
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	p.fleet.record.line("script: the disk of %s is lost", p.machine.name)
	return os.MkdirAll(dir, 0o700)
}

// process returns the process of a role.
func (m *machine) process(role string) *process {
	for _, p := range m.procs {
		if p.role == role {
			return p
		}
	}
	return nil
}

// add adds a machine with the roles of another one, at a new address and with an empty disk.
func (f *fleet) add(like *machine) (*machine, error) {
	number := len(f.machines) + 1
	added := &machine{
		name: "frontend-" + strconv.Itoa(number), addr: f.subnet + strconv.Itoa(number), zone: like.zone,
	}
	f.record.line("script: %s is added at %s", added.name, added.addr)
	for _, old := range like.procs {
		p := &process{fleet: f, machine: added, role: old.role, args: old.args}
		p.settings = filepath.Join(f.dir, added.name+"-"+p.role+".toml")
		if err := os.MkdirAll(filepath.Join(f.dir, "data", added.name, p.role), 0o700); err != nil {
			return nil, err
		}
		if err := os.WriteFile(p.settings, []byte(f.settingsText(added, p.role, false)), 0o600); err != nil {
			return nil, err
		}
		added.procs = append(added.procs, p)
	}
	f.machines = append(f.machines, added)
	for _, p := range added.procs {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return added, nil
}
