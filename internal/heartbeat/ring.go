// Package ring decides who watches whom, and who is missed. Every node stands
// on a ring at a place that its name gives; the next few nodes on the ring are
// its watchers, and it sends them heartbeats.
package heartbeat

import (
	"hash/fnv"
	"sort"
	"time"
)

// WatchersPerNode is how many nodes watch each node.
const WatchersPerNode = 3

// missedHeartbeats is how many heartbeats in a row must be missed: datagrams are
// lost now and then.
const missedHeartbeats = 3

// Hash hashes names to a place that is spread well, however little they differ.
func Hash(names ...string) uint64 {
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

// Assign returns the watchers of a node among all nodes, and those that it watches.
func Assign(name string, all []string) (watchers, watched []string) {
	type spot struct {
		name  string
		place uint64
	}
	ring := make([]spot, 0, len(all))
	for _, n := range all {
		if n != name {
			ring = append(ring, spot{n, Hash(n)})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].place < ring[j].place })
	own := Hash(name)
	at := sort.Search(len(ring), func(i int) bool { return ring[i].place > own })
	for k := range min(WatchersPerNode, len(ring)) {
		watchers = append(watchers, ring[(at+k)%len(ring)].name)
		watched = append(watched, ring[(at-1-k+len(ring))%len(ring)].name)
	}
	return watchers, watched
}

// Detector is what one node knows of those it watches.
type Detector struct {
	self          string
	interval      time.Duration
	lastHeartbeat map[string]time.Time
	watched       map[string]bool
}

// NewDetector starts with nobody to watch.
func NewDetector(self string, every time.Duration) *Detector {
	return &Detector{self: self, interval: every, lastHeartbeat: map[string]time.Time{}, watched: map[string]bool{}}
}

// SetNodes takes the directory; a node new to us has until now to be heard.
func (w *Detector) SetNodes(all []string, now time.Time) {
	ours := map[string]bool{}
	_, watched := Assign(w.self, all)
	for _, n := range watched {
		ours[n] = true
	}
	for n := range ours {
		if !w.watched[n] {
			w.lastHeartbeat[n] = now
		}
	}
	for n := range w.lastHeartbeat {
		if !ours[n] {
			delete(w.lastHeartbeat, n)
		}
	}
	w.watched = ours
}

// RecordHeartbeat takes in a heartbeat.
func (w *Detector) RecordHeartbeat(name string, now time.Time) {
	if w.watched[name] {
		w.lastHeartbeat[name] = now
	}
}

// Suspects names the watched nodes whose heartbeats stay away.
func (w *Detector) Suspects(now time.Time) []string {
	var out []string
	for n, at := range w.lastHeartbeat {
		if now.Sub(at) > missedHeartbeats*w.interval+w.interval/2 {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// Reset forgives everybody: this node itself stood still.
func (w *Detector) Reset(now time.Time) {
	for n := range w.lastHeartbeat {
		w.lastHeartbeat[n] = now
	}
}
