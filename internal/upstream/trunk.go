// Package trunk keeps the connections to leafs, chooses the leaf for a try and
// learns from its answers how the leaf is.
package upstream

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// Timing and weights of the choice. Ours; see docs/design.md.
const (
	dialTimeout            = 600 * time.Millisecond
	baseEjectionTime       = 400 * time.Millisecond
	maxEjectionTime        = 3 * time.Second
	probationPatience      = time.Second // after which a trial may be by a call that may not be repeated
	latencyWeight          = 0.2
	maxConsecutiveFailures = 3
	remoteZoneMeanShare    = 0.5 // of a service's usual time that an answer from another zone must save
	remoteZoneFactor       = 1.0 // how many times its delay a far leaf must be better
	slowStartWindow        = 2 * time.Second
	rejectionWeight        = 0.02
	errorWeight            = 0.2
	errorDecay             = 3 * time.Second // in which what is known of bad answers fades to a third
	errorCost              = 20.0            // usual times that a certain failure counts as
	ejectionErrorRate      = 0.6             // the share of bad answers from which a leaf is barred
	admitDecrease          = 0.08            // of the calls to a service, for each that a full leaf turned away
	admitIncrease          = 0.005
	maxAdmitRate           = 1.1 // above 1: single full leafs are no overload
	minAdmitRate           = 0.3
	dialCost               = 0.4  // of the usual time that opening a line counts as, where lines rest long
	rareReuseNodes         = 20   // nodes to a leaf from which lines rest long; up to half of that they don't
	rejectionCost          = 4.0  // usual times that the queue of a leaf takes which turned a call away
	overloadRejectionRate  = 0.02 // the share of calls turned away above which a service is crowded
)

// Health is the explicit state of a trunk.
type Health uint8

// States: Clear takes calls, Barred takes none, OnTrial takes one at a time.
const (
	Healthy Health = iota
	Ejected
	Probation
)

// Endpoint is one leaf as this node sees it.
type Endpoint struct {
	info    atomic.Pointer[distribution.Endpoint] // what it points to never changes
	cluster *Cluster
	rank    subsetRank

	idle        []*connection
	open        int // lines, idle or at work
	activeCalls int // calls at work

	health              Health
	ejectionTime        time.Duration
	probationSince      time.Time // when its trial began
	fleetEjected        bool      // drained by its index cell
	terminating         bool      // and that because the platform says so
	removed             bool      // off the list
	consecutiveFailures int
	lastAnswerAt        time.Time
	healthySince        time.Time
	latency             float64 // seconds, smoothed
	samples             int
	probing             bool
	lastRejectedAt      time.Time // when it last turned a call away as full
	smoothedErrorRate   float64   // share of bad answers, smoothed, as of errAt
	errorRateAt         time.Time
}

