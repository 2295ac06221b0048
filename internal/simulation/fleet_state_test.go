package simulation_test

import (
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"comethold/internal/controlplane"
	"comethold/internal/controlplane/latency"
	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/controlplane/schema"
	"comethold/internal/rpc"
	"comethold/internal/simulation"
	"comethold/internal/storage"
)

// maxLogEntries is how many entries a log on disk may hold: the cell's own bound and a pipeline.
const maxLogEntries = 2*64 + 3

// maxLag is how many entries a replica may lack and still count as caught up: the pipeline's length.
const maxLag = 3

// cellViews are the replicas of the machines that run, by address and cell.
type cellViews map[string]map[string]controlplane.CellView

// wantAllVoters is `want-all-voters WITHIN [lost=]`: every cell has all its voters, and all but
// lost of them run and have caught up.
func (f *fleet) wantAllVoters(c simulation.Command) error {
	return f.untilNil(c.Milliseconds(0), "all cells are whole", func() error {
		return f.checkReplicas(int(c.OptionFloat("lost", 0)))
	})
}

// checkReplicas returns an error unless, on every running machine, each cell has all its voters and
// its replica has caught up.
func (f *fleet) checkReplicas(lost int) error {
	live := cellViews{}
	lastApplied := map[string]uint64{}
	for _, m := range f.controlNodes() {
		live[m.addr] = m.controlPlane.Cells()
		for name, cell := range live[m.addr] {
			lastApplied[name] = max(lastApplied[name], cell.Applied)
		}
	}
	if n := len(lastApplied); n < 2+f.extraIndexes {
		return fmt.Errorf("%d cells", n)
	}
	for addr, cells := range live {
		for name, last := range lastApplied {
			cell := cells[name]
			if len(cell.Voters) != 2*f.machineLosses+1 || !cell.MembershipComplete || cell.Applied+maxLag < last {
				return fmt.Errorf("at %s: %s has %d voters, settled %v, applied %d of %d%s",
					addr, name, len(cell.Voters), cell.MembershipComplete, cell.Applied, last, live.describe(name))
			}
			if err := live.checkVoters(addr, name, lost); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkVoters checks that all voters of a cell, as one machine knows them, can vote, except for a
// number whose machines are down.
func (v cellViews) checkVoters(addr, name string, lost int) error {
	away := 0
	for _, voter := range v[addr][name].Voters {
		if v[voter.Addr] == nil && away < lost {
			away++
			continue
		}
		if !v[voter.Addr][name].IsVoter {
			return fmt.Errorf("at %s: %s has a voter %s that doesn't vote%s", addr, name, voter.ID, v.describe(name))
		}
	}
	return nil
}

// describe returns the state of a cell's replica on each machine, one line per machine.
func (v cellViews) describe(name string) string {
	var text strings.Builder
	for _, addr := range slices.Sorted(maps.Keys(v)) {
		cell := v[addr][name]
		fmt.Fprintf(&text, "\n  %s: %v, leader %q, voter %v, applied %d, settled %v, voters %v",
			addr, cell.Role, cell.Leader, cell.IsVoter, cell.Applied, cell.MembershipComplete, cell.Voters)
	}
	return text.String()
}

// wantState is `want-state KILOBYTES NAME [rows=]`: on the disk of a machine that is down, the
// state of the meta cell, its outbox and its log are within their limits.
func (f *fleet) wantState(c simulation.Command) error {
	stored, err := readStoredState(filepath.Join(f.dir, c.Word(1)))
	if err != nil {
		return err
	}
	if stored.bytes > c.Int(0)<<10 || stored.outboxRows > int(c.OptionFloat("rows", 1e6)) {
		return fmt.Errorf("%d bytes: %s", stored.bytes, stored.summary)
	}
	return nil
}

// storedState is the size of the meta cell's state on a disk, and what it consists of.
type storedState struct {
	bytes      int
	outboxRows int
	summary    string
}

func readStoredState(dir string) (stored storedState, err error) {
	store, err := storage.Open(dir, storage.LocalDisk{}, func(error) {})
	if err != nil {
		return stored, err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	state, _, err := store.LoadReplica(schema.MetaCell)
	if err != nil {
		return stored, err
	}
	if state.Snapshot == nil {
		return stored, errors.New("no snapshot")
	}
	if n := len(state.Entries); n > maxLogEntries {
		return stored, fmt.Errorf("%d entries of the log", n)
	}
	raw, err := rpc.Marshal(state.Snapshot)
	if err != nil {
		return stored, err
	}
	bytesOf := map[string]int{}
	keysOf := map[string]int{}
	for key, value := range state.Snapshot.State {
		kind, _, _ := strings.Cut(key, "/")
		bytesOf[kind] += len(key) + len(value.Bytes)
		keysOf[kind]++
	}
	stored.bytes = len(raw)
	stored.outboxRows = keysOf["outbox"]
	stored.summary = fmt.Sprintf("%d packed, %d entries, keys %v, bytes %v",
		len(rpc.EncodeBody(raw)), len(state.Entries), keysOf, bytesOf)
	return stored, nil
}

// wantApplied is `want-applied VERSION NAMES WITHIN`: these control nodes have decided the version.
func (f *fleet) wantApplied(c simulation.Command) error {
	return f.untilNil(c.Milliseconds(2), "the version at "+c.Word(1), func() error {
		for _, m := range f.machinesNamed(c.Word(1)) {
			var view operatorapi.OutboxView
			raw, err := f.get(m, pathOutbox, &view)
			if err != nil || view.AppliedVersions["configuration"] < c.Uint(0) {
				return fmt.Errorf("%.200s", raw)
			}
		}
		return nil
	})
}

// wantBacklog is `want-backlog N WITHIN`: N rows are not published, and every control node has
// decided the newest version.
func (f *fleet) wantBacklog(c simulation.Command) error {
	return f.untilNil(c.Milliseconds(1), "the outbox", func() error {
		for _, m := range f.controlNodes() {
			var view operatorapi.OutboxView
			raw, err := f.get(m, pathOutbox, &view)
			if err != nil || view.Backlog != c.Int(0) || view.AppliedVersions["configuration"] != f.newest {
				return fmt.Errorf("%s: %s", m.name, raw)
			}
		}
		return nil
	})
}

// wantQuarantine is `want-quarantine N REDRIVES WITHIN`: every control node has N cases and
// REDRIVES redrives.
func (f *fleet) wantQuarantine(c simulation.Command) error {
	return f.untilNil(c.Milliseconds(2), "the quarantine", func() error {
		for _, m := range f.controlNodes() {
			var view operatorapi.OutboxView
			raw, err := f.get(m, pathOutbox, &view)
			if err != nil || len(view.Quarantine) != c.Int(0) || len(view.Redrives) != c.Int(1) {
				return fmt.Errorf("%s: %s", m.name, raw)
			}
		}
		return nil
	})
}

// redrive is `redrive EVENT ACTION AT`: redrives the last case whose event ID begins with EVENT, or
// the event of that ID.
func (f *fleet) redrive(c simulation.Command) error {
	m := f.machineNamed(c.Word(2))
	var view operatorapi.OutboxView
	if _, err := f.get(m, pathOutbox, &view); err != nil {
		return err
	}
	eventID := c.Word(0)
	for _, quarantined := range view.Quarantine {
		if strings.HasPrefix(quarantined.EventID, c.Word(0)) {
			eventID = quarantined.EventID
		}
	}
	body := fmt.Sprintf(`{"eventId":%q,"operator":"op","correlationId":"case-1","action":%q}`, eventID, c.Word(1))
	status := f.post(m, "/Notices.Redrive", 0, body)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceStatuses[strconv.Itoa(status)]++
	return nil
}

// enableEstimates is `estimates`: latencies of lookups are collected.
func (f *fleet) enableEstimates(simulation.Command) error {
	f.estimate = true
	return nil
}

// wantEstimates is `want-estimates NODES SAMPLES AT`: NODES proxies answer, and have at least
// SAMPLES samples.
func (f *fleet) wantEstimates(c simulation.Command) error {
	var view latency.View
	raw, err := f.get(f.machineNamed(c.Word(2)), "/Estimates.Read?class=urgent", &view)
	if err != nil {
		return err
	}
	samples := uint64(0)
	for _, replica := range view.Replicas {
		samples += replica.Estimate.Samples
	}
	if view.Nodes != c.Int(0) || samples < c.Uint(1) {
		return fmt.Errorf("%d nodes, %d samples: %.300s", view.Nodes, samples, raw)
	}
	return nil
}

// wantSaved is `want-saved LINES AT`: at least LINES exports are on that disk.
func (f *fleet) wantSaved(c simulation.Command) error {
	var lines []latency.View
	if _, err := f.get(f.machineNamed(c.Word(1)), "/Estimates.Saved", &lines); err != nil {
		return err
	}
	if len(lines) < c.Int(0) {
		return fmt.Errorf("%d lines", len(lines))
	}
	return nil
}
