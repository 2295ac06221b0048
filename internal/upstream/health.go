package upstream

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// errorRate is the share of bad answers of a leaf, as far as it still counts.
func (t *Endpoint) errorRate(now time.Time) float64 {
	if t.smoothedErrorRate == 0 {
		return 0
	}
	return t.smoothedErrorRate * math.Exp(-float64(now.Sub(t.errorRateAt))/float64(errorDecay))
}

// recordError counts an answer as bad or not.
func (t *Endpoint) recordError(now time.Time, bad float64) {
	old := t.errorRate(now)
	t.smoothedErrorRate, t.errorRateAt = old+errorWeight*(bad-old), now
}

// recordOutcome takes in how a call went.
func (f *ClusterManager) recordOutcome(t *Endpoint, a *Response, err error, start time.Time, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.activeCalls--
	now := time.Now()
	switch {
	case err == nil && a.Status/100 == 2:
		s := took.Seconds()
		if t.samples == 0 {
			t.latency = s
		} else {
			t.latency += latencyWeight * (s - t.latency)
		}
		t.samples++
		g := t.cluster
		g.rejectionRate -= rejectionWeight * g.rejectionRate
		g.admitRate = min(maxAdmitRate, g.admitRate+admitIncrease)
		if g.meanLatency == 0 {
			g.meanLatency = s
		} else {
			g.meanLatency += 0.02 * (s - g.meanLatency)
		}
		t.consecutiveFailures, t.lastAnswerAt = 0, now
		t.recordError(now, 0)
		if t.health != Healthy {
			f.reinstate(t, now)
		}
	case err == nil && a.Status == 421:
		f.eject(t, now, "another leaf has its address")
	case err == nil && a.NotExecuted():
		t.cluster.rejectionRate += rejectionWeight * (1 - t.cluster.rejectionRate)
		t.cluster.admitRate = max(minAdmitRate, t.cluster.admitRate-admitDecrease)
		t.lastRejectedAt = now
		if t.health == Probation {
			f.eject(t, now, "refused on trial")
		}
	case err == nil && a.Status < 500:
		t.lastAnswerAt = now
		if t.health != Healthy {
			f.reinstate(t, now)
		}
	case err == nil: // it answers, but badly
		t.lastAnswerAt = now
		t.recordError(now, 1)
		if t.health == Probation || t.errorRate(now) > ejectionErrorRate && f.canEject(t.cluster) {
			f.eject(t, now, "it answers badly")
		}
	default:
		t.consecutiveFailures++
		t.recordError(now, 1)
		if t.health == Probation || t.consecutiveFailures >= maxConsecutiveFailures || errors.Is(err, ErrNotSent) || (errors.Is(err, ErrTimeout) && t.lastAnswerAt.Before(start)) {
			f.eject(t, now, err.Error())
		}
	}
}

// canEject reports whether enough leafs of a group are well for one more to be
// barred for its answers: if most answer badly, that is how the service is.
func (f *ClusterManager) canEject(g *Cluster) bool {
	clear := 0
	for _, t := range g.endpoints {
		if t.health == Healthy && !t.fleetEjected && !t.info.Load().Draining {
			clear++
		}
	}
	return 2*(clear-1) >= len(g.endpoints)
}

// ReportOverdue is told that a call has waited longer than usual since it began. A
// leaf from which nothing came in all that time is taken for silent.
func (f *ClusterManager) ReportOverdue(t *Endpoint, since time.Time, usual time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if t.lastAnswerAt.Before(since) && now.Sub(since) >= 3*usual && t.health != Ejected {
		f.eject(t, now, "silent")
	}
}

// eject takes a trunk out of service for a while that grows.
func (f *ClusterManager) eject(t *Endpoint, now time.Time, why string) {
	if t.health == Ejected || t.removed {
		return
	}
	t.health, t.cluster.subset = Ejected, nil
	t.ejectionTime = min(max(baseEjectionTime, 2*t.ejectionTime), maxEjectionTime)
	f.closeIdle(t)
	f.log.Info(logging.EndpointEjected).Str("leaf", t.info.Load().ID).Str("service", t.info.Load().Service).Str("why", why).Msg("leaf barred on this node")
	f.OnHealthChange(distribution.HealthReport{EndpointID: t.info.Load().ID, Service: t.info.Load().Service})
	f.scheduleProbe(t, t.ejectionTime)
}

// reinstate puts a trunk back in service; traffic comes back gradually.
func (f *ClusterManager) reinstate(t *Endpoint, now time.Time) {
	if t.health == Healthy && !t.fleetEjected {
		return
	}
	t.health, t.consecutiveFailures, t.healthySince, t.cluster.subset = Healthy, 0, now, nil
	t.latency, t.samples, t.smoothedErrorRate = 0, 0, 0
	f.log.Info(logging.EndpointRestored).Str("leaf", t.info.Load().ID).Str("service", t.info.Load().Service).Msg("leaf clear on this node")
	f.OnHealthChange(distribution.HealthReport{EndpointID: t.info.Load().ID, Service: t.info.Load().Service, Healthy: true})
}

// beginProbation lets a barred trunk take single calls until one of them goes well or not.
func (f *ClusterManager) beginProbation(t *Endpoint, now time.Time) {
	t.health, t.cluster.subset, t.probationSince = Probation, nil, now
	t.latency, t.samples, t.smoothedErrorRate = 0, 0, 0
}

// scheduleProbe asks a barred leaf after a while whether it answers.
func (f *ClusterManager) scheduleProbe(t *Endpoint, after time.Duration) {
	if t.probing {
		return
	}
	t.probing = true
	time.AfterFunc(time.Duration((0.8+0.4*rand.Float64())*float64(after)), func() { f.probe(t) })
}

func (f *ClusterManager) probe(t *Endpoint) {
	f.mu.Lock()
	path, host := t.cluster.healthPath, t.info.Load().Addr
	gone := t.removed || t.health != Ejected
	t.probing = !gone
	leaving := t.info.Load().Draining
	f.mu.Unlock()
	if gone {
		return
	}
	// What it says of itself is not believed, either way: a leaf that answers at
	// all is tried with a request that may be repeated.
	answers := path == ""
	if path != "" && !leaving {
		r := &Request{Method: "GET", Target: path, Host: host, Deadline: time.Now().Add(probeTimeout)}
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		l, err := f.acquireConnection(ctx, t, r.NonIdempotent)
		cancel()
		if err == nil {
			a, _, err := l.roundTrip(r, "")
			answers = err == nil && a.Header.Get(HeaderInstanceID) == t.info.Load().ID
			f.discardConnection(t, l)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t.probing = false
	if t.removed || t.health != Ejected {
		return
	}
	if answers {
		f.beginProbation(t, time.Now())
		return
	}
	t.ejectionTime = min(2*t.ejectionTime, maxEjectionTime)
	f.scheduleProbe(t, min(t.ejectionTime, time.Second))
}
