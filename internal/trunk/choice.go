package trunk

import (
	"math/rand/v2"
	"time"
)

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
	if t.leaf.Load().Draining || t.leaving || t.active >= f.room(t) {
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

// score estimates how long a call would take, in seconds, with what is far
// counted against it.
func (f *Frame) score(t *Trunk, now time.Time) float64 {
	far := 0.0
	if t.leaf.Load().Zone != f.place.Zone {
		d, ok := f.delay[t.leaf.Load().Zone]
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
	slots := float64(max(1, t.leaf.Load().Slots))
	s := lat + farFactor*far + float64(t.active)*work/slots*1.5 + errWork*work*t.bad(now)
	if t.leaf.Load().Cold {
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
	nodes := float64(f.nodes) / float64(max(1, len(g.trunks)))
	return min(1, max(0, nodes/rareNodes*2-1))
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

// Shared reports whether other calls of this node are at work at a leaf, or its service
// turns calls away.
func (f *Frame) Shared(t *Trunk) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.active > 1 || t.group.full > fullBar
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
