package registrar

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"comethold/internal/feed"
	"comethold/internal/numbering"
	"comethold/internal/wire"
)

// board is what this registrar can tell the nodes it feeds, ready to hand out.
type board struct {
	mu    sync.Mutex
	news  chan struct{}              // closed and renewed whenever something changes
	cfg   []*numbering.Configuration // the last few, newest last
	list  *feed.List
	leafs feed.Ledger[feed.Leaf]
	keep  func(*feed.List) // stores a new list for the next start
	marks map[string]feed.Marks
	held  marksHeld
	nodes feed.Ledger[feed.Node]
	table map[string]feed.Node // the directory by name; never changed, only replaced
	up    int                  // nodes that serve clients and are not down

	nodesAt time.Time  // when nodes last moved
	pending *nodeTable // the directory that nodes will hold next

	recalls []feed.Recall // in order
	pos     uint64        // of the newest recall
	floor   uint64        // recalls up to here are forgotten

	notices     []feed.Notice     // in order; never changed, only replaced
	noticesFrom uint64            // those up to here are not told any more
	noticeBase  map[string]uint64 // by aggregate: the newest version told

	// told holds answers by what their callers have: after a change all of a zone
	// lack the same, so it is worked out, encoded and compressed once.
	told map[string]*told
}

type nodeTable struct {
	slot uint64
	all  map[string]feed.Node
	up   int
}

// told is an answer ready to be sent; without news it is empty.
type told struct {
	body  []byte
	empty bool
}

const (
	keepConfigs = 4
	// nodesEvery is how often the nodes are told of changes of the directory: at a
	// start of all, each of them would hear of every other.
	nodesEvery = 300 * time.Millisecond
)

func newBoard() *board {
	return &board{news: make(chan struct{}), keep: func(*feed.List) {}, marks: map[string]feed.Marks{}, told: map[string]*told{}, noticeBase: map[string]uint64{}}
}

func (b *board) changedLocked() {
	close(b.news)
	b.news = make(chan struct{})
	clear(b.told)
}

// setConfig takes a configuration that a cell holds and reports whether it is new. The
// cells don't wait for it to be read; of two the newer stays.
func (b *board) setConfig(version uint64, raw []byte) bool {
	if last := b.newest(); version == 0 || last != nil && last.Version >= version {
		return false
	}
	c, err := numbering.Decode(raw)
	if err != nil || c.Version != version {
		return false // it was checked when it was taken
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.cfg); n > 0 && b.cfg[n-1].Version >= version {
		return false
	}
	b.cfg = append(b.cfg, c)
	if len(b.cfg) > keepConfigs {
		b.cfg = append([]*numbering.Configuration(nil), b.cfg[1:]...)
	}
	b.changedLocked()
	return true
}

// newest returns the newest configuration held, or nil.
func (b *board) newest() *numbering.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.cfg); n > 0 {
		return b.cfg[n-1]
	}
	return nil
}

// setList takes a list if it is newer and reports which stamp is held now.
func (b *board) setList(l *feed.List) feed.Stamp {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.list == nil || b.list.Stamp.Less(l.Stamp) {
		b.list = l
		all := make(map[string]feed.Leaf, len(l.Leafs))
		for _, leaf := range l.Leafs {
			all[leaf.ID] = leaf
		}
		b.leafs.Set(l.Stamp, all)
		b.keep(l)
		b.changedLocked()
	}
	return b.list.Stamp
}

// stamp is that of the list held, or zero.
func (b *board) stamp() feed.Stamp {
	if l := b.getList(); l != nil {
		return l.Stamp
	}
	return feed.Stamp{}
}

func (b *board) getList() *feed.List {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// marksHeld knows what the sums of marks stand for that callers name: those of this
// board's own last states, and of what callers have told.
type marksHeld struct {
	sum  uint64
	by   map[uint64]map[string]uint64
	line []uint64 // oldest first
}

// keepSums bounds the sums that are known.
const keepSums = 64

func (m *marksHeld) know(sum uint64, slots map[string]uint64) {
	if m.by == nil {
		m.by = map[uint64]map[string]uint64{}
	}
	if _, ok := m.by[sum]; ok {
		return
	}
	m.by[sum] = slots
	if m.line = append(m.line, sum); len(m.line) > keepSums {
		delete(m.by, m.line[0])
		m.line = m.line[1:]
	}
}

// marksMovedLocked notes what this board holds now.
func (b *board) marksMovedLocked() {
	slots := make(map[string]uint64, len(b.marks))
	for ix, m := range b.marks {
		slots[ix] = m.Slot
	}
	b.held.sum = feed.MarksSum(slots)
	b.held.know(b.held.sum, slots)
	b.changedLocked()
}

func (b *board) setMarks(m feed.Marks) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.marks[m.Index]
	if ok {
		slot := m.Slot
		m.Slot = old.Slot
		if same(old, m) {
			return
		}
		m.Slot = slot
	}
	b.marks[m.Index] = m
	b.marksMovedLocked()
}

