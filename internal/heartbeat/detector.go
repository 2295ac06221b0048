package heartbeat

import (
	"sort"
	"time"
)

// missedHeartbeats is how many heartbeats in a row must be missed: single datagrams are lost now and then.
const missedHeartbeats = 3

// Detector holds what one node knows of the nodes that it watches. It is not safe for use by several goroutines.
type Detector struct {
	self          string
	interval      time.Duration
	watched       map[string]bool
	lastHeartbeat map[string]time.Time // of the watched nodes
}

// NewDetector makes a detector for a node that watches nobody yet. interval is the time between two heartbeats.
func NewDetector(self string, interval time.Duration) *Detector {
	return &Detector{
		self:          self,
		interval:      interval,
		watched:       map[string]bool{},
		lastHeartbeat: map[string]time.Time{},
	}
}

// SetNodes takes the names of all nodes. A node that was not watched before counts as if its heartbeat had
// arrived now.
func (d *Detector) SetNodes(nodes []string, now time.Time) {
	watched := map[string]bool{}
	_, names := Assign(d.self, nodes)
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

// RecordHeartbeat notes a heartbeat; one of a node that is not watched is ignored.
func (d *Detector) RecordHeartbeat(name string, now time.Time) {
	if d.watched[name] {
		d.lastHeartbeat[name] = now
	}
}

// Suspects returns, sorted, the watched nodes whose heartbeats stay away.
func (d *Detector) Suspects(now time.Time) []string {
	limit := missedHeartbeats*d.interval + d.interval/2 // half an interval for delays of the network
	var suspects []string
	for name, last := range d.lastHeartbeat {
		if now.Sub(last) > limit {
			suspects = append(suspects, name)
		}
	}
	sort.Strings(suspects)
	return suspects
}

// Reset counts as if a heartbeat of every watched node had arrived now: this process was suspended and could receive
// nothing.
func (d *Detector) Reset(now time.Time) {
	for name := range d.lastHeartbeat {
		d.lastHeartbeat[name] = now
	}
}
