// Package office is what every node that handles requests has in common: it
// keeps itself current by the feed, has its place on the ring of heartbeats,
// and holds the plan in force, the leafs, and the purges known so far.
package office

import (
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/numbering"
	"comethold/internal/toll"
	"comethold/internal/trunk"
	"comethold/internal/wire"
)

// state is what the feed has told this node. Every part only moves forward.
type state struct {
	log   *event.Log
	frame *trunk.Frame
	toll  *toll.Toll
	plan  atomic.Pointer[numbering.Plan]
	pos   atomic.Uint64 // of the newest purge known
	// current is set once somebody in touch with the majority has told news:
	// what this node kept from a former life may be used from then on.
	current atomic.Bool

	mu       sync.Mutex
	touched  time.Time // when somebody in touch with the majority last told news
	list     feed.Stamp
	listed   bool
	leafs    map[string]feed.Leaf
	marks    map[string]feed.Marks
	marksSum uint64
	// tellMarks is until when the positions of all marks are told, not their sum alone.
	tellMarks time.Time
	slot      uint64 // of the directory
	nodes     map[string]feed.Node
	switches  int
	counted   []headcount
	recalls   []feed.Recall // the newest, in order
	floor     uint64        // recalls up to here are not in recalls
	inbox     *notice.Inbox
	noticed   uint64        // position of the newest notice that was told
	deferred  []feed.Notice // those whose prerequisite is not here yet

	onNodes   func([]feed.Node)
	onPlan    func(*numbering.Plan)
	onRecalls func(*feed.Recalls)
	onChanged func(tenants []string) // their keys or limits are others now
	users     func() int             // nodes that share the leafs with this one, if not all switches
}

// headcount is how many nodes shared the limits at one time.
type headcount struct {
	n  int
	at time.Time
}

// countedFor is how long a node that left the directory, or is down, still
// counts when shares are divided: what it spent stays in others' windows.
const countedFor = 15 * time.Second

// tellMarksFor is how long the positions of all marks are told to a registrar that asked
// for them: it may ask once in that time at the most.
const tellMarksFor = 10 * time.Second

// keepRecalls bounds the purges that a node remembers.
const keepRecalls = 4096

func newState(log *event.Log, f *trunk.Frame, t *toll.Toll) *state {
	return &state{log: log, frame: f, toll: t, marks: map[string]feed.Marks{}, leafs: map[string]feed.Leaf{},
		nodes: map[string]feed.Node{}, onNodes: func([]feed.Node) {}, onPlan: func(*numbering.Plan) {},
		onRecalls: func(*feed.Recalls) {}, inbox: notice.NewInbox(), onChanged: func([]string) {}}
}

func (s *state) have() feed.Have {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := feed.Have{Nodes: s.slot, Switches: s.switches, Recall: s.pos.Load(), Notice: s.noticed, MarksSum: s.marksSum}
	if p := s.plan.Load(); p != nil {
		h.Config = p.Version
	}
	if s.listed {
		h.List = s.list
	}
	if time.Now().Before(s.tellMarks) {
		h.Marks = s.markSlots()
	}
	return h
}

func (s *state) markSlots() map[string]uint64 {
	out := make(map[string]uint64, len(s.marks))
	for ix, m := range s.marks {
		out[ix] = m.Slot
	}
	return out
}

// take brings news into force.
func (s *state) take(n *feed.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Recalls != nil {
		s.takeRecalls(n.Recalls)
	}
	if n.Config != nil {
		s.takeConfig(n.Config)
	}
	if n.List != nil && n.List.Fits(s.list, s.listed) {
		s.list, s.listed = n.List.Stamp, true
		s.leafs = feed.Merge(s.leafs, n.List.Leafs, n.List.Gone, n.List.Delta, func(l feed.Leaf) string { return l.ID })
		s.frame.SetList(s.leafs)
	}
	if n.NeedMarks {
		s.tellMarks = time.Now().Add(tellMarksFor)
	}
	if len(n.Marks) > 0 || len(n.Gone) > 0 {
		for _, m := range n.Marks {
			if old, ok := s.marks[m.Index]; !ok || old.Slot < m.Slot {
				s.marks[m.Index] = m
			}
		}
		for _, ix := range n.Gone {
			delete(s.marks, ix)
		}
		drained := map[string]feed.Mark{}
		for _, m := range s.marks {
			for id, mark := range m.Drained {
				if drained[id].Why != feed.WhyList {
					drained[id] = mark
				}
			}
		}
		s.marksSum = feed.MarksSum(s.markSlots())
		s.frame.SetMarks(drained)
	}
	if n.Nodes != nil && n.Nodes.Slot > s.slot && (!n.Nodes.Delta || n.Nodes.Base == s.slot) {
		s.slot, s.switches = n.Nodes.Slot, n.Nodes.Switches
		s.nodes = feed.Merge(s.nodes, n.Nodes.All, n.Nodes.Gone, n.Nodes.Delta, func(n feed.Node) string { return n.Name })
		all := make([]feed.Node, 0, len(s.nodes))
		for _, node := range s.nodes {
			all = append(all, node)
		}
		s.onNodes(all)
	}
	s.takeNotices(n.Notices)
	s.divide(time.Now())
	if !n.Stale {
		s.current.Store(true)
		s.touched = time.Now()
	}
}

// keepDeferred bounds the notices that wait for their prerequisite.
const keepDeferred = 128

