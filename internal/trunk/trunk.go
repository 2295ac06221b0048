// Package trunk keeps the connections to leafs, chooses the leaf for a try and
// learns from its answers how the leaf is.
package trunk

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
)

// Timing and weights of the choice. Ours; see docs/design.md.
const (
	dialLimit   = 600 * time.Millisecond
	firstBar    = 400 * time.Millisecond
	longestBar  = 3 * time.Second
	tryPatience = time.Second // after which a trial may be by a call that may not be repeated
	ewmaWeight  = 0.2
	failuresBar = 3
	awayShare   = 0.5 // of a service's usual time that an answer from another zone must save
	farFactor   = 1.0 // how many times its delay a far leaf must be better
	rampTime    = 2 * time.Second
	fullWeight  = 0.02
	errWeight   = 0.2
	errFade     = 3 * time.Second // in which what is known of bad answers fades to a third
	errWork     = 20.0            // usual times that a certain failure counts as
	errBar      = 0.6             // the share of bad answers from which a leaf is barred
	admitDown   = 0.08            // of the calls to a service, for each that a full leaf turned away
	admitUp     = 0.005
	admitMost   = 1.1 // above 1: single full leafs are no overload
	admitLeast  = 0.3
	openCost    = 0.4  // of the usual time that opening a line counts as, where lines rest long
	rareNodes   = 20   // nodes to a leaf from which lines rest long; up to half of that they don't
	fullWork    = 4.0  // usual times that the queue of a leaf takes which turned a call away
	fullBar     = 0.02 // the share of calls turned away above which a service is crowded
)

// Health is the explicit state of a trunk.
type Health uint8

// States: Clear takes calls, Barred takes none, OnTrial takes one at a time.
const (
	Clear Health = iota
	Barred
	OnTrial
)

// Trunk is one leaf as this node sees it.
type Trunk struct {
	leaf   atomic.Pointer[feed.Leaf] // what it points to never changes
	group  *Group
	stands standing

	idle   []*line
	open   int // lines, idle or at work
	active int // calls at work

	health   Health
	barSpan  time.Duration
	tryAt    time.Time // when its trial began
	marked   bool      // drained by its index cell
	leaving  bool      // and that because the platform says so
	removed  bool      // off the list
	failures int
	lastGood time.Time
	clearAt  time.Time
	latency  float64 // seconds, smoothed
	samples  int
	probing  bool
	fullAt   time.Time // when it last turned a call away as full
	errs     float64   // share of bad answers, smoothed, as of errAt
	errAt    time.Time
}

