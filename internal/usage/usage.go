// Package usage counts what tenants have run, over all nodes, by windows of true time.
// Counts only grow and name the life of the node that made them, so a message that is
// repeated, late or comes by two ways changes nothing. The package does no input or
// output.
package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"
)

// Counts are requests by tenant.
type Counts map[string]uint64

// Windows are counts by the number of their window.
type Windows map[uint64]Counts

// CountReport is a datagram of a node to a registrar: the counts that the registrar may not
// know, each whole so far. One without counts asks for the time alone.
type CountReport struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	Sequence    uint64  `cbor:"2,keyasint"`
	Windows     Windows `cbor:"3,keyasint,omitempty"`
}

// CountAck answers a Tally: what was in it is known to the life of a registrar, whose
// agreed time it is, if there is one.
type CountAck struct {
	Sequence    uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	UnixNanos   int64  `cbor:"3,keyasint,omitempty"` // nanoseconds since 1970
}

// WindowAt is the number of the window that a moment of true time lies in.
func WindowAt(at time.Time, length time.Duration) uint64 {
	return uint64(at.UnixNano() / int64(length))
}

// WindowEnd is when a window ends.
func WindowEnd(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Counter counts at one node.
type Counter struct {
	incarnation  uint64
	windowLength time.Duration

	mu             sync.Mutex
	windows        map[uint64]map[string]*count
	sequence       uint64
	unacknowledged map[uint64]Windows // by sequence number: not noted yet
	acknowledgedBy uint64             // the life of the registrar that noted what is noted
}

type count struct{ total, acknowledged uint64 }

const (
	// retainedWindows is how many windows a node and a registrar remember.
	retainedWindows = 40
	// maxCountsPerReport bounds the counts in a datagram, and mostSent the datagrams remembered.
	maxCountsPerReport = 250
	maxUnacknowledged  = 32
)

// NewCounter makes a meter for one life of a node. Its tallies are numbered from the life's
// own number on: an answer to a former life at the same port answers none of them.
func NewCounter(life uint64, length time.Duration) *Counter {
	return &Counter{incarnation: life, sequence: life, windowLength: length, windows: map[uint64]map[string]*count{}, unacknowledged: map[uint64]Windows{}}
}

// Add counts a request of a tenant that began to run at a moment of true time.
func (m *Counter) Add(tenant string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := WindowAt(at, m.windowLength)
	if m.windows[w] == nil {
		m.windows[w] = map[string]*count{}
		for old := range m.windows {
			if old+retainedWindows < w {
				delete(m.windows, old)
			}
		}
	}
	c := m.windows[w][tenant]
	if c == nil {
		c = &count{}
		m.windows[w][tenant] = c
	}
	c.total++
}

// NextReport makes the next tally. Without counts to tell it has none.
func (m *Counter) NextReport() *CountReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	t := &CountReport{Incarnation: m.incarnation, Sequence: m.sequence, Windows: Windows{}}
	n := 0
	// Newest first: after a change of the registrar all is told again, and the oldest
	// were reported long ago.
	for _, w := range slices.Backward(slices.Sorted(maps.Keys(m.windows))) {
		for tenant, c := range m.windows[w] {
			if c.total > c.acknowledged && n < maxCountsPerReport {
				if t.Windows[w] == nil {
					t.Windows[w] = Counts{}
				}
				t.Windows[w][tenant] = c.total
				n++
			}
		}
	}
	if n > 0 {
		m.unacknowledged[m.sequence] = t.Windows
		delete(m.unacknowledged, m.sequence-maxUnacknowledged)
	}
	return t
}

// Acknowledge takes an answer. Another life of a registrar, or another registrar, knows
// nothing of what was noted before.
func (m *Counter) Acknowledge(a *CountAck) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Incarnation != m.acknowledgedBy {
		m.acknowledgedBy = a.Incarnation
		for _, by := range m.windows {
			for _, c := range by {
				c.acknowledged = 0
			}
		}
	}
	for w, by := range m.unacknowledged[a.Sequence] {
		for tenant, n := range by {
			if c := m.windows[w][tenant]; c != nil {
				c.acknowledged = max(c.acknowledged, n)
			}
		}
	}
	delete(m.unacknowledged, a.Sequence)
}

// Store holds the tallies that a registrar has heard.
type Store struct {
	mu      sync.Mutex
	windows map[uint64]IncarnationCounts
	changed map[uint64]bool // since they were asked for
}

// IncarnationCounts are the counts of one window by the life of the node.
type IncarnationCounts map[uint64]Counts

// NewStore makes an empty book.
func NewStore() *Store {
	return &Store{windows: map[uint64]IncarnationCounts{}, changed: map[uint64]bool{}}
}

// Add takes a tally in.
func (b *Store) Add(t *CountReport) {
	for w, by := range t.Windows {
		b.Merge(w, IncarnationCounts{t.Incarnation: by})
	}
}

// Merge takes in what is known of a window.
func (b *Store) Merge(window uint64, l IncarnationCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.windows[window] == nil {
		b.windows[window] = IncarnationCounts{}
	}
	b.windows[window].merge(l)
	b.changed[window] = true
}

// TakeChanged lists the windows from one on that have changed since the last call.
func (b *Store) TakeChanged(from uint64) (out []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w := range b.changed {
		if w >= from {
			out = append(out, w)
		}
	}
	clear(b.changed)
	return out
}

// merge takes the greater of each count.
func (l IncarnationCounts) merge(o IncarnationCounts) {
	for life, by := range o {
		if l[life] == nil {
			l[life] = Counts{}
		}
		for tenant, n := range by {
			l[life][tenant] = max(l[life][tenant], n)
		}
	}
}

// Window returns what is known of a window.
func (b *Store) Window(window uint64) IncarnationCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := IncarnationCounts{}
	out.merge(b.windows[window])
	return out
}

// WindowsFrom lists the windows from one on of which something is known.
func (b *Store) WindowsFrom(from uint64) (out []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w := range maps.Keys(b.windows) {
		if w >= from {
			out = append(out, w)
		}
	}
	return out
}

// RemoveOld forgets windows long before this one.
func (b *Store) RemoveOld(now uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w := range b.windows {
		if w+retainedWindows < now {
			delete(b.windows, w)
		}
	}
}

// Total adds up what several registrars know of a window: of each life the greatest count
// that any of them heard.
func Total(books ...IncarnationCounts) Counts {
	all := IncarnationCounts{}
	for _, l := range books {
		all.merge(l)
	}
	out := Counts{}
	for _, by := range all {
		for tenant, n := range by {
			out[tenant] += n
		}
	}
	return out
}

// EncodeReport makes the bytes of a window's report.
func EncodeReport(window uint64, c Counts) []byte {
	raw, err := json.Marshal(struct {
		WindowNumber   uint64 `json:"windowNumber"`
		InstanceCounts Counts `json:"instanceCounts"`
	}{window, c})
	if err != nil {
		panic(err) // numbers and texts always encode
	}
	return raw
}
