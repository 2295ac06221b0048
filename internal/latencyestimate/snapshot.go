package latencyestimate

import (
	"maps"
	"time"
)

// ReplicaEstimate is the estimated duration of a slow lookup at another replica.
type ReplicaEstimate struct {
	Endpoint string   `json:"leaf" cbor:"1,keyasint"` // ID of the replica
	Estimate Estimate `json:"estimate" cbor:"2,keyasint"`
	// Actual is the actual duration if the lookup was also sent to this replica.
	Actual time.Duration `json:"real,omitempty" cbor:"3,keyasint,omitempty"`
	// Difference is the name of the Difference between the answer of this replica and that of
	// the slow one, if the lookup was also sent to this replica.
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
	// Differences holds the number of answers by endpoint ID and name of the Difference,
	// separated by a space.
	Differences map[string]uint64 `json:"parts" cbor:"3,keyasint"`
	Dropped     uint64            `json:"dropped" cbor:"4,keyasint"` // samples and pairs beyond the limits
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

// Snapshot returns the data of one service and class. An empty string matches all. The
// counters are those of all services and classes.
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
			// An empty list becomes nil, which the operator API returns as null.
			lookup.Replicas = append([]ReplicaEstimate(nil), lookup.Replicas...)
			snapshot.SlowLookups = append(snapshot.SlowLookups, lookup)
		}
	}
	return snapshot
}

// MergeSnapshots merges the snapshots of several nodes.
func MergeSnapshots(snapshots ...Snapshot) Snapshot {
	result := Snapshot{Counters: Counters{Differences: map[string]uint64{}}}
	merged := map[Key]*Sketch{}
	for _, snapshot := range snapshots {
		for _, keyed := range snapshot.Sketches {
			mergeInto(merged, keyed.Key, keyed.Sketch)
		}
		result.SlowLookups = append(result.SlowLookups, snapshot.SlowLookups...)
		result.Counters.add(snapshot.Counters)
	}
	result.Sketches = keyedSketches(merged)
	return result
}

// add adds the counters of another node.
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

// keyedSketches returns the sketches with their keys, in no particular order.
func keyedSketches(sketches map[Key]*Sketch) []KeyedSketch {
	var keyed []KeyedSketch
	for key, sketch := range sketches {
		keyed = append(keyed, KeyedSketch{Key: key, Sketch: sketch})
	}
	return keyed
}
