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
	// Leafs is the number of leafs in the platform's list, six per shard. Routes is the
	// number of routes without requests, each with a separate path prefix. Tenants is the number of tenants.
	Leafs, Routes, Tenants int
	// PerNode is the number of tenant requests that each hollow node receives per second.
	PerNode float64
	// Changes is the number of configuration changes to measure, one after another.
	Changes int
	// Rest is the duration of the measurement without load, and of the one under load.
	Rest time.Duration
	// Estimates enables the collection of lookup latencies.
	Estimates bool
}

// shards is the number of services, six leafs each.
func (s Size) shards() int { return max(1, s.Leafs/leafsPerShard) }

const leafsPerShard = 6

// Usage is the resource usage of one process during a measurement.
type Usage struct {
	CPU   float64 // used share of one core
	RSSMb float64 // resident memory at the end, in MB
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
	StartBytes   float64         // received and sent until then, mean per hollow node
	ControlNodes []Usage         `json:"Registrars"` // without load
	Loaded       []Usage         // control nodes under tenant requests
	Proxy        Usage           `json:"Switch"` // a real proxy without load
	InForce      []time.Duration // of each change: from its acknowledgement until the last hollow node applied it
	ChangeBytes  float64         // received and sent for one change, mean per hollow node
	Drained      time.Duration   // from the change of the platform's list until the last hollow node applied it
	IdleBytes    float64         // received and sent per second without load, mean per hollow node
	LoadBytes    float64         // as IdleBytes, but under load
	Refused      float64         // share of tenant requests that were not granted a quota token
	HollowMb     float64         // growth of this process's resident memory per hollow node
}

// ScatterReport is the result of MeasureScatter: the cost of queries over all shards for one proxy.
type ScatterReport struct {
	Shards, Leafs int
	PerS          float64       // successfully answered queries per second
	Missing       float64       // number of shards missing from a response, mean
	Median, P99   time.Duration // latency of the responses
	Proxy         Usage         `json:"Switch"`
	PerShardCall  time.Duration // processor time of the proxy per call to a shard
}