// Group is the leafs of one service.
type Group struct {
	name   string
	trunks []*Trunk
	graded []*Trunk // those used first; nil when it must be worked out anew
	limit  int      // lines a leaf takes from this node
	health string
	mean   float64 // seconds, smoothed over all leafs
	full   float64 // share of calls that leafs turned away as full, smoothed
	admit  float64 // share of requests that the leafs can take, as far as known
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Place is where a node stands.
type Place struct {
	Node   string
	Zone   string
	Region func(zone string) string
}

// Frame holds every group of this node.
type Frame struct {
	place Place
	log   *event.Log
	dial  DialFunc

	mu     sync.Mutex
	groups map[string]*Group
	byID   map[string]*Trunk
	delay  map[string]float64 // seconds that opening a line to a zone takes
	limits map[string]int
	paths  map[string]string
	nodes  int
	over   float64

	// Report is told of leafs that turn bad or well. It must not block.
	Report func(feed.Report)
}

// NewFrame makes an empty frame for a node at a place.
func NewFrame(place Place, dial DialFunc, log *event.Log) *Frame {
	return &Frame{place: place, dial: dial, log: log, groups: map[string]*Group{}, byID: map[string]*Trunk{},
		delay: map[string]float64{}, limits: map[string]int{}, paths: map[string]string{}, nodes: 1, Report: func(feed.Report) {}}
}

// SetServices takes the connection limits and health paths of a plan.
func (f *Frame) SetServices(limits map[string]int, paths map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits, f.paths = limits, paths
	f.relimit()
}

// SetNodes tells among how many nodes the connection limits are divided.
func (f *Frame) SetNodes(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = max(1, n)
	f.relimit()
}

// SetOver bounds the calls at work on a leaf to its slots times over, divided
// among the nodes; 0 leaves the bound to the lines.
func (f *Frame) SetOver(over float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over = over
}

// room is how many calls may be at work on a leaf from this node.
func (f *Frame) room(t *Trunk) int {
	if f.over <= 0 {
		return t.group.limit
	}
	return min(t.group.limit, max(1, int(math.Ceil(f.over*float64(max(1, t.leaf.Load().Slots))/float64(f.nodes)))))
}

func (f *Frame) relimit() {
	for name, g := range f.groups {
		g.limit = 64
		if l := f.limits[name]; l > 0 {
			g.limit = max(1, l/f.nodes)
		}
		g.health = f.paths[name]
		g.graded = nil
	}
}

func (f *Frame) group(name string) *Group {
	g := f.groups[name]
	if g == nil {
		g = &Group{name: name, admit: admitMost}
		f.groups[name] = g
		f.relimit()
	}
	return g
}

// SetList takes the platform's list, by the leafs' names.
func (f *Frame) SetList(leafs map[string]feed.Leaf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.Now()
	for _, l := range leafs {
		t := f.byID[l.ID]
		if t == nil {
			g := f.group(l.Service)
			t = &Trunk{group: g, clearAt: at, stands: f.standing(l.ID, l.Zone)}
			f.byID[l.ID] = t
			g.trunks = append(g.trunks, t)
		}
		if old := t.leaf.Load(); old == nil || *old != l {
			now := l
			t.leaf.Store(&now)
			t.group.graded = nil
		}
	}
	for id, t := range f.byID {
		if _, listed := leafs[id]; !listed {
			f.remove(id, t)
		}
	}
}

func (f *Frame) remove(id string, t *Trunk) {
	t.removed = true
	t.group.graded = nil
	delete(f.byID, id)
	for i, o := range t.group.trunks {
		if o == t {
			t.group.trunks = append(t.group.trunks[:i:i], t.group.trunks[i+1:]...)
			break
		}
	}
	f.hangUp(t)
}

// hangUp closes the idle lines of a trunk.
func (f *Frame) hangUp(t *Trunk) {
	for _, l := range t.idle {
		_ = l.conn.Close()
		t.open--
	}
	t.idle = nil
}

// SetMarks takes the leafs that the index cells hold as drained.
func (f *Frame) SetMarks(drained map[string]feed.Mark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, t := range f.byID {
		was := t.marked
		var mark feed.Mark
		mark, t.marked = drained[id]
		t.leaving = mark.Why == feed.WhyList
		if was != t.marked {
			t.group.graded = nil
		}
		if was && !t.marked {
			f.clear(t, time.Now())
		}
	}
}

// line takes an idle line or opens a new one.
func (f *Frame) line(ctx context.Context, t *Trunk, once bool) (*line, error) {
	for {
		f.mu.Lock()
		var l *line
		if n := len(t.idle); n > 0 {
			l = t.idle[n-1]
			t.idle = t.idle[:n-1]
		} else {
			t.open++
		}
		f.mu.Unlock()
		if l == nil {
			break
		}
		now := time.Now()
		if now.Before(l.until) && !(once && (l.nameless || now.Sub(l.rested) > doubtAfter)) && l.quiet() {
			return l, nil
		}
		if l.surplus {
			f.log.Warn(event.LeafSurplus).Str("leaf", t.leaf.Load().ID).Msg("a leaf sent more after a whole answer; the connection is given up")
		}
		f.drop(t, l)
	}
	start := time.Now()
	dctx, cancel := context.WithTimeout(ctx, dialLimit)
	c, err := f.dial(dctx, "tcp4", t.leaf.Load().Addr)
	cancel()
	if err != nil {
		f.mu.Lock()
		t.open--
		f.mu.Unlock()
		return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	took := time.Since(start).Seconds()
	f.mu.Lock()
	if d, ok := f.delay[t.leaf.Load().Zone]; !ok || took < d {
		f.delay[t.leaf.Load().Zone] = took
	} else {
		f.delay[t.leaf.Load().Zone] = d + 0.01*(took-d)
	}
	f.mu.Unlock()
	return newLine(c), nil
}

func (f *Frame) drop(t *Trunk, l *line) {
	_ = l.conn.Close()
	f.mu.Lock()
	t.open--
	f.mu.Unlock()
}

func (f *Frame) giveBack(t *Trunk, l *line) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.removed || len(t.idle) >= t.group.limit {
		_ = l.conn.Close()
		t.open--
		return
	}
	l.rested = time.Now()
	t.idle = append(t.idle, l)
}

// Call sends a request over a trunk that Seize reserved, and releases it. The
// leaf is named, so that another at its address turns the request away.
func (f *Frame) Call(t *Trunk, r *Request) (*Answer, error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	l, err := f.line(ctx, t, r.Once)
	var a *Answer
	var took time.Duration
	start := time.Now()
	if err == nil {
		var reuse bool
		a, reuse, err = l.call(r, t.leaf.Load().ID)
		took = time.Since(start)
		if reuse {
			f.giveBack(t, l)
		} else {
			f.drop(t, l)
		}
	}
	f.learn(t, a, err, start, took)
	return a, err
}

const probeLimit = 500 * time.Millisecond

// Sweep closes idle lines whose time has passed.
func (f *Frame) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, t := range f.byID {
		keep := t.idle[:0]
		for _, l := range t.idle {
			if now.After(l.until) {
				_ = l.conn.Close()
				t.open--
			} else {
				keep = append(keep, l)
			}
		}
		t.idle = keep
	}
}

// Leaf returns the leaf of a trunk.
func (t *Trunk) Leaf() feed.Leaf { return *t.leaf.Load() }
