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

// maxLogEntries is the highest allowed number of log entries on disk: the cell's limit plus a full pipeline.
const maxLogEntries = 2*64 + 3

// maxLag is the number of entries by which a caught-up replica may lag: the pipeline's length.
const maxLag = 3

// cellViews holds the state of the replicas on running machines, by address and cell.
type cellViews map[string]map[string]controlplane.CellView

// wantAllVoters is `want-all-voters WITHIN [lost=]`: waits up to WITHIN milliseconds until every cell has all
// its voters, and all but lost of them run and have caught up.
func (f *fleet) wantAllVoters(c simulation.Command) error {
	return f.waitUntilNil(c.Milliseconds(0), "every cell has all its voters, caught up", func() error {
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
		return fmt.Errorf("control nodes have %d cells, want at least %d", n, 2+f.extraIndexes)
	}
	for addr, cells := range live {
		for name, last := range lastApplied {
			cell := cells[name]
			if len(cell.Voters) != 2*f.machineLosses+1 || !cell.MembershipComplete || cell.Applied+maxLag < last {
				return fmt.Errorf("at %s: cell %s has %d voters, want %d; membership complete %v, applied %d of %d entries%s",
					addr, name, len(cell.Voters), 2*f.machineLosses+1, cell.MembershipComplete, cell.Applied, last,
					live.describe(name))
			}
			if err := live.checkVoters(addr, name, lost); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkVoters returns an error unless all voters of a cell, as one machine knows them, can vote. Up to
// lost of them may be on machines that are down.
func (v cellViews) checkVoters(addr, name string, lost int) error {
	down := 0
	for _, voter := range v[addr][name].Voters {
		if v[voter.Addr] == nil && down < lost {
			down++
			continue
		}
		if !v[voter.Addr][name].IsVoter {
			return fmt.Errorf("at %s: cell %s has a voter %s that is no voter on its own machine%s",
				addr, name, voter.ID, v.describe(name))
		}
	}
	return nil
}

// describe returns the state of a cell's replica on each machine, one line per machine.
func (v cellViews) describe(name string) string {
	var text strings.Builder
	for _, addr := range slices.Sorted(maps.Keys(v)) {
		cell := v[addr][name]
		fmt.Fprintf(&text, "\n  %s: %v, leader %q, voter %v, applied %d, membership complete %v, voters %v",
			addr, cell.Role, cell.Leader, cell.IsVoter, cell.Applied, cell.MembershipComplete, cell.Voters)
	}
	return text.String()
}

// wantStateSize is `want-state KILOBYTES NAME [rows=]`: checks the disk of a stopped machine. The meta cell's state
// must have at most KILOBYTES KiB, its outbox at most the given rows, and its log at most maxLogEntries.
func (f *fleet) wantStateSize(c simulation.Command) error {
	stored, err := readStoredState(filepath.Join(f.dir, c.Word(1)))
	if err != nil {
		return err
	}
	if stored.bytes > c.Int(0)<<10 || stored.outboxRows > int(c.OptionFloat("rows", 1e6)) {
		return fmt.Errorf("meta cell's stored state has %d bytes and %d outbox rows, want at most %s KiB and %v rows: %s",
			stored.bytes, stored.outboxRows, c.Word(0), c.OptionFloat("rows", 1e6), stored.summary)
	}
	return nil
}

// storedState is the size of the meta cell's state on a disk, with a summary of its keys.
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
		return stored, errors.New("the meta cell has no stored snapshot")
	}
	if n := len(state.Entries); n > maxLogEntries {
		return stored, fmt.Errorf("meta cell's log has %d entries, want at most %d", n, maxLogEntries)
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
	stored.summary = fmt.Sprintf("%d bytes encoded, %d log entries, keys %v, bytes %v",
		len(rpc.EncodeBody(raw)), len(state.Entries), keysOf, bytesOf)
	return stored, nil
}

// wantApplied is `want-applied VERSION NAMES WITHIN`: waits up to WITHIN milliseconds until these control nodes
// have applied the notification of the configuration VERSION or of a later one.
func (f *fleet) wantApplied(c simulation.Command) error {
	return f.waitUntilNil(c.Milliseconds(2), "the configuration version is applied at "+c.Word(1), func() error {
		for _, m := range f.machinesNamed(c.Word(1)) {
			var view operatorapi.OutboxView
			raw, err := f.get(m, pathOutbox, &view)
			if err != nil || view.AppliedVersions["configuration"] < c.Uint(0) {
				return fmt.Errorf("%s reports the outbox %.200s, want configuration version %d applied", m.name, raw, c.Uint(0))
			}
		}
		return nil
	})
}

// wantBacklog is `want-backlog N WITHIN`: waits up to WITHIN milliseconds until the outbox has N unpublished
// rows and every control node has applied the notification of the highest acknowledged version.
func (f *fleet) wantBacklog(c simulation.Command) error {
	return f.waitUntilNil(c.Milliseconds(1), "outbox backlog and applied version", func() error {
		for _, m := range f.controlNodes() {
			var view operatorapi.OutboxView
			raw, err := f.get(m, pathOutbox, &view)
			if err != nil || view.Backlog != c.Int(0) || view.AppliedVersions["configuration"] != f.newest {
				return fmt.Errorf("%s reports the outbox %s, want backlog %d and configuration version %d applied",
					m.name, raw, c.Int(0), f.newest)
			}
		}
		return nil
	})
}

// wantQuarantine is `want-quarantine N REDRIVES WITHIN`: waits up to WITHIN milliseconds until every control
// node has N quarantined notifications and REDRIVES redrives.
func (f *fleet) wantQuarantine(c simulation.Command) error {
	return f.waitUntilNil(c.Milliseconds(2), "number of quarantined notifications and redrives", func() error {
		for _, m := range f.controlNodes() {
			var view operatorapi.OutboxView
			raw, err := f.get(m, pathOutbox, &view)
			if err != nil || len(view.Quarantine) != c.Int(0) || len(view.Redrives) != c.Int(1) {
				return fmt.Errorf("%s reports the outbox %s, want %d quarantined notifications and %d redrives",
					m.name, raw, c.Int(0), c.Int(1))
			}
		}
		return nil
	})
}

// redrive is `redrive EVENT ACTION AT`: redrives the last quarantined notification whose event ID begins with
// EVENT, or the notification with the event ID EVENT if none does.
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

// enableEstimates is `estimates`: enables the collection of lookup latencies in the settings.
func (f *fleet) enableEstimates(simulation.Command) error {
	f.estimate = true
	return nil
}

// wantEstimates is `want-estimates NODES SAMPLES AT`: checks that the estimates come from NODES proxies
// and at least SAMPLES samples.
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
		return fmt.Errorf("estimates come from %d nodes and %d samples, want %d nodes and at least %d samples: %.300s",
			view.Nodes, samples, c.Int(0), c.Uint(1), raw)
	}
	return nil
}

// wantSavedEstimates is `want-saved LINES AT`: checks that at least LINES lines of saved estimates are on the
// disk of the machine AT.
func (f *fleet) wantSavedEstimates(c simulation.Command) error {
	var lines []latency.View
	if _, err := f.get(f.machineNamed(c.Word(1)), "/Estimates.Saved", &lines); err != nil {
		return err
	}
	if len(lines) < c.Int(0) {
		return fmt.Errorf("%d lines of saved estimates are on disk, want at least %d", len(lines), c.Int(0))
	}
	return nil
}
