package latencyestimate

import (
	"maps"
	"time"
)

// ReplicaEstimate is how long another replica would have taken for a slow lookup.
type ReplicaEstimate struct {
	Endpoint string   `json:"leaf" cbor:"1,keyasint"` // ID of the replica
	Estimate Estimate `json:"estimate" cbor:"2,keyasint"`
	// Actual is how long it did take, if it was asked too.
	Actual time.Duration `json:"real,omitempty" cbor:"3,keyasint,omitempty"`
	// Difference is how its answer compares with the slow one's, if it was asked too.
	Difference string `json:"part,omitempty" cbor:"4,keyasint,omitempty"`
}

// SlowLookup is a lookup that was slow or was abandoned.
type SlowLookup struct {
	At       time.Time         `json:"at" cbor:"1,keyasint"`
	Key      Key               `json:"lookup" cbor:"2,keyasint"`
	Duration time.Duration     `json:"took" cbor:"3,keyasint"`
	Censored bool              `json:"givenUp,omitempty" cbor:"4,keyasint,omitempty"`
	Replicas []ReplicaEstimate `json:"others" cbor:"5,keyasint"` // the other replicas
}

// Counters count the comparisons of actual durations with their estimates, and the
// differences between answers.
type Counters struct {
	Compared uint64 `json:"compared" cbor:"1,keyasint"`
	Covered  uint64 `json:"covered" cbor:"2,keyasint"` // within the interval of the estimate
	// Differences counts by endpoint ID and kind, with a space between them.
	Differences map[string]uint64 `json:"parts" cbor:"3,keyasint"`
	Dropped     uint64            `json:"dropped" cbor:"4,keyasint"` // samples beyond the bounds
}

// Snapshot holds the sketches, slow lookups and counters of one node, or of several merged.
type Snapshot struct {
	Sketches    []KeyedSketch `cbor:"1,keyasint"`
	SlowLookups []SlowLookup  `cbor:"2,keyasint"` // oldest first for one node
	Counters    Counters      `cbor:"3,keyasint"`
}

// KeyedSketch is a sketch with its key.
type KeyedSketch struct {
	Key    Key     `cbor:"1,keyasint"`
	Sketch *Sketch `cbor:"2,keyasint"`
}

// Snapshot returns the data of one service and class; an empty string matches all.
func (c *Collector) Snapshot(service, class string) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	matches := func(k Key) bool {
		return (service == "" || k.Service == service) && (class == "" || k.Class == class)
	}
	snapshot := Snapshot{Counters: Counters{
		Compared:    c.counters.Compared,
		Covered:     c.counters.Covered,
		Differences: maps.Clone(c.counters.Differences),
		Dropped:     c.dropped.Load(),
	}}
	merged := map[Key]*Sketch{}
	for _, generation := range c.generationsLocked() {
		for key, sketch := range generation {
			if matches(key) {
				mergeInto(merged, key, sketch)
			}
		}
	}
	snapshot.Sketches = keyedSketches(merged)
	for _, lookup := range c.slowLookups {
		if matches(lookup.Key) {
			// Without replicas it is nil, which the operator API shows as null.
			lookup.Replicas = append([]ReplicaEstimate(nil), lookup.Replicas...)
			snapshot.SlowLookups = append(snapshot.SlowLookups, lookup)
		}
	}
	return snapshot
}

// MergeSnapshots joins the snapshots of several nodes.
func MergeSnapshots(snapshots ...Snapshot) Snapshot {
	joined := Snapshot{Counters: Counters{Differences: map[string]uint64{}}}
	merged := map[Key]*Sketch{}
	for _, snapshot := range snapshots {
		for _, keyed := range snapshot.Sketches {
			mergeInto(merged, keyed.Key, keyed.Sketch)
		}
		joined.SlowLookups = append(joined.SlowLookups, snapshot.SlowLookups...)
		joined.Counters.add(snapshot.Counters)
	}
	joined.Sketches = keyedSketches(merged)
	return joined
}

// add adds the counts of another node.
func (c *Counters) add(other Counters) {
	c.Compared += other.Compared
	c.Covered += other.Covered
	c.Dropped += other.Dropped
	for difference, n := range other.Differences {
		c.Differences[difference] += n
	}
}

// mergeInto adds the samples of a sketch to those of its key.
func mergeInto(merged map[Key]*Sketch, key Key, sketch *Sketch) {
	if merged[key] == nil {
		merged[key] = NewSketch()
	}
	merged[key].Merge(sketch)
}

// keyedSketches lists sketches with their keys, in no order.
func keyedSketches(sketches map[Key]*Sketch) []KeyedSketch {
	var keyed []KeyedSketch
	for key, sketch := range sketches {
		keyed = append(keyed, KeyedSketch{Key: key, Sketch: sketch})
	}
	return keyed
}