// Cluster is the leafs of one service.
type Cluster struct {
	name            string
	endpoints       []*Endpoint
	subset          []*Endpoint // those used first; nil when it must be worked out anew
	connectionLimit int         // lines a leaf takes from this node
	healthPath      string
	meanLatency     float64 // seconds, smoothed over all leafs
	rejectionRate   float64 // share of calls that leafs turned away as full, smoothed
	admitRate       float64 // share of requests that the leafs can take, as far as known
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Locality is where a node stands.
type Locality struct {
	Node     string
	Zone     string
	RegionOf func(zone string) string
}

// ClusterManager holds every group of this node.
type ClusterManager struct {
	locality Locality
	log      *logging.Logger
	dial     DialFunc

	mu               sync.Mutex
	clusters         map[string]*Cluster
	endpoints        map[string]*Endpoint
	dialLatency      map[string]float64 // seconds that opening a line to a zone takes
	connectionLimits map[string]int
	healthPaths      map[string]string
	nodeCount        int
	slotOvercommit   float64

	// OnHealthChange is told of leafs that turn bad or well. It must not block.
	OnHealthChange func(distribution.HealthReport)
}

// NewClusterManager makes an empty frame for a node at a place.
func NewClusterManager(place Locality, dial DialFunc, log *logging.Logger) *ClusterManager {
	return &ClusterManager{locality: place, dial: dial, log: log, clusters: map[string]*Cluster{}, endpoints: map[string]*Endpoint{},
		dialLatency: map[string]float64{}, connectionLimits: map[string]int{}, healthPaths: map[string]string{}, nodeCount: 1, OnHealthChange: func(distribution.HealthReport) {}}
}

// SetServices takes the connection limits and health paths of a plan.
func (f *ClusterManager) SetServices(limits map[string]int, paths map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connectionLimits, f.healthPaths = limits, paths
	f.applyLimits()
}

// SetNodeCount tells among how many nodes the connection limits are divided.
func (f *ClusterManager) SetNodeCount(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodeCount = max(1, n)
	f.applyLimits()
}

// SetSlotOvercommit bounds the calls at work on a leaf to its slots times over, divided
// among the nodes; 0 leaves the bound to the lines.
func (f *ClusterManager) SetSlotOvercommit(over float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slotOvercommit = over
}

// maxActiveCalls is how many calls may be at work on a leaf from this node.
func (f *ClusterManager) maxActiveCalls(t *Endpoint) int {
	if f.slotOvercommit <= 0 {
		return t.cluster.connectionLimit
	}
	return min(t.cluster.connectionLimit, max(1, int(math.Ceil(f.slotOvercommit*float64(max(1, t.info.Load().Slots))/float64(f.nodeCount)))))
}

func (f *ClusterManager) applyLimits() {
	for name, g := range f.clusters {
		g.connectionLimit = 64
		if l := f.connectionLimits[name]; l > 0 {
			g.connectionLimit = max(1, l/f.nodeCount)
		}
		g.healthPath = f.healthPaths[name]
		g.subset = nil
	}
}

func (f *ClusterManager) cluster(name string) *Cluster {
	g := f.clusters[name]
	if g == nil {
		g = &Cluster{name: name, admitRate: maxAdmitRate}
		f.clusters[name] = g
		f.applyLimits()
	}
	return g
}

// SetEndpoints takes the platform's list, by the leafs' names.
func (f *ClusterManager) SetEndpoints(leafs map[string]distribution.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.Now()
	for _, l := range leafs {
		t := f.endpoints[l.ID]
		if t == nil {
			g := f.cluster(l.Service)
			t = &Endpoint{cluster: g, healthySince: at, rank: f.rank(l.ID, l.Zone)}
			f.endpoints[l.ID] = t
			g.endpoints = append(g.endpoints, t)
		}
		if old := t.info.Load(); old == nil || *old != l {
			now := l
			t.info.Store(&now)
			t.cluster.subset = nil
		}
	}
	for id, t := range f.endpoints {
		if _, listed := leafs[id]; !listed {
			f.remove(id, t)
		}
	}
}

func (f *ClusterManager) remove(id string, t *Endpoint) {
	t.removed = true
	t.cluster.subset = nil
	delete(f.endpoints, id)
	for i, o := range t.cluster.endpoints {
		if o == t {
			t.cluster.endpoints = append(t.cluster.endpoints[:i:i], t.cluster.endpoints[i+1:]...)
			break
		}
	}
	f.closeIdle(t)
}

// closeIdle closes the idle lines of a trunk.
func (f *ClusterManager) closeIdle(t *Endpoint) {
	for _, l := range t.idle {
		_ = l.conn.Close()
		t.open--
	}
	t.idle = nil
}

// SetFleetEjections takes the leafs that the index cells hold as drained.
func (f *ClusterManager) SetFleetEjections(drained map[string]distribution.EjectionMark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, t := range f.endpoints {
		was := t.fleetEjected
		var mark distribution.EjectionMark
		mark, t.fleetEjected = drained[id]
		t.terminating = mark.Reason == distribution.ReasonDraining
		if was != t.fleetEjected {
			t.cluster.subset = nil
		}
		if was && !t.fleetEjected {
			f.reinstate(t, time.Now())
		}
	}
}

// acquireConnection takes an idle line or opens a new one.
func (f *ClusterManager) acquireConnection(ctx context.Context, t *Endpoint, once bool) (*connection, error) {
	for {
		f.mu.Lock()
		var l *connection
		if n := len(t.idle); n > 0 {
			l = t.idle[n-1]
			t.idle = t.idle[:n-1]
		} else {
			t.open++
		}
		f.mu.Unlock()
		if l == nil {
			break
		}
		now := time.Now()
		if now.Before(l.reusableUntil) && !(once && (l.lastUnidentified || now.Sub(l.idleSince) > maxIdleNonIdempotent)) && l.isIdleAndOpen() {
			return l, nil
		}
		if l.unexpectedBytes {
			f.log.Warn(logging.EndpointSurplusData).Str("leaf", t.info.Load().ID).Msg("a leaf sent more after a whole answer; the connection is given up")
		}
		f.discardConnection(t, l)
	}
	start := time.Now()
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := f.dial(dctx, "tcp4", t.info.Load().Addr)
	cancel()
	if err != nil {
		f.mu.Lock()
		t.open--
		f.mu.Unlock()
		return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	took := time.Since(start).Seconds()
	f.mu.Lock()
	if d, ok := f.dialLatency[t.info.Load().Zone]; !ok || took < d {
		f.dialLatency[t.info.Load().Zone] = took
	} else {
		f.dialLatency[t.info.Load().Zone] = d + 0.01*(took-d)
	}
	f.mu.Unlock()
	return newConnection(c), nil
}

func (f *ClusterManager) discardConnection(t *Endpoint, l *connection) {
	_ = l.conn.Close()
	f.mu.Lock()
	t.open--
	f.mu.Unlock()
}

func (f *ClusterManager) releaseConnection(t *Endpoint, l *connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.removed || len(t.idle) >= t.cluster.connectionLimit {
		_ = l.conn.Close()
		t.open--
		return
	}
	l.idleSince = time.Now()
	t.idle = append(t.idle, l)
}

// Call sends a request over a trunk that Seize reserved, and releases it. The
// leaf is named, so that another at its address turns the request away.
func (f *ClusterManager) Call(t *Endpoint, r *Request) (*Response, error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	l, err := f.acquireConnection(ctx, t, r.NonIdempotent)
	var a *Response
	var took time.Duration
	start := time.Now()
	if err == nil {
		var reuse bool
		a, reuse, err = l.roundTrip(r, t.info.Load().ID)
		took = time.Since(start)
		if reuse {
			f.releaseConnection(t, l)
		} else {
			f.discardConnection(t, l)
		}
	}
	f.recordOutcome(t, a, err, start, took)
	return a, err
}

const probeTimeout = 500 * time.Millisecond

// CloseExpiredConnections closes idle lines whose time has passed.
func (f *ClusterManager) CloseExpiredConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, t := range f.endpoints {
		keep := t.idle[:0]
		for _, l := range t.idle {
			if now.After(l.reusableUntil) {
				_ = l.conn.Close()
				t.open--
			} else {
				keep = append(keep, l)
			}
		}
		t.idle = keep
	}
}

// Info returns the leaf of a trunk.
func (t *Endpoint) Info() distribution.Endpoint { return *t.info.Load() }
