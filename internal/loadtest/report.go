package loadtest

import "time"

// Size says how large a system is, and how long and with what it is measured.
type Size struct {
	// Hollow and Real are the numbers of proxies of each kind.
	Hollow, Real int
	// ControlNodes and Zones are the numbers of these.
	ControlNodes int `json:"Registrars"`
	Zones        int
	// Leafs, Routes and Tenants are the numbers that the platform lists and the
	// configuration names; six leafs make a shard, and each route is an index.
	Leafs, Routes, Tenants int
	// PerNode is how many requests a second ask each hollow node's tenants' quotas.
	PerNode float64
	// Changes is how many configuration changes are measured, one after the other.
	Changes int
	// Rest is how long what is idle, and then what is loaded, is measured.
	Rest time.Duration
	// Estimates has the latencies of lookups collected.
	Estimates bool
}

// shards is the number of services, six leafs each.
func (s Size) shards() int { return max(1, s.Leafs/leafsPerShard) }

const leafsPerShard = 6

// Usage is what one process used while it was measured.
type Usage struct {
	CPU   float64 // share of a core
	RSSMb float64 // resident memory at the end
	Peak  float64 // resident memory at the most, in MB
}

// Report is what a run found. Its fields are printed as JSON by the names that earlier
// reports have.
type Report struct {
	Size         Size
	Start        time.Duration   // from the start of the hollow nodes until all can serve
	StartBytes   float64         // a node received and sent until then, mean
	ControlNodes []Usage         `json:"Registrars"` // without load
	Loaded       []Usage         // control nodes with requests of tenants
	Proxy        Usage           `json:"Switch"` // a real one without requests
	InForce      []time.Duration // of each change, from the acknowledgement until the last hollow node
	ChangeBytes  float64         // received and sent by a node for each change, mean
	Drained      time.Duration   // from the platform's list to the last hollow node
	IdleBytes    float64         // a second, received and sent by a node without load
	LoadBytes    float64         // the same with load
	Refused      float64         // share of the tenants' requests that got no token
	HollowMb     float64         // memory of this process for each hollow node
}

// ScatterReport is what queries over many shards cost one proxy.
type ScatterReport struct {
	Shards, Leafs int
	PerS          float64       // queries a second that were answered
	Missing       float64       // parts left out of an answer, mean
	Median, P99   time.Duration // of the answers
	Proxy         Usage         `json:"Switch"`
	PerShardCall  time.Duration // processor time of the proxy for each call to a shard
}