func (b *board) dropMarks(index string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.marks[index]; ok {
		delete(b.marks, index)
		b.marksMovedLocked()
	}
}

func (b *board) setNodes(slot uint64, all []feed.Node) {
	next := &nodeTable{slot: slot, all: make(map[string]feed.Node, len(all))}
	for _, n := range all {
		next.all[n.Name] = n
		if n.Serves() && !n.Down {
			next.up++
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = next.all
	waits := b.pending != nil
	b.pending = next
	if wait := nodesEvery - time.Since(b.nodesAt); wait > 0 {
		if !waits {
			time.AfterFunc(wait, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.tellNodesLocked()
			})
		}
		return
	}
	b.tellNodesLocked()
}

// tellNodesLocked lets the nodes have the newest directory.
func (b *board) tellNodesLocked() {
	next := b.pending
	if next == nil {
		return
	}
	b.pending = nil
	if b.nodes.Set(feed.Stamp{Rev: next.slot}, next.all) {
		b.up, b.nodesAt = next.up, time.Now()
		b.changedLocked()
	}
}

func same(a, b any) bool {
	x, err1 := wire.Marshal(a)
	y, err2 := wire.Marshal(b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

// directory returns the directory of nodes by name. Callers must not change it.
func (b *board) directory() map[string]feed.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table
}

// registrars lists the addresses of those in the directory, down or not.
func (b *board) registrars() (out []string) {
	for _, n := range b.directory() {
		if n.Control {
			out = append(out, n.Addr)
		}
	}
	return out
}

// answer returns, ready to be sent, what the caller lacks, and a channel that
// closes at the next change.
func (b *board) answer(call *feed.Call, stale bool) (*told, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := callerKey(call, stale)
	t := b.told[key]
	if t == nil {
		news := b.newerLocked(call)
		t = &told{empty: news.Empty()}
		news.Stale = stale
		if raw, err := wire.Marshal(&news); err == nil {
			t.body = wire.Pack(raw)
		}
		b.told[key] = t
	}
	return t, b.news
}

// callerKey is the same for callers that lack the same.
func callerKey(call *feed.Call, stale bool) string {
	h := &call.Have
	k := fmt.Sprint(stale, call.Node.Zone, h.Config, h.List, h.Nodes, h.Switches, h.Recall, h.Notice, h.MarksSum, h.Marks != nil)
	for _, ix := range slices.Sorted(maps.Keys(h.Marks)) {
		k += fmt.Sprint(" ", ix, "=", h.Marks[ix])
	}
	return k
}

// markNews adds the marks that the caller lacks.
func (b *board) markNews(h feed.Have, n *feed.News) {
	held, known := h.Marks, h.Marks != nil || h.MarksSum == 0
	switch {
	case h.Marks != nil:
		b.held.know(h.MarksSum, h.Marks)
	case h.MarksSum == b.held.sum:
		return
	case !known:
		if held, known = b.held.by[h.MarksSum]; !known {
			n.NeedMarks = true
			return
		}
	}
	for ix, m := range b.marks {
		if slot, ok := held[ix]; !ok || slot < m.Slot {
			n.Marks = append(n.Marks, m)
		}
	}
	for ix := range held {
		if _, ok := b.marks[ix]; !ok && len(b.marks) > 0 {
			n.Gone = append(n.Gone, ix)
		}
	}
}

// newerLocked collects what the caller lacks.
func (b *board) newerLocked(call *feed.Call) feed.News {
	h := call.Have
	var n feed.News
	if k := len(b.cfg); k > 0 && b.cfg[k-1].Version > h.Config {
		last := b.cfg[k-1]
		n.Config = feed.Whole(last)
		for _, c := range b.cfg[:k-1] {
			if c.Version == h.Config {
				n.Config = feed.Between(c, last)
			}
		}
	}
	if b.list != nil && h.List.Less(b.list.Stamp) {
		l := &feed.List{Stamp: b.list.Stamp, Base: h.List}
		l.Leafs, l.Gone, l.Delta = b.leafs.Since(h.List, func(feed.Leaf) bool { return true })
		n.List = l
	}
	b.markNews(h, &n)
	if at := b.nodes.At().Rev; b.nodes.Len() > 0 && at > h.Nodes {
		ns := &feed.Nodes{Slot: at, Switches: b.up, Base: h.Nodes}
		ns.All, ns.Gone, ns.Delta = b.nodes.Since(feed.Stamp{Rev: h.Nodes}, func(n feed.Node) bool {
			return !n.Serves() || n.Zone == call.Node.Zone
		})
		if !ns.Delta || len(ns.All)+len(ns.Gone) > 0 || ns.Switches != h.Switches {
			n.Nodes = ns
		}
	}
	b.recallNews(h, &n)
	b.noticeNews(h, &n)
	return n
}
