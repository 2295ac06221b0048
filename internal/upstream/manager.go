package upstream

import (
	"sync"
	"time"

	"comethold/internal/boundedio"
	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// defaultConnectionLimit is how many connections a node may have to each endpoint
// of a service without a configured limit.
const defaultConnectionLimit = 64

// Locality is the name and the place of a node.
type Locality struct {
	Node     string
	Zone     string
	RegionOf func(zone string) string
}

// ClusterManager holds the clusters of this node. It is safe for concurrent use.
type ClusterManager struct {
	log    *logging.Logger
	dialer dialer

	// OnHealthChange is called when this node ejects or reinstates an endpoint. It
	// runs under mu and must not block. It is set before the first call.
	OnHealthChange func(distribution.HealthReport)
	// BodyMemory bounds the bodies of responses that are being read. It is set before the
	// first call; nil sets no bound.
	BodyMemory *boundedio.Budget

	mu               sync.Mutex // guards the fields below and those of clusters and endpoints
	clusters         map[string]*Cluster
	endpoints        map[string]*Endpoint // by id
	connectionLimits map[string]int       // by service, of all nodes together
	healthPaths      map[string]string    // by service
	subsets          subsetter
	balancer         loadBalancer
	outliers         outlierDetector
}

// NewClusterManager makes a manager without endpoints for a node at a locality.
func NewClusterManager(locality Locality, dial DialFunc, log *logging.Logger) *ClusterManager {
	m := &ClusterManager{
		log:              log,
		dialer:           dialer{dial: dial},
		clusters:         map[string]*Cluster{},
		endpoints:        map[string]*Endpoint{},
		connectionLimits: map[string]int{},
		healthPaths:      map[string]string{},
		subsets:          subsetter{locality: locality, nodeCount: 1},
		OnHealthChange:   func(distribution.HealthReport) {},
	}
	m.balancer = loadBalancer{
		zone:        locality.Zone,
		nodeCount:   1,
		dialLatency: &m.dialer.latency,
		subsets:     &m.subsets,
	}
	m.outliers = outlierDetector{
		log:           log,
		report:        func(report distribution.HealthReport) { m.OnHealthChange(report) },
		scheduleProbe: m.scheduleProbe,
	}
	return m
}

// SetServices sets the connection limits and health check paths by service. The
// limits are those of an endpoint for all nodes together.
func (m *ClusterManager) SetServices(limits map[string]int, paths map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connectionLimits = limits
	m.healthPaths = paths
	m.applyLimits()
}

// SetNodeCount sets among how many nodes the connection limits are divided.
func (m *ClusterManager) SetNodeCount(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count = max(1, count)
	m.subsets.nodeCount = count
	m.balancer.nodeCount = count
	m.applyLimits()
}

// SetSlotOvercommit bounds the active calls of an endpoint to its slots times
// overcommit, divided among the nodes; 0 leaves the bound to the connections.
func (m *ClusterManager) SetSlotOvercommit(overcommit float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.balancer.slotOvercommit = overcommit
}

// applyLimits applies the limits, paths and the number of nodes to all clusters.
func (m *ClusterManager) applyLimits() {
	for _, cluster := range m.clusters {
		m.applyLimitsTo(cluster)
	}
}

func (m *ClusterManager) applyLimitsTo(cluster *Cluster) {
	cluster.serviceConnectionLimit = m.connectionLimits[cluster.name]
	cluster.connectionLimit = defaultConnectionLimit
	if cluster.serviceConnectionLimit > 0 {
		cluster.connectionLimit = max(1, cluster.serviceConnectionLimit/m.balancer.nodeCount)
	}
	cluster.healthPath = m.healthPaths[cluster.name]
	cluster.invalidateSubset()
	for _, endpoint := range cluster.endpoints {
		endpoint.pool.setMaxIdle(cluster.connectionLimit)
	}
}

// cluster returns the cluster of a service. It creates a missing one.
func (m *ClusterManager) cluster(service string) *Cluster {
	cluster := m.clusters[service]
	if cluster == nil {
		cluster = newCluster(service)
		m.clusters[service] = cluster
		m.applyLimitsTo(cluster)
	}
	return cluster
}

// SetEndpoints sets the platform's complete list of endpoints, by id.
func (m *ClusterManager) SetEndpoints(listed map[string]distribution.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, info := range listed {
		endpoint := m.endpoints[info.ID]
		if endpoint == nil {
			endpoint = m.add(info, now)
		}
		if known := endpoint.info.Load(); known == nil || *known != info {
			stored := info // allocated only for what is new
			endpoint.info.Store(&stored)
			endpoint.cluster.invalidateSubset()
		}
	}
	for id, endpoint := range m.endpoints {
		if _, ok := listed[id]; !ok {
			m.remove(id, endpoint)
		}
	}
}

func (m *ClusterManager) add(info distribution.Endpoint, now time.Time) *Endpoint {
	cluster := m.cluster(info.Service)
	endpoint := &Endpoint{
		cluster: cluster,
		rank:    m.subsets.rank(info.ID, info.Zone),
		pool:    newConnectionPool(cluster.connectionLimit),
		health:  endpointHealth{healthySince: now},
	}
	m.endpoints[info.ID] = endpoint
	cluster.endpoints = append(cluster.endpoints, endpoint)
	return endpoint
}

func (m *ClusterManager) remove(id string, endpoint *Endpoint) {
	endpoint.removed = true
	delete(m.endpoints, id)
	endpoint.cluster.invalidateSubset()
	endpoint.cluster.remove(endpoint)
	endpoint.pool.close()
}

// SetFleetEjections sets the endpoints that the control plane ejects for all
// nodes, by id.
func (m *ClusterManager) SetFleetEjections(ejected map[string]distribution.EjectionMark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for id, endpoint := range m.endpoints {
		before := endpoint.fleetEjected
		mark, isEjected := ejected[id]
		endpoint.fleetEjected = isEjected
		endpoint.terminating = mark.Reason == distribution.ReasonDraining
		if before != isEjected {
			endpoint.cluster.invalidateSubset()
		}
		if before && !isEjected {
			m.outliers.reinstate(endpoint, now)
		}
	}
}

// CloseExpiredConnections closes idle connections that endpoints may close by now.
func (m *ClusterManager) CloseExpiredConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, endpoint := range m.endpoints {
		endpoint.pool.closeExpired(now)
	}
}
