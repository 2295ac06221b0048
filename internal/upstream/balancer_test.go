package upstream

import (
	"testing"
	"time"

	"comethold/internal/distribution"
)

// balancedCluster makes a cluster of healthy endpoints with like latencies, two
// slots each, in the zone of its balancer.
func balancedCluster(ids ...string) (*loadBalancer, *Cluster) {
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

// change replaces what the endpoint list says of an endpoint.
func change(endpoint *Endpoint, edit func(*distribution.Endpoint)) {
	info := endpoint.Info()
	edit(&info)
	endpoint.info.Store(&info)
}

// TestBalancerAvoids: of two endpoints, the one with trouble is not picked.
func TestBalancerAvoids(t *testing.T) {
	now := time.Now()
	for name, trouble := range map[string]func(*Endpoint){
		"a slower one":          func(e *Endpoint) { e.load.latency = 0.2 },
		"a busier one":          func(e *Endpoint) { e.activeCalls = 4 },
		"one with errors":       func(e *Endpoint) { e.errorRate.record(now, 1) },
		"one that rejected":     func(e *Endpoint) { e.load.lastRejectedAt = now },
		"one in slow start":     func(e *Endpoint) { e.health = endpointHealth{healthySince: now, ejectionTime: 1} },
		"one that warms up":     func(e *Endpoint) { change(e, func(i *distribution.Endpoint) { i.WarmingUp = true }) },
		"one of another zone":   func(e *Endpoint) { change(e, func(i *distribution.Endpoint) { i.Zone = "b1" }) },
		"one that drains":       func(e *Endpoint) { change(e, func(i *distribution.Endpoint) { i.Draining = true }) },
		"one that terminates":   func(e *Endpoint) { e.terminating = true },
		"one the fleet ejected": func(e *Endpoint) { e.fleetEjected = true },
		"one that is ejected":   func(e *Endpoint) { e.health.state = stateEjected },
		"one that has no room":  func(e *Endpoint) { e.activeCalls = 8 },
		"one already tried":     nil,
	} {
		t.Run(name, func(t *testing.T) {
			balancer, cluster := balancedCluster("good", "bad")
			good, bad := cluster.endpoints[0], cluster.endpoints[1]
			var tried []*Endpoint
			if trouble == nil {
				tried = append(tried, bad)
			} else {
				trouble(bad)
			}
			for range 50 {
				if picked := balancer.pick(cluster, tried, false, now); picked != good {
					t.Fatalf("picked %v", picked.Info().ID)
				}
			}
		})
	}
}

// TestBalancerProbation: an endpoint on probation gets one call at a time, one that
// is not idempotent only when no other came for a while, and also while the fleet
// ejects it.
func TestBalancerProbation(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		why           string
		active        int
		nonIdempotent bool
		since         time.Duration
		want          bool
	}{
		{"the first call", 0, false, 0, true},
		{"a second call", 1, false, 0, false},
		{"a call that is not idempotent", 0, true, 0, false},
		{"a call that is not idempotent, later", 0, true, probationPatience + 1, true},
	} {
		for _, fleetEjected := range []bool{false, true} {
			balancer, cluster := balancedCluster("e")
			endpoint := cluster.endpoints[0]
			endpoint.activeCalls = c.active
			endpoint.fleetEjected = fleetEjected
			endpoint.health = endpointHealth{state: stateProbation, probationSince: now.Add(-c.since)}
			if got := balancer.accepts(endpoint, c.nonIdempotent, now); got != c.want {
				t.Errorf("%s, ejected by the fleet %v: accepted %v", c.why, fleetEjected, got)
			}
		}
	}
}

// TestBalancerSpreads: endpoints that score alike all get calls.
func TestBalancerSpreads(t *testing.T) {
	balancer, cluster := balancedCluster("e1", "e2", "e3", "e4")
	picks := map[string]int{}
	for range 400 {
		picks[balancer.pick(cluster, nil, false, time.Now()).Info().ID]++
	}
	for _, endpoint := range cluster.endpoints {
		if id := endpoint.Info().ID; picks[id] < 40 {
			t.Errorf("%s got %d of 400 calls", id, picks[id])
		}
	}
}

// TestMaxActiveCalls: the slots of an endpoint are divided among the nodes, and
// each node may have one call.
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
		balancer, cluster := balancedCluster("e")
		balancer.slotOvercommit = c.overcommit
		balancer.nodeCount = c.nodes
		if got := balancer.maxActiveCalls(cluster.endpoints[0]); got != c.want {
			t.Errorf("overcommit %v among %d nodes: %d calls, want %d", c.overcommit, c.nodes, got, c.want)
		}
	}
}

// TestClusterLoad: rejections lower the share of admitted requests to a bound, and
// successes raise it again.
func TestClusterLoad(t *testing.T) {
	load := newCluster("s").load
	load.recordRejection()
	if load.admitRate < 1 || load.rejectionRate <= 0 {
		t.Errorf("after a single rejection: %+v", load)
	}
	for range 100 {
		load.recordRejection()
	}
	if load.admitRate != minAdmitRate || load.rejectionRate <= overloadRejectionRate {
		t.Errorf("after many rejections: %+v", load)
	}
	for range 1000 {
		load.recordSuccess(0.1)
	}
	if load.admitRate != maxAdmitRate || load.rejectionRate > overloadRejectionRate {
		t.Errorf("after many successes: %+v", load)
	}
	if load.meanLatency < 0.0999 || load.meanLatency > 0.1001 {
		t.Errorf("the mean latency is %v", load.meanLatency)
	}
}

// TestDecayingRate: errors fade with time and give way to successes.
func TestDecayingRate(t *testing.T) {
	now := time.Now()
	var rate decayingRate
	for range 100 {
		rate.record(now, 1)
	}
	if got := rate.current(now); got < 0.99 {
		t.Errorf("after errors only: %v", got)
	}
	if got := rate.current(now.Add(errorDecay)); got < 0.36 || got > 0.37 {
		t.Errorf("after the decay time: %v", got)
	}
	rate.record(now, 0)
	if got := rate.current(now); got > 0.81 {
		t.Errorf("after a success: %v", got)
	}
	rate.reset()
	if got := rate.current(now); got != 0 {
		t.Errorf("after a reset: %v", got)
	}
}

// TestBalancerObserves: which calls say how loaded an endpoint and its cluster are.
func TestBalancerObserves(t *testing.T) {
	now := time.Now()
	for result, want := range map[callResult]struct{ samples, rejections int }{
		callSucceeded:   {2, 0},
		callRejected:    {1, 1},
		callMisrouted:   {1, 0},
		callAnswered:    {1, 0},
		callServerError: {1, 0},
		callFailed:      {1, 0},
	} {
		balancer, cluster := balancedCluster("e")
		endpoint := cluster.endpoints[0]
		balancer.observe(endpoint, endedCall{result: result, duration: time.Second}, now)
		rejected := endpoint.load.lastRejectedAt.Equal(now) && cluster.load.rejectionRate > 0
		if endpoint.load.samples != want.samples || rejected != (want.rejections == 1) {
			t.Errorf("result %d: %+v, %+v", result, endpoint.load, cluster.load)
		}
	}
}
