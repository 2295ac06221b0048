package upstream

import (
	"testing"
	"time"

	"comethold/internal/distribution"
)

// newTestBalancer returns a balancer and a cluster of healthy endpoints in its zone, with
// equal latencies and two slots each.
func newTestBalancer(ids ...string) (*loadBalancer, *Cluster) {
	cluster := newCluster("s")
	cluster.connectionLimit = 8
	cluster.load.meanLatency = 0.1
	for _, id := range ids {
		endpoint := &Endpoint{cluster: cluster, pool: newConnectionPool(1)}
		endpoint.info.Store(&distribution.Endpoint{ID: id, Service: "s", Zone: "a1", Slots: 2})
		endpoint.load.recordLatency(0.1)
		cluster.endpoints = append(cluster.endpoints, endpoint)
	}
	subsets := &subsetter{locality: testLocality("n1", "a1"), nodeCount: 1}
	return &loadBalancer{zone: "a1", nodeCount: 1, dialLatency: &zoneLatency{}, subsets: subsets}, cluster
}

// setInfo edits the endpoint's entry in the endpoint list.
func setInfo(endpoint *Endpoint, edit func(*distribution.Endpoint)) {
	info := endpoint.Info()
	edit(&info)
	endpoint.info.Store(&info)
}

// TestBalancerAvoidsImpairedEndpoint guards against calls to an endpoint that scores worse
// than another one or accepts no calls.
func TestBalancerAvoidsImpairedEndpoint(t *testing.T) {
	now := time.Now()
	for name, impair := range map[string]func(*Endpoint){
		"slower":                   func(e *Endpoint) { e.load.latency = 0.2 },
		"more active calls":        func(e *Endpoint) { e.activeCalls = 4 },
		"errors":                   func(e *Endpoint) { e.errorRate.record(now, 1) },
		"recent rejection":         func(e *Endpoint) { e.load.lastRejectedAt = now },
		"slow start":               func(e *Endpoint) { e.health = endpointHealth{healthySince: now, ejectionTime: 1} },
		"warming up":               func(e *Endpoint) { setInfo(e, func(i *distribution.Endpoint) { i.WarmingUp = true }) },
		"another zone":             func(e *Endpoint) { setInfo(e, func(i *distribution.Endpoint) { i.Zone = "b1" }) },
		"draining":                 func(e *Endpoint) { setInfo(e, func(i *distribution.Endpoint) { i.Draining = true }) },
		"terminating":              func(e *Endpoint) { e.terminating = true },
		"ejected by the fleet":     func(e *Endpoint) { e.fleetEjected = true },
		"ejected by the node":      func(e *Endpoint) { e.health.state = stateEjected },
		"connection limit reached": func(e *Endpoint) { e.activeCalls = 8 },
		"already tried":            nil,
	} {
		t.Run(name, func(t *testing.T) {
			balancer, cluster := newTestBalancer("good", "bad")
			good, bad := cluster.endpoints[0], cluster.endpoints[1]
			var tried []*Endpoint
			if impair == nil {
				tried = append(tried, bad)
			} else {
				impair(bad)
			}
			for range 50 {
				if picked := balancer.pick(cluster, tried, false, now); picked != good {
					t.Fatalf("pick returned endpoint %v, want endpoint good", picked.Info().ID)
				}
			}
		})
	}
}

// TestBalancerProbation: an endpoint on probation gets one call at a time, also while the
// fleet ejects it, and non-idempotent calls only after nonIdempotentProbationDelay.
func TestBalancerProbation(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name          string
		active        int
		nonIdempotent bool
		since         time.Duration
		want          bool
	}{
		{"first call", 0, false, 0, true},
		{"second call", 1, false, 0, false},
		{"non-idempotent call", 0, true, 0, false},
		{"non-idempotent call after the delay", 0, true, nonIdempotentProbationDelay + 1, true},
	} {
		for _, fleetEjected := range []bool{false, true} {
			balancer, cluster := newTestBalancer("e")
			endpoint := cluster.endpoints[0]
			endpoint.activeCalls = c.active
			endpoint.fleetEjected = fleetEjected
			endpoint.health = endpointHealth{state: stateProbation, probationSince: now.Add(-c.since)}
			if got := balancer.accepts(endpoint, c.nonIdempotent, now); got != c.want {
				t.Errorf("%s, fleetEjected %v: accepts returned %v, want %v", c.name, fleetEjected, got, c.want)
			}
		}
	}
}

