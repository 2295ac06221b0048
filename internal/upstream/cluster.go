package upstream

import (
	"sync/atomic"

	"comethold/internal/distribution"
)

// Endpoint is one leaf server as this node sees it.
type Endpoint struct {
	info    atomic.Pointer[distribution.Endpoint] // what it points to never changes
	cluster *Cluster
	rank    subsetRank
	pool    *connectionPool

	// The fields below are guarded by ClusterManager.mu.

	activeCalls  int  // calls reserved or under way
	fleetEjected bool // ejected for all nodes by the control plane
	terminating  bool // fleetEjected because the platform drains it
	removed      bool // no longer in the endpoint list
	load         endpointLoad
	health       endpointHealth
	errorRate    decayingRate // share of calls that failed or got a 5xx status
}

// Info returns the endpoint's entry in the endpoint list.
func (e *Endpoint) Info() distribution.Endpoint { return *e.info.Load() }

// resetStatistics drops the measurements from before a change of health.
func (e *Endpoint) resetStatistics() {
	e.load.latency = 0
	e.load.samples = 0
	e.errorRate.reset()
}

// Cluster is the endpoints of one service. Its fields are guarded by
// ClusterManager.mu.
type Cluster struct {
	name      string
	endpoints []*Endpoint
	subset    []*Endpoint // endpoints to use first; nil: not computed yet
	// serviceConnectionLimit is how many connections each endpoint accepts from
	// all nodes together; 0 if that is not configured.
	serviceConnectionLimit int
	connectionLimit        int    // connections to each endpoint from this node
	healthPath             string // of health checks; empty if there are none
	load                   clusterLoad
}

func newCluster(name string) *Cluster {
	return &Cluster{name: name, load: clusterLoad{admitRate: maxAdmitRate}}
}

// invalidateSubset makes the next use of the subset compute it again.
func (c *Cluster) invalidateSubset() { c.subset = nil }

func (c *Cluster) remove(endpoint *Endpoint) {
	for i, other := range c.endpoints {
		if other == endpoint {
			// A new array: the subset may share the old one.
			c.endpoints = append(c.endpoints[:i:i], c.endpoints[i+1:]...)
			return
		}
	}
}
