// Package trunk keeps the connections to leafs, chooses the leaf for a try and
// learns from its answers how the leaf is.
package trunk

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
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
	rareNodes   = 20   // nodes to a leaf from which lines rest long
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
	leaf   feed.Leaf
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
	return min(t.group.limit, max(1, int(math.Ceil(f.over*float64(max(1, t.leaf.Slots))/float64(f.nodes)))))
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
	now := time.Now()
	for _, l := range leafs {
		t := f.byID[l.ID]
		if t == nil {
			g := f.group(l.Service)
			t = &Trunk{group: g, clearAt: now, stands: f.standing(l.ID, l.Zone)}
			f.byID[l.ID] = t
			g.trunks = append(g.trunks, t)
		}
		if t.leaf != l {
			t.leaf, t.group.graded = l, nil
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

// Survey reports, for one request, how many of the services have a leaf that would
// take a call now, and for each the share of requests that its leafs can take.
func (f *Frame) Survey(services []string) (up int, admits []float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	admits = make([]float64, len(services))
	now := time.Now()
	for i, name := range services {
		admits[i] = 1
		g := f.groups[name]
		if g == nil {
			continue
		}
		admits[i] = min(1, g.admit)
		for _, t := range g.trunks {
			if f.takes(t, false, now) {
				up++
				break
			}
		}
	}
	return up, admits
}

// takes reports whether a leaf takes a call. once says that the call may not be
// repeated: such calls try nobody out while others may.
func (f *Frame) takes(t *Trunk, once bool, now time.Time) bool {
	if t.leaf.Draining || t.leaving || t.active >= f.room(t) {
		return false
	}
	switch t.health {
	case Clear:
		return !t.marked
	case OnTrial: // also while marked: a real answer is what lifts the mark
		return t.active == 0 && (!once || now.Sub(t.tryAt) > tryPatience)
	}
	return false
}

// bad is the share of bad answers of a leaf, as far as it still counts.
func (t *Trunk) bad(now time.Time) float64 {
	if t.errs == 0 {
		return 0
	}
	return t.errs * math.Exp(-float64(now.Sub(t.errAt))/float64(errFade))
}

// noteErr counts an answer as bad or not.
func (t *Trunk) noteErr(now time.Time, bad float64) {
	old := t.bad(now)
	t.errs, t.errAt = old+errWeight*(bad-old), now
}

// score estimates how long a call would take, in seconds, with what is far
// counted against it.
func (f *Frame) score(t *Trunk, now time.Time) float64 {
	far := 0.0
	if t.leaf.Zone != f.place.Zone {
		d, ok := f.delay[t.leaf.Zone]
		if !ok {
			d = 0.02
		}
		far = d + awayShare*t.group.mean
	}
	work := t.group.mean
	if work == 0 {
		work = 0.02
	}
	lat := t.latency
	if t.samples == 0 {
		lat = work + far
	}
	slots := float64(max(1, t.leaf.Slots))
	s := lat + farFactor*far + float64(t.active)*work/slots*1.5 + errWork*work*t.bad(now)
	if t.leaf.Cold {
		s += work * 0.5
	}
	if len(t.idle) == 0 {
		s += work * openCost * f.rarely(t.group)
	}
	// A leaf that turned a call away has a whole queue to work off first.
	if left := fullWork*work - now.Sub(t.fullAt).Seconds(); left > 0 {
		s += left
	}
	if since := now.Sub(t.clearAt); t.health == Clear && t.barSpan > 0 && since < rampTime {
		s += work * 4 * (1 - float64(since)/float64(rampTime)) // back gradually
	}
	return s
}

// rarely is how rarely, from 0 to 1, this node comes back to a line of the group:
// the more nodes share each leaf, the longer its lines rest, the more of them are
// opened for a single call, and the less any one node can even out their load.
func (f *Frame) rarely(g *Group) float64 {
	return min(1, float64(f.nodes)/float64(rareNodes*max(1, len(g.trunks))))
}

// choose picks the leaf for a try, leaving out those already tried: one of the
// node's own part of the group or, if none of those takes it, any.
func (f *Frame) choose(g *Group, tried []*Trunk, once bool, now time.Time) *Trunk {
	own := f.graded(g)
	t := f.best(own, tried, once, now)
	if t == nil && len(own) < len(g.trunks) {
		t = f.best(g.trunks, tried, once, now)
	}
	return t
}

// best picks the leaf of a list that seems to answer soonest.
func (f *Frame) best(list, tried []*Trunk, once bool, now time.Time) *Trunk {
	var best *Trunk
	var bestScore float64
next:
	for _, t := range list {
		if !f.takes(t, once, now) {
			continue
		}
		for _, o := range tried {
			if o == t {
				continue next
			}
		}
		s := f.score(t, now) * (1 + 0.1*rand.Float64())
		if best == nil || s < bestScore {
			best, bestScore = t, s
		}
	}
	return best
}

// Seize reserves the best leaf of a service for one call, or returns nil. once
// says that the call may not be repeated.
func (f *Frame) Seize(service string, tried []*Trunk, once bool) *Trunk {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[service]
	if g == nil {
		return nil
	}
	t := f.choose(g, tried, once, time.Now())
	if t != nil {
		t.active++
	}
	return t
}

// Crowded reports whether the leafs of a service turn calls away as full.
func (f *Frame) Crowded(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[service]
	return g != nil && g.full > fullBar
}

// Mean is how long calls of a service take.
func (f *Frame) Mean(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.groups[service]; g != nil {
		return time.Duration(g.mean * float64(time.Second))
	}
	return 0
}

// Release gives up a reservation that was not used.
func (f *Frame) Release(t *Trunk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.active--
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
		if now.Before(l.until) && !(once && now.Sub(l.rested) > doubtAfter) && l.quiet() {
			return l, nil
		}
		if l.surplus {
			f.log.Warn(event.LeafSurplus).Str("leaf", t.leaf.ID).Msg("a leaf sent more after a whole answer; the connection is given up")
		}
		f.drop(t, l)
	}
	start := time.Now()
	dctx, cancel := context.WithTimeout(ctx, dialLimit)
	c, err := f.dial(dctx, "tcp4", t.leaf.Addr)
	cancel()
	if err != nil {
		f.mu.Lock()
		t.open--
		f.mu.Unlock()
		return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	took := time.Since(start).Seconds()
	f.mu.Lock()
	if d, ok := f.delay[t.leaf.Zone]; !ok || took < d {
		f.delay[t.leaf.Zone] = took
	} else {
		f.delay[t.leaf.Zone] = d + 0.01*(took-d)
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
		a, reuse, err = l.call(r, t.leaf.ID, start)
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

// learn takes in how a call went.
func (f *Frame) learn(t *Trunk, a *Answer, err error, start time.Time, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.active--
	now := time.Now()
	switch {
	case err == nil && a.Status/100 == 2:
		s := took.Seconds()
		if t.samples == 0 {
			t.latency = s
		} else {
			t.latency += ewmaWeight * (s - t.latency)
		}
		t.samples++
		g := t.group
		g.full -= fullWeight * g.full
		g.admit = min(admitMost, g.admit+admitUp)
		if g.mean == 0 {
			g.mean = s
		} else {
			g.mean += 0.02 * (s - g.mean)
		}
		t.failures, t.lastGood = 0, now
		t.noteErr(now, 0)
		if t.health != Clear {
			f.clear(t, now)
		}
	case err == nil && a.Status == 421:
		f.bar(t, now, "another leaf has its address")
	case err == nil && a.NotRun():
		t.group.full += fullWeight * (1 - t.group.full)
		t.group.admit = max(admitLeast, t.group.admit-admitDown)
		t.fullAt = now
		if t.health == OnTrial {
			f.bar(t, now, "refused on trial")
		}
	case err == nil && a.Status < 500:
		t.lastGood = now
		if t.health != Clear {
			f.clear(t, now)
		}
	case err == nil: // it answers, but badly
		t.lastGood = now
		t.noteErr(now, 1)
		if t.health == OnTrial || t.bad(now) > errBar && f.spared(t.group) {
			f.bar(t, now, "it answers badly")
		}
	default:
		t.failures++
		t.noteErr(now, 1)
		if t.health == OnTrial || t.failures >= failuresBar || errors.Is(err, ErrNotSent) || (errors.Is(err, ErrLate) && t.lastGood.Before(start)) {
			f.bar(t, now, err.Error())
		}
	}
}

// spared reports whether enough leafs of a group are well for one more to be
// barred for its answers: if most answer badly, that is how the service is.
func (f *Frame) spared(g *Group) bool {
	clear := 0
	for _, t := range g.trunks {
		if t.health == Clear && !t.marked && !t.leaf.Draining {
			clear++
		}
	}
	return 2*(clear-1) >= len(g.trunks)
}

// Overdue is told that a call has waited longer than usual since it began. A
// leaf from which nothing came in all that time is taken for silent.
func (f *Frame) Overdue(t *Trunk, since time.Time, usual time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if t.lastGood.Before(since) && now.Sub(since) >= 3*usual && t.health != Barred {
		f.bar(t, now, "silent")
	}
}

// bar takes a trunk out of service for a while that grows.
func (f *Frame) bar(t *Trunk, now time.Time, why string) {
	if t.health == Barred || t.removed {
		return
	}
	t.health, t.group.graded = Barred, nil
	t.barSpan = min(max(firstBar, 2*t.barSpan), longestBar)
	f.hangUp(t)
	f.log.Info(event.LeafMarked).Str("leaf", t.leaf.ID).Str("service", t.leaf.Service).Str("why", why).Msg("leaf barred on this node")
	f.Report(feed.Report{Leaf: t.leaf.ID, Service: t.leaf.Service})
	f.probeLater(t, t.barSpan)
}

// clear puts a trunk back in service; traffic comes back gradually.
func (f *Frame) clear(t *Trunk, now time.Time) {
	if t.health == Clear && !t.marked {
		return
	}
	t.health, t.failures, t.clearAt, t.group.graded = Clear, 0, now, nil
	t.latency, t.samples, t.errs = 0, 0, 0
	f.log.Info(event.LeafCleared).Str("leaf", t.leaf.ID).Str("service", t.leaf.Service).Msg("leaf clear on this node")
	f.Report(feed.Report{Leaf: t.leaf.ID, Service: t.leaf.Service, Well: true})
}

// try lets a barred trunk take single calls until one of them goes well or not.
func (f *Frame) try(t *Trunk, now time.Time) {
	t.health, t.group.graded, t.tryAt = OnTrial, nil, now
	t.latency, t.samples, t.errs = 0, 0, 0
}

// probeLater asks a barred leaf after a while whether it answers.
func (f *Frame) probeLater(t *Trunk, after time.Duration) {
	if t.probing {
		return
	}
	t.probing = true
	time.AfterFunc(time.Duration((0.8+0.4*rand.Float64())*float64(after)), func() { f.probe(t) })
}

const probeLimit = 500 * time.Millisecond

func (f *Frame) probe(t *Trunk) {
	f.mu.Lock()
	path, host := t.group.health, t.leaf.Addr
	gone := t.removed || t.health != Barred
	t.probing = !gone
	leaving := t.leaf.Draining
	f.mu.Unlock()
	if gone {
		return
	}
	// What it says of itself is not believed, either way: a leaf that answers at
	// all is tried with a request that may be repeated.
	answers := path == ""
	if path != "" && !leaving {
		r := &Request{Method: "GET", Target: path, Host: host, Deadline: time.Now().Add(probeLimit)}
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		l, err := f.line(ctx, t, r.Once)
		cancel()
		if err == nil {
			a, _, err := l.call(r, "", time.Now())
			answers = err == nil && a.Header.Get(HeaderInstance) == t.leaf.ID
			f.drop(t, l)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t.probing = false
	if t.removed || t.health != Barred {
		return
	}
	if answers {
		f.try(t, time.Now())
		return
	}
	t.barSpan = min(2*t.barSpan, longestBar)
	f.probeLater(t, min(t.barSpan, time.Second))
}

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
func (t *Trunk) Leaf() feed.Leaf { return t.leaf }
