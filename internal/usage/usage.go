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

// Tally is a datagram of a node to a registrar: the counts that the registrar may not
// know, each whole so far. One without counts asks for the time alone.
type Tally struct {
	Life  uint64  `cbor:"1,keyasint"`
	Seq   uint64  `cbor:"2,keyasint"`
	Parts Windows `cbor:"3,keyasint,omitempty"`
}

// Noted answers a Tally: what was in it is known to the life of a registrar, whose
// agreed time it is, if there is one.
type Noted struct {
	Seq  uint64 `cbor:"1,keyasint"`
	Life uint64 `cbor:"2,keyasint"`
	Now  int64  `cbor:"3,keyasint,omitempty"` // nanoseconds since 1970
}

// WindowOf is the number of the window that a moment of true time lies in.
func WindowOf(at time.Time, length time.Duration) uint64 {
	return uint64(at.UnixNano() / int64(length))
}

// EndOf is when a window ends.
func EndOf(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Meter counts at one node.
type Meter struct {
	life   uint64
	length time.Duration

	mu    sync.Mutex
	parts map[uint64]map[string]*count
	seq   uint64
	sent  map[uint64]Windows // by sequence number: not noted yet
	known uint64             // the life of the registrar that noted what is noted
}

type count struct{ n, noted uint64 }

const (
	// keepWindows is how many windows a node and a registrar remember.
	keepWindows = 40
	// mostParts bounds the counts in a datagram, and mostSent the datagrams remembered.
	mostParts = 250
	mostSent  = 32
)

// NewMeter makes a meter for one life of a node. Its tallies are numbered from the life's
// own number on: an answer to a former life at the same port answers none of them.
func NewMeter(life uint64, length time.Duration) *Meter {
	return &Meter{life: life, seq: life, length: length, parts: map[uint64]map[string]*count{}, sent: map[uint64]Windows{}}
}

// Count counts a request of a tenant that began to run at a moment of true time.
func (m *Meter) Count(tenant string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := WindowOf(at, m.length)
	if m.parts[w] == nil {
		m.parts[w] = map[string]*count{}
		for old := range m.parts {
			if old+keepWindows < w {
				delete(m.parts, old)
			}
		}
	}
	c := m.parts[w][tenant]
	if c == nil {
		c = &count{}
		m.parts[w][tenant] = c
	}
	c.n++
}

// Next makes the next tally. Without counts to tell it has none.
func (m *Meter) Next() *Tally {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	t := &Tally{Life: m.life, Seq: m.seq, Parts: Windows{}}
	n := 0
	// Newest first: after a change of the registrar all is told again, and the oldest
	// were reported long ago.
	for _, w := range slices.Backward(slices.Sorted(maps.Keys(m.parts))) {
		for tenant, c := range m.parts[w] {
			if c.n > c.noted && n < mostParts {
				if t.Parts[w] == nil {
					t.Parts[w] = Counts{}
				}
				t.Parts[w][tenant] = c.n
				n++
			}
		}
	}
	if n > 0 {
		m.sent[m.seq] = t.Parts
		delete(m.sent, m.seq-mostSent)
	}
	return t
}

// Noted takes an answer. Another life of a registrar, or another registrar, knows
// nothing of what was noted before.
func (m *Meter) Noted(a *Noted) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Life != m.known {
		m.known = a.Life
		for _, by := range m.parts {
			for _, c := range by {
				c.noted = 0
			}
		}
	}
	for w, by := range m.sent[a.Seq] {
		for tenant, n := range by {
			if c := m.parts[w][tenant]; c != nil {
				c.noted = max(c.noted, n)
			}
		}
	}
	delete(m.sent, a.Seq)
}

// Book holds the tallies that a registrar has heard.
type Book struct {
	mu      sync.Mutex
	parts   map[uint64]Lives
	changed map[uint64]bool // since they were asked for
}

// Lives are the counts of one window by the life of the node.
type Lives map[uint64]Counts

// NewBook makes an empty book.
func NewBook() *Book { return &Book{parts: map[uint64]Lives{}, changed: map[uint64]bool{}} }

// Add takes a tally in.
func (b *Book) Add(t *Tally) {
	for w, by := range t.Parts {
		b.Put(w, Lives{t.Life: by})
	}
}

// Put takes in what is known of a window.
func (b *Book) Put(window uint64, l Lives) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.parts[window] == nil {
		b.parts[window] = Lives{}
	}
	b.parts[window].merge(l)
	b.changed[window] = true
}

// Changed lists the windows from one on that have changed since the last call.
func (b *Book) Changed(from uint64) (out []uint64) {
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
func (l Lives) merge(o Lives) {
	for life, by := range o {
		if l[life] == nil {
			l[life] = Counts{}
		}
		for tenant, n := range by {
			l[life][tenant] = max(l[life][tenant], n)
		}
	}
}

// Of returns what is known of a window.
func (b *Book) Of(window uint64) Lives {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := Lives{}
	out.merge(b.parts[window])
	return out
}

// Windows lists the windows from one on of which something is known.
func (b *Book) Windows(from uint64) (out []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w := range maps.Keys(b.parts) {
		if w >= from {
			out = append(out, w)
		}
	}
	return out
}

// Sweep forgets windows long before this one.
func (b *Book) Sweep(now uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w := range b.parts {
		if w+keepWindows < now {
			delete(b.parts, w)
		}
	}
}

// Sum adds up what several registrars know of a window: of each life the greatest count
// that any of them heard.
func Sum(books ...Lives) Counts {
	all := Lives{}
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

// Report makes the bytes of a window's report.
func Report(window uint64, c Counts) []byte {
	raw, err := json.Marshal(struct {
		WindowNumber   uint64 `json:"windowNumber"`
		InstanceCounts Counts `json:"instanceCounts"`
	}{window, c})
	if err != nil {
		panic(err) // numbers and texts always encode
	}
	return raw
}
