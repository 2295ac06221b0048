package upstream

import (
	"sync/atomic"

	"comethold/internal/distribution"
)

// Endpoint is one leaf server as this node sees it.
type Endpoint struct {
	info    atomic.Pointer[distribution.Endpoint] // the value is never modified, only replaced
	cluster *Cluster
	rank    subsetRank
	pool    *connectionPool

	// The fields below are guarded by ClusterManager.mu.

	activeCalls  int  // calls reserved or in progress
	fleetEjected bool // ejected for all nodes by the control plane
	terminating  bool // fleetEjected because the platform drains it
	removed      bool // no longer in the endpoint list
	load         endpointLoad
	health       endpointHealth
	errorRate    decayingRate // share of calls that failed or got a 5xx status
}

// Info returns the endpoint's entry in the endpoint list.
func (e *Endpoint) Info() distribution.Endpoint { return *e.info.Load() }

// resetStatistics discards the latency and the error rate measured before a change of
// the health state.
func (e *Endpoint) resetStatistics() {
	e.load.latency = 0
	e.load.samples = 0
	e.errorRate.reset()
}

// Cluster is the set of endpoints of one service. ClusterManager.mu guards its fields.
type Cluster struct {
	name      string
	endpoints []*Endpoint
	subset    []*Endpoint // preferred endpoints; nil: not computed yet
	// serviceConnectionLimit is the number of connections that each endpoint accepts
	// from all nodes together; 0 if it is not configured.
	serviceConnectionLimit int
	connectionLimit        int    // from this node to each endpoint
	healthPath             string // of health checks; empty if the service has none
	load                   clusterLoad
}

func newCluster(name string) *Cluster {
	return &Cluster{name: name, load: clusterLoad{admitRate: maxAdmitRate}}
}

// invalidateSubset discards the subset; its next use computes it again.
func (c *Cluster) invalidateSubset() { c.subset = nil }

func (c *Cluster) remove(endpoint *Endpoint) {
	for i, other := range c.endpoints {
		if other == endpoint {
			// Copies to a new array, since the subset may share the old one.
			c.endpoints = append(c.endpoints[:i:i], c.endpoints[i+1:]...)
			return
		}
	}
}
