package loadtest

import (
	"time"

	"comethold/internal/testbed"
)

// Size is the size of a system, and the load and duration of its measurement.
type Size struct {
	// Hollow and Real are the numbers of proxies of each kind.
	Hollow, Real int
	// ControlNodes and Zones are the numbers of control nodes and zones.
	ControlNodes int `json:"Registrars"`
	Zones        int
	// Leafs is the number of leafs in the platform's list, six to a shard. Routes and Tenants
	// are their numbers in the configuration; each route has an index of its own.
	Leafs, Routes, Tenants int
	// PerNode is how many requests of tenants each hollow node gets per second.
	PerNode float64
	// Changes is how many configuration changes are measured, one after the other.
	Changes int
	// Rest is how long the system is measured without load, and then again with load.
	Rest time.Duration
	// Estimates enables the collection of lookup latencies.
	Estimates bool
}

// shards is the number of services, six leafs each.
func (s Size) shards() int { return max(1, s.Leafs/leafsPerShard) }

const leafsPerShard = 6

// Usage is what one process used while it was measured.
type Usage struct {
	CPU   float64 // share of a core
	RSSMb float64 // resident memory at the end
	Peak  float64 // highest resident memory, in MB
}

// memoryUsage returns the memory of a process; the CPU field is 0.
func memoryUsage(pid int) Usage {
	memory := testbed.MemoryOf(pid)
	return Usage{RSSMb: memory.Now, Peak: memory.Peak}
}

// Report is the result of a run. It is printed as JSON with the field names of earlier reports.
type Report struct {
	Size         Size
	Start        time.Duration   // from the start of the hollow nodes until all can serve
	StartBytes   float64         // received and sent by a node until then, mean
	ControlNodes []Usage         `json:"Registrars"` // without load
	Loaded       []Usage         // control nodes with requests of tenants
	Proxy        Usage           `json:"Switch"` // a real one without requests
	InForce      []time.Duration // of each change, from the acknowledgement until the last hollow node
	ChangeBytes  float64         // received and sent by a node for each change, mean
	Drained      time.Duration   // from the platform's list to the last hollow node
	IdleBytes    float64         // received and sent by a node per second without load, mean
	LoadBytes    float64         // the same with load
	Refused      float64         // share of the tenants' requests that got no token
	HollowMb     float64         // memory of this process for each hollow node
}

// ScatterReport is the cost of queries over many shards for one proxy.
type ScatterReport struct {
	Shards, Leafs int
	PerS          float64       // answered queries per second
	Missing       float64       // parts left out of an answer, mean
	Median, P99   time.Duration // of the answers
	Proxy         Usage         `json:"Switch"`
	PerShardCall  time.Duration // processor time of the proxy for each call to a shard
}
