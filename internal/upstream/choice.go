package upstream

import (
	"math/rand/v2"
	"time"
)

// Availability reports, for one request, how many of the services have a leaf that would
// take a call now, and for each the share of requests that its leafs can take.
func (f *ClusterManager) Availability(services []string) (up int, admits []float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	admits = make([]float64, len(services))
	now := time.Now()
	for i, name := range services {
		admits[i] = 1
		g := f.clusters[name]
		if g == nil {
			continue
		}
		admits[i] = min(1, g.admitRate)
		for _, t := range g.endpoints {
			if f.accepts(t, false, now) {
				up++
				break
			}
		}
	}
	return up, admits
}

// accepts reports whether a leaf takes a call. once says that the call may not be
// repeated: such calls try nobody out while others may.
func (f *ClusterManager) accepts(t *Endpoint, once bool, now time.Time) bool {
	if t.info.Load().Draining || t.terminating || t.activeCalls >= f.maxActiveCalls(t) {
		return false
	}
	switch t.health {
	case Healthy:
		return !t.fleetEjected
	case Probation: // also while marked: a real answer is what lifts the mark
		return t.activeCalls == 0 && (!once || now.Sub(t.probationSince) > probationPatience)
	}
	return false
}

// score estimates how long a call would take, in seconds, with what is far
// counted against it.
func (f *ClusterManager) score(t *Endpoint, now time.Time) float64 {
	far := 0.0
	if t.info.Load().Zone != f.locality.Zone {
		d, ok := f.dialLatency[t.info.Load().Zone]
		if !ok {
			d = 0.02
		}
		far = d + remoteZoneMeanShare*t.cluster.meanLatency
	}
	work := t.cluster.meanLatency
	if work == 0 {
		work = 0.02
	}
	lat := t.latency
	if t.samples == 0 {
		lat = work + far
	}
	slots := float64(max(1, t.info.Load().Slots))
	s := lat + remoteZoneFactor*far + float64(t.activeCalls)*work/slots*1.5 + errorCost*work*t.errorRate(now)
	if t.info.Load().WarmingUp {
		s += work * 0.5
	}
	if len(t.idle) == 0 {
		s += work * dialCost * f.reuseRarity(t.cluster)
	}
	// A leaf that turned a call away has a whole queue to work off first.
	if left := rejectionCost*work - now.Sub(t.lastRejectedAt).Seconds(); left > 0 {
		s += left
	}
	if since := now.Sub(t.healthySince); t.health == Healthy && t.ejectionTime > 0 && since < slowStartWindow {
		s += work * 4 * (1 - float64(since)/float64(slowStartWindow)) // back gradually
	}
	return s
}

// reuseRarity is how rarely, from 0 to 1, this node comes back to a line of the group:
// the more nodes share each leaf, the longer its lines rest, the more of them are
// opened for a single call, and the less any one node can even out their load.
func (f *ClusterManager) reuseRarity(g *Cluster) float64 {
	nodes := float64(f.nodeCount) / float64(max(1, len(g.endpoints)))
	return min(1, max(0, nodes/rareReuseNodes*2-1))
}

// pick picks the leaf for a try, leaving out those already tried: one of the
// node's own part of the group or, if none of those takes it, any.
func (f *ClusterManager) pick(g *Cluster, tried []*Endpoint, once bool, now time.Time) *Endpoint {
	own := f.subset(g)
	t := f.pickBest(own, tried, once, now)
	if t == nil && len(own) < len(g.endpoints) {
		t = f.pickBest(g.endpoints, tried, once, now)
	}
	return t
}

// pickBest picks the leaf of a list that seems to answer soonest.
func (f *ClusterManager) pickBest(list, tried []*Endpoint, once bool, now time.Time) *Endpoint {
	var best *Endpoint
	var bestScore float64
next:
	for _, t := range list {
		if !f.accepts(t, once, now) {
			continue
		}
		for _, o := range tried {
			if o == t {
				continue next
			}
		}
		s := f.score(t, now) * (1 + 0.1*rand.Float64())
		if best == nil || s < bestScore {
			best, bestScore = t, s
		}
	}
	return best
}

// Reserve reserves the best leaf of a service for one call, or returns nil. once
// says that the call may not be repeated.
func (f *ClusterManager) Reserve(service string, tried []*Endpoint, once bool) *Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.clusters[service]
	if g == nil {
		return nil
	}
	t := f.pick(g, tried, once, time.Now())
	if t != nil {
		t.activeCalls++
	}
	return t
}

// Overloaded reports whether the leafs of a service turn calls away as full.
func (f *ClusterManager) Overloaded(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.clusters[service]
	return g != nil && g.rejectionRate > overloadRejectionRate
}

// Contended reports whether other calls of this node are at work at a leaf, or its service
// turns calls away.
func (f *ClusterManager) Contended(t *Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.activeCalls > 1 || t.cluster.rejectionRate > overloadRejectionRate
}

// MeanLatency is how long calls of a service take.
func (f *ClusterManager) MeanLatency(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.clusters[service]; g != nil {
		return time.Duration(g.meanLatency * float64(time.Second))
	}
	return 0
}

// Release gives up a reservation that was not used.
func (f *ClusterManager) Release(t *Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.activeCalls--
}
