package heartbeat

import (
	"sort"
	"time"
)

// missedHeartbeats is how many heartbeats in a row must be missing before a node is suspected. Single datagrams may be
// lost.
const missedHeartbeats = 3

// Detector records the heartbeats of the nodes that one node watches. It is not safe for concurrent use.
type Detector struct {
	self          string
	interval      time.Duration
	watched       map[string]bool
	lastHeartbeat map[string]time.Time // arrival time, by watched node
}

// NewDetector returns a detector for the node self. It watches no nodes until SetNodes is called. interval is the time
// between two heartbeats.
func NewDetector(self string, interval time.Duration) *Detector {
	return &Detector{
		self:          self,
		interval:      interval,
		watched:       map[string]bool{},
		lastHeartbeat: map[string]time.Time{},
	}
}

// SetNodes sets the names of all nodes and determines the watched ones. A newly watched node is treated as if its
// heartbeat had arrived at now.
func (d *Detector) SetNodes(nodes []string, now time.Time) {
	watched := map[string]bool{}
	_, names := AssignWatchers(d.self, nodes)
	for _, name := range names {
		watched[name] = true
		if !d.watched[name] {
			d.lastHeartbeat[name] = now
		}
	}
	for name := range d.lastHeartbeat {
		if !watched[name] {
			delete(d.lastHeartbeat, name)
		}
	}
	d.watched = watched
}

// RecordHeartbeat records the arrival of a heartbeat. It ignores nodes that are not watched.
func (d *Detector) RecordHeartbeat(name string, now time.Time) {
	if d.watched[name] {
		d.lastHeartbeat[name] = now
	}
}

// Suspects returns the names of the watched nodes whose heartbeats are missing, sorted.
func (d *Detector) Suspects(now time.Time) []string {
	limit := missedHeartbeats*d.interval + d.interval/2 // half an interval for network delays
	var suspects []string
	for name, last := range d.lastHeartbeat {
		if now.Sub(last) > limit {
			suspects = append(suspects, name)
		}
	}
	sort.Strings(suspects)
	return suspects
}

// Reset treats all watched nodes as if their heartbeats had arrived at now. The caller calls it after this process was
// suspended and could not receive heartbeats.
func (d *Detector) Reset(now time.Time) {
	for name := range d.lastHeartbeat {
		d.lastHeartbeat[name] = now
	}
}
