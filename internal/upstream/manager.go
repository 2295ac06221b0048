package upstream

import (
	"sync"
	"time"

	"comethold/internal/boundedio"
	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// defaultConnectionLimit is the maximum number of connections from a node to each
// endpoint of a service without a configured limit.
const defaultConnectionLimit = 64

// Locality is the name and the location of a node.
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
	// runs with mu held and must not block. It must be set before the first call.
	OnHealthChange func(distribution.HealthReport)
	// BodyMemory bounds the total memory of response bodies that are being read; nil sets
	// no bound. It must be set before the first call.
	BodyMemory *boundedio.Budget

	mu               sync.Mutex // guards the fields below and those of clusters and endpoints
	clusters         map[string]*Cluster
	endpoints        map[string]*Endpoint // by ID
	connectionLimits map[string]int       // by service; per endpoint, for all nodes together
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

// SetServices sets the connection limits and health check paths by service. A limit is
// the number of connections that each endpoint accepts from all nodes together.
func (m *ClusterManager) SetServices(limits map[string]int, paths map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connectionLimits = limits
	m.healthPaths = paths
	m.applyLimits()
}

// SetNodeCount sets the number of nodes that share the endpoints. Connection limits and
// slots are divided among them.
func (m *ClusterManager) SetNodeCount(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count = max(1, count)
	m.subsets.nodeCount = count
	m.balancer.nodeCount = count
	m.applyLimits()
}

// SetSlotOvercommit bounds the active calls to an endpoint to its slots times
// overcommit, divided among the nodes. With 0, only the connection limit applies.
func (m *ClusterManager) SetSlotOvercommit(overcommit float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.balancer.slotOvercommit = overcommit
}

// applyLimits applies the limits, health check paths and the node count to all clusters.
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

// cluster returns the cluster of a service. It creates the cluster if there is none.
func (m *ClusterManager) cluster(service string) *Cluster {
	cluster := m.clusters[service]
	if cluster == nil {
		cluster = newCluster(service)
		m.clusters[service] = cluster
		m.applyLimitsTo(cluster)
	}
	return cluster
}

// SetEndpoints sets the platform's complete list of endpoints, by ID. Endpoints that are
// missing from it are removed.
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
			stored := info // allocates only for new or changed entries
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
// nodes, by ID.
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

// CloseExpiredConnections closes idle connections whose reuse time has passed.
func (m *ClusterManager) CloseExpiredConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, endpoint := range m.endpoints {
		endpoint.pool.closeExpired(now)
	}
}