// TestBalancerSpreadsCalls: endpoints with equal scores all get calls.
func TestBalancerSpreadsCalls(t *testing.T) {
	balancer, cluster := newTestBalancer("e1", "e2", "e3", "e4")
	picks := map[string]int{}
	for range 400 {
		picks[balancer.pick(cluster, nil, false, time.Now()).Info().ID]++
	}
	for _, endpoint := range cluster.endpoints {
		if id := endpoint.Info().ID; picks[id] < 40 {
			t.Errorf("%s got %d of 400 calls, want at least 40", id, picks[id])
		}
	}
}

// TestMaxActiveCalls: the slots of an endpoint are divided among the nodes, and each node
// may have at least one active call.
func TestMaxActiveCalls(t *testing.T) {
	for _, c := range []struct {
		overcommit float64
		nodes      int
		want       int
	}{
		{0, 1, 8},
		{1.5, 1, 3},
		{1.5, 2, 2},
		{1.5, 100, 1},
		{100, 1, 8},
	} {
		balancer, cluster := newTestBalancer("e")
		balancer.slotOvercommit = c.overcommit
		balancer.nodeCount = c.nodes
		if got := balancer.maxActiveCalls(cluster.endpoints[0]); got != c.want {
			t.Errorf("overcommit %v, %d nodes: maxActiveCalls returned %d, want %d", c.overcommit, c.nodes, got, c.want)
		}
	}
}

// TestClusterLoad: rejections lower the admit rate to minAdmitRate, and successes raise it
// again.
func TestClusterLoad(t *testing.T) {
	load := newCluster("s").load
	load.recordRejection()
	if load.admitRate < 1 || load.rejectionRate <= 0 {
		t.Errorf("load after one rejection: %+v, want admitRate >= 1 and rejectionRate > 0", load)
	}
	for range 100 {
		load.recordRejection()
	}
	if load.admitRate != minAdmitRate || load.rejectionRate <= overloadRejectionRate {
		t.Errorf("load after 101 rejections: %+v, want minAdmitRate and an overload", load)
	}
	for range 1000 {
		load.recordSuccess(0.1)
	}
	if load.admitRate != maxAdmitRate || load.rejectionRate > overloadRejectionRate {
		t.Errorf("load after 1000 successes: %+v, want maxAdmitRate and no overload", load)
	}
	if load.meanLatency < 0.0999 || load.meanLatency > 0.1001 {
		t.Errorf("meanLatency after successes of 0.1 s is %v, want 0.1", load.meanLatency)
	}
}

// TestDecayingRate: the error rate decays with time and falls with successes.
func TestDecayingRate(t *testing.T) {
	now := time.Now()
	var rate decayingRate
	for range 100 {
		rate.record(now, 1)
	}
	if got := rate.current(now); got < 0.99 {
		t.Errorf("rate after 100 errors: %v, want at least 0.99", got)
	}
	if got := rate.current(now.Add(errorDecay)); got < 0.36 || got > 0.37 {
		t.Errorf("rate after errorDecay: %v, want 1/e", got)
	}
	rate.record(now, 0)
	if got := rate.current(now); got > 0.81 {
		t.Errorf("rate after a success: %v, want at most 0.81", got)
	}
	rate.reset()
	if got := rate.current(now); got != 0 {
		t.Errorf("rate after reset: %v, want 0", got)
	}
}

// TestBalancerRecordsCallResults: only successes add a latency sample, and only rejections
// change the rejection rate.
func TestBalancerRecordsCallResults(t *testing.T) {
	now := time.Now()
	for result, want := range map[callResult]struct{ samples, rejections int }{
		callSucceeded:   {2, 0},
		callRejected:    {1, 1},
		callMisrouted:   {1, 0},
		callOtherStatus: {1, 0},
		callServerError: {1, 0},
		callFailed:      {1, 0},
	} {
		balancer, cluster := newTestBalancer("e")
		endpoint := cluster.endpoints[0]
		balancer.observe(endpoint, endedCall{result: result, duration: time.Second}, now)
		rejected := endpoint.load.lastRejectedAt.Equal(now) && cluster.load.rejectionRate > 0
		if endpoint.load.samples != want.samples || rejected != (want.rejections == 1) {
			t.Errorf("result %d: endpoint load %+v, cluster load %+v, want only a success or rejection recorded",
				result, endpoint.load, cluster.load)
		}
	}
}
