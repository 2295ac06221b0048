// Package ring decides who watches whom, and who is missed. Every node stands
// on a ring at a place that its name gives; the next few nodes on the ring are
// its watchers, and it sends them heartbeats.
package ring

import (
	"hash/fnv"
	"sort"
	"time"
)

// Watchers is how many nodes watch each node.
const Watchers = 3

// missedBeats is how many heartbeats in a row must be missed: datagrams are
// lost now and then.
const missedBeats = 3

// Place hashes names to a place that is spread well, however little they differ.
func Place(names ...string) uint64 {
	h := fnv.New64a()
	for i, n := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(n))
	}
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	return v ^ v>>33
}

// Of returns the watchers of a node among all nodes, and those that it watches.
func Of(name string, all []string) (watchers, watched []string) {
	type spot struct {
		name  string
		place uint64
	}
	ring := make([]spot, 0, len(all))
	for _, n := range all {
		if n != name {
			ring = append(ring, spot{n, Place(n)})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].place < ring[j].place })
	own := Place(name)
	at := sort.Search(len(ring), func(i int) bool { return ring[i].place > own })
	for k := range min(Watchers, len(ring)) {
		watchers = append(watchers, ring[(at+k)%len(ring)].name)
		watched = append(watched, ring[(at-1-k+len(ring))%len(ring)].name)
	}
	return watchers, watched
}

// Watch is what one node knows of those it watches.
type Watch struct {
	self  string
	every time.Duration
	heard map[string]time.Time
	ours  map[string]bool
}

// NewWatch starts with nobody to watch.
func NewWatch(self string, every time.Duration) *Watch {
	return &Watch{self: self, every: every, heard: map[string]time.Time{}, ours: map[string]bool{}}
}

// SetNodes takes the directory; a node new to us has until now to be heard.
func (w *Watch) SetNodes(all []string, now time.Time) {
	ours := map[string]bool{}
	_, watched := Of(w.self, all)
	for _, n := range watched {
		ours[n] = true
	}
	for n := range ours {
		if !w.ours[n] {
			w.heard[n] = now
		}
	}
	for n := range w.heard {
		if !ours[n] {
			delete(w.heard, n)
		}
	}
	w.ours = ours
}

// Heard takes in a heartbeat.
func (w *Watch) Heard(name string, now time.Time) {
	if w.ours[name] {
		w.heard[name] = now
	}
}

// Suspects names the watched nodes whose heartbeats stay away.
func (w *Watch) Suspects(now time.Time) []string {
	var out []string
	for n, at := range w.heard {
		if now.Sub(at) > missedBeats*w.every+w.every/2 {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// Woke forgives everybody: this node itself stood still.
func (w *Watch) Woke(now time.Time) {
	for n := range w.heard {
		w.heard[n] = now
	}
}
