// Package switchboard is the data plane: it takes clients' requests, sends
// them to leafs by the plan in force, and keeps itself current by the feed.
package switchboard

import (
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/gather"
	"comethold/internal/numbering"
	"comethold/internal/toll"
	"comethold/internal/trunk"
)

// state is what the feed has told this node. Every part only moves forward.
type state struct {
	log   *event.Log
	frame *trunk.Frame
	toll  *toll.Toll
	asker *gather.Asker
	plan  atomic.Pointer[numbering.Plan]

	mu      sync.Mutex
	list    *feed.List
	marks   map[string]feed.Marks
	nodes   feed.Nodes
	counted map[string]time.Time // nodes among which shares are divided
	onNodes func([]feed.Node)
}

// countedFor is how long a node that left the directory, or is down, still
// counts when shares are divided: what it spent stays in others' windows.
const countedFor = 15 * time.Second

func newState(log *event.Log, f *trunk.Frame, t *toll.Toll, a *gather.Asker) *state {
	return &state{log: log, frame: f, toll: t, asker: a, marks: map[string]feed.Marks{},
		counted: map[string]time.Time{}, onNodes: func([]feed.Node) {}}
}

func (s *state) have() feed.Have {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := feed.Have{Nodes: s.nodes.Slot, Marks: map[string]uint64{}}
	if p := s.plan.Load(); p != nil {
		h.Config = p.Version
	}
	if s.list != nil {
		h.List = s.list.Stamp
	}
	for ix, m := range s.marks {
		h.Marks[ix] = m.Slot
	}
	return h
}

// take brings news into force.
func (s *state) take(n *feed.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Config != nil {
		s.takeConfig(n.Config)
	}
	if n.List != nil && (s.list == nil || s.list.Stamp.Less(n.List.Stamp)) {
		s.list = n.List
		s.frame.SetList(n.List.Leafs)
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
		drained := map[string]bool{}
		for _, m := range s.marks {
			for id := range m.Drained {
				drained[id] = true
			}
		}
		s.frame.SetMarks(drained)
	}
	if n.Nodes != nil && n.Nodes.Slot > s.nodes.Slot {
		s.nodes = *n.Nodes
		s.onNodes(n.Nodes.All)
	}
	s.divide(time.Now())
}

func (s *state) takeConfig(c *feed.Config) {
	old := s.plan.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	raw := c.Raw
	if c.Base != 0 {
		if old == nil || old.Version != c.Base {
			return
		}
		var err error
		if raw, err = cell.ApplyPatch(old.Raw, c.Raw); err != nil {
			return
		}
	}
	cfg, err := numbering.Read(raw)
	if err != nil || cfg.Version != c.Version {
		s.log.Error(event.ConfigRefused).Uint64("version", c.Version).Err(err).Msg("the feed brought a configuration that cannot be used")
		return
	}
	p := numbering.Compile(cfg, raw)
	limits, paths := map[string]int{}, map[string]string{}
	for name, sv := range p.Services {
		limits[name], paths[name] = sv.ConnectionLimit, sv.HealthPath
	}
	s.frame.SetServices(limits, paths)
	s.plan.Store(p)
	s.asker.Forget(p)
	s.log.Info(event.ConfigInForce).Uint64("version", p.Version).Int("routes", len(cfg.Routes)).Msg("configuration in force")
}

// divide works out among how many nodes the shared limits are divided.
func (s *state) divide(now time.Time) {
	for _, n := range s.nodes.All {
		if !n.Control && !n.Down {
			s.counted[n.Name] = now
		}
	}
	live := 0
	for name, at := range s.counted {
		if now.Sub(at) > countedFor {
			delete(s.counted, name)
		} else {
			live++
		}
	}
	if live > 0 {
		s.frame.SetNodes(live)
		s.toll.SetNodes(live)
	}
}

// news answers another switch that lacks what this one has.
func (s *state) news(h feed.Have) *feed.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &feed.News{}
	if p := s.plan.Load(); p != nil && p.Version > h.Config {
		n.Config = &feed.Config{Version: p.Version, Raw: p.Raw}
	}
	if s.list != nil && h.List.Less(s.list.Stamp) {
		n.List = s.list
	}
	for ix, m := range s.marks {
		if h.Marks[ix] < m.Slot {
			n.Marks = append(n.Marks, m)
		}
	}
	if s.nodes.Slot > h.Nodes {
		all := s.nodes
		n.Nodes = &all
	}
	return n
}

// ready reports whether this node can serve.
func (s *state) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.Load() != nil && s.list != nil
}