// takeNotices decides notices against the inbox before anything changes by them. It runs
// after the rest of the news: the state that a notice speaks of is its prerequisite.
func (s *state) takeNotices(n *feed.Notices) {
	have := map[string]uint64{notice.Purges: s.pos.Load()}
	if p := s.plan.Load(); p != nil {
		have[notice.Configuration] = p.Version
	}
	waiting := s.deferred
	if n != nil && n.Pos > s.noticed {
		if n.Reset {
			waiting = nil
			for aggregate, version := range n.Base {
				s.inbox.Base(aggregate, version)
			}
		}
		waiting = append(waiting, n.All...)
		s.noticed = n.Pos
	}
	s.deferred = nil
	for i := range waiting {
		w := &waiting[i]
		if w.Notice.Version <= have[w.Notice.Aggregate] {
			// Notices come in order: one that is missing before this one will not come,
			// but what it told is in the state that is here.
			s.inbox.Base(w.Notice.Aggregate, w.Notice.After)
		}
		switch d, why := s.inbox.Decide(&w.Notice, have[w.Notice.Aggregate]); d {
		case notice.Applied:
			var c notice.Changed
			if w.Notice.Aggregate == notice.Configuration && wire.Unmarshal(w.Notice.Payload, &c) == nil {
				s.onChanged(c.Tenants)
			}
		case notice.Deferred:
			if len(s.deferred) < keepDeferred {
				s.deferred = append(s.deferred, *w)
			}
		case notice.Quarantined:
			s.log.Error(event.NoticeQuarantined).Str("eventId", w.Notice.EventID).Err(why).Msg("a notice is quarantined")
		}
	}
}

// takeRecalls notes purges and has copies dropped before the position moves:
// who reads the position finds their effect.
func (s *state) takeRecalls(r *feed.Recalls) {
	if r.Pos <= s.pos.Load() && !r.Reset {
		return
	}
	if r.Reset {
		s.recalls, s.floor = nil, r.Pos
	}
	for _, rec := range r.All {
		if rec.Pos > s.pos.Load() {
			s.recalls = append(s.recalls, rec)
		}
	}
	if n := len(s.recalls) - keepRecalls; n > 0 {
		s.floor = s.recalls[n-1].Pos
		s.recalls = append([]feed.Recall(nil), s.recalls[n:]...)
	}
	s.onRecalls(r)
	s.pos.Store(r.Pos)
}

// recalledSince reports whether a purge after pos names what hit recognises,
// or whether that cannot be told any more.
func (s *state) recalledSince(pos uint64, hit func(feed.Recall) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pos < s.floor {
		return true
	}
	for i := len(s.recalls) - 1; i >= 0 && s.recalls[i].Pos > pos; i-- {
		if hit(s.recalls[i]) {
			return true
		}
	}
	return false
}

func (s *state) takeConfig(c *feed.Config) {
	var old *numbering.Configuration
	if p := s.plan.Load(); p != nil {
		old = p.Config
	}
	cfg, ok := c.On(old)
	if !ok {
		return
	}
	p := numbering.Compile(cfg)
	limits, paths := map[string]int{}, map[string]string{}
	for name, sv := range p.Services {
		limits[name], paths[name] = sv.ConnectionLimit, sv.HealthPath
	}
	s.frame.SetServices(limits, paths)
	s.plan.Store(p)
	s.onPlan(p)
	s.log.Info(event.ConfigInForce).Uint64("version", p.Version).Int("routes", len(cfg.Routes)).Msg("configuration in force")
}

// divide works out among how many nodes the shared limits are divided: the most
// that there were in the last while.
func (s *state) divide(now time.Time) {
	n := s.switches
	if s.users != nil {
		n = s.users()
	}
	if n == 0 {
		return
	}
	if k := len(s.counted); k == 0 || s.counted[k-1].n != n {
		s.counted = append(s.counted, headcount{n, now})
	}
	for len(s.counted) > 1 && now.Sub(s.counted[1].at) > countedFor {
		s.counted = s.counted[1:]
	}
	most := 0
	for _, c := range s.counted {
		most = max(most, c.n)
	}
	s.frame.SetNodes(most)
	s.toll.SetNodes(most)
}

// news answers another node that lacks what this one has. The directory of nodes
// is told to those of the same zone alone: it holds no other zone's.
func (s *state) news(h feed.Have, neighbour bool) *feed.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &feed.News{Stale: true}
	if p := s.plan.Load(); p != nil && p.Version > h.Config {
		n.Config = feed.Whole(p.Config)
	}
	if s.listed && h.List.Less(s.list) {
		n.List = &feed.List{Stamp: s.list}
		for _, l := range s.leafs {
			n.List.Leafs = append(n.List.Leafs, l)
		}
	}
	for ix, m := range s.marks {
		if h.Marks[ix] < m.Slot {
			n.Marks = append(n.Marks, m)
		}
	}
	if neighbour && s.slot > h.Nodes {
		n.Nodes = &feed.Nodes{Slot: s.slot, Switches: s.switches}
		for _, node := range s.nodes {
			n.Nodes.All = append(n.Nodes.All, node)
		}
	}
	if pos := s.pos.Load(); pos > h.Recall {
		n.Recalls = &feed.Recalls{Pos: pos, Reset: h.Recall < s.floor}
		for _, rec := range s.recalls {
			if rec.Pos > h.Recall {
				n.Recalls.All = append(n.Recalls.All, rec)
			}
		}
	}
	return n
}

// ready reports whether this node can serve.
func (s *state) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Load() != nil && s.listed
}
