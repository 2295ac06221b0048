package simulation_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/routing"
	"comethold/internal/simulation"
)

// addLeaf is `leaf ID SERVICE [zone= work= slots= mode= uses= cold=]`: adds a leaf. The next update
// contains it.
func (p *dataPlane) addLeaf(c simulation.Command) error {
	l := &leaf{
		Endpoint: distribution.Endpoint{
			ID: c.Word(0), Service: c.Word(1), Addr: c.Word(0) + ":80", Zone: "a",
			Slots: int(c.OptionFloat("slots", 4)), WarmingUp: c.Options["cold"] != "",
		},
		workTime: c.OptionDuration("work", 10),
		mode:     c.Options["mode"],
		modeUses: int(c.OptionFloat("uses", 0)),
	}
	if zone := c.Options["zone"]; zone != "" {
		l.Zone = zone
	}
	p.leafs[l.ID] = l
	return nil
}

// setLeaf is `set ID [mode= uses= work= draining=]`: changes a leaf. Without mode the leaf answers normally again,
// and without draining it is no longer draining; uses and work keep their values if omitted.
func (p *dataPlane) setLeaf(c simulation.Command) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leafs[c.Word(0)]
	l.mode = c.Options["mode"]
	l.calls = 0
	l.modeUses = int(c.OptionFloat("uses", float64(l.modeUses)))
	l.workTime = c.OptionDuration("work", float64(l.workTime.Milliseconds()))
	l.Draining = c.Options["draining"] != ""
	return nil
}

// addRoute is `route HOST PREFIX KIND SERVICE,... [scatter= timeout= target= attempts= least= public= class=]`:
// adds a route. The next update contains it.
func (p *dataPlane) addRoute(c simulation.Command) error {
	route := routing.Route{
		Name:            fmt.Sprint("r", len(p.routes)),
		Hostname:        c.Word(0),
		PathPrefix:      c.Word(1),
		RouteKind:       c.Word(2),
		TimeoutMs:       int64(c.OptionFloat("timeout", 5000)),
		TargetLatencyMs: int64(c.OptionFloat("target", 200)),
		MaxAttempts:     int64(c.OptionFloat("attempts", 2)),
		Public:          c.Options["public"] != "",
	}
	if c.Options["scatter"] == "" {
		route.Service = c.Word(3)
	} else {
		route.FanoutServices = strings.Split(c.Word(3), ",")
		route.ResultCount = int64(c.OptionFloat("scatter", 1))
		route.MinimumShardShare = c.OptionFloat("least", 1)
		route.LookupClass = c.Options["class"]
	}
	p.routes = append(p.routes, route)
	return nil
}

// setTenant is `tenant NAME KEY,...`: sets the API keys of a tenant; without keys it is removed.
func (p *dataPlane) setTenant(c simulation.Command) error {
	p.tenants = slices.DeleteFunc(p.tenants, func(t routing.Tenant) bool { return t.Name == c.Word(0) })
	if c.Word(1) != "" {
		p.tenants = append(p.tenants, routing.Tenant{Name: c.Word(0), APIKeys: strings.Split(c.Word(1), ",")})
	}
	return nil
}

// eject is `eject ID`: adds an ejection mark for the leaf to the index cell, as of the next update.
func (p *dataPlane) eject(c simulation.Command) error {
	p.ejected[c.Word(0)] = distribution.EjectionMark{Reason: distribution.ReasonUnresponsive}
	return nil
}

// reinstate is `reinstate ID`: removes the ejection mark of the leaf, as of the next update.
func (p *dataPlane) reinstate(c simulation.Command) error {
	delete(p.ejected, c.Word(0))
	return nil
}

// update is `update`: sends the proxy an update with everything that the scenario has set so far.
func (p *dataPlane) update(simulation.Command) error {
	p.publish()
	return nil
}

// runFor is `run MS`: lets MS milliseconds of simulated time pass.
func (p *dataPlane) runFor(c simulation.Command) error {
	time.Sleep(c.Milliseconds(0))
	return nil
}

// sendRequests is `request HOST PATH [n= post= body= gap= deadline= noid= key=Token_K claims=]`: sends
// n requests, one after the other.
func (p *dataPlane) sendRequests(c simulation.Command) error {
	method := http.MethodGet
	if c.Options["post"] != "" {
		method = http.MethodPost
	}
	for range int(c.OptionFloat("n", 1)) {
		p.request(c.Word(0), c.Word(1), method, c.Options["body"], c.Options)
		time.Sleep(c.OptionDuration("gap", 0))
	}
	return nil
}

// sendRequestsAtOnce is `request-at-once HOST PATH n=`: sends n requests concurrently.
func (p *dataPlane) sendRequestsAtOnce(c simulation.Command) error {
	for range int(c.OptionFloat("n", 1)) {
		p.running.Go(func() { p.request(c.Word(0), c.Word(1), http.MethodGet, "", c.Options) })
	}
	p.running.Wait()
	return nil
}

// enableEstimates is `estimates SHADOW`: enables latency estimates and the comparison of
// answers, with this share of shadow lookups; all leafs hold the same records.
func (p *dataPlane) enableEstimates(c simulation.Command) error {
	p.sameRecords = true
	p.settings.Estimates.Enabled = true
	p.settings.Estimates.ShadowShare = c.Float(0)
	p.newProxy()
	go func() { _ = p.proxy.CollectLatencies() }()
	return nil
}

// wantStatuses is `want STATUS=COUNT ...` or `STATUS>=COUNT`: checks how many requests got each of these statuses
// since the last want, and clears the counts.
func (p *dataPlane) wantStatuses(c simulation.Command) error {
	for key, value := range c.Options {
		status, isMinimum := strings.CutSuffix(key, ">")
		want, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		if got := p.statuses[status]; isMinimum && got < want || !isMinimum && got != want {
			return fmt.Errorf("%d requests got status %s, want %s=%s; all statuses: %v", got, status, key, value, p.statuses)
		}
	}
	p.statuses = map[string]int{}
	return nil
}

// wantHeader is `want-header KEY=VALUE ...`: checks headers of the last answer.
func (p *dataPlane) wantHeader(c simulation.Command) error {
	for key, want := range c.Options {
		if got := p.lastAnswer.Header().Get(key); got != want {
			return fmt.Errorf("header %s is %q, want %q", key, got, want)
		}
	}
	return nil
}

// wantWithin is `want-within MS`: checks that no request since the last want-within took longer than MS
// milliseconds.
func (p *dataPlane) wantWithin(c simulation.Command) error {
	if p.latency > c.Milliseconds(0) {
		return fmt.Errorf("the slowest request took %v, want at most %v", p.latency, c.Milliseconds(0))
	}
	p.latency = 0
	return nil
}

// wantRuns is `want-runs ID [least= most=]`: checks how many requests the leaf ran since the last want-runs.
func (p *dataPlane) wantRuns(c simulation.Command) error {
	time.Sleep(time.Millisecond) // a leaf may not yet have read a request that was sent to it before the answer ended
	p.mu.Lock()
	l := p.leafs[c.Word(0)]
	runs := l.runs
	l.runs = 0
	p.mu.Unlock()
	if float64(runs) < c.OptionFloat("least", 0) || float64(runs) > c.OptionFloat("most", 1e9) {
		return fmt.Errorf("leaf %s ran %d requests, want %v to %v",
			c.Word(0), runs, c.OptionFloat("least", 0), c.OptionFloat("most", 1e9))
	}
	return nil
}

// wantTenants is `want-tenants LEAF NAME,...`: checks the tenants in the requests that the leaf ran since the
// last want-tenants, in order; "-" stands for a request without one.
func (p *dataPlane) wantTenants(c simulation.Command) error {
	p.mu.Lock()
	got := strings.Join(p.tenantsSeen[c.Word(0)], ",")
	p.tenantsSeen[c.Word(0)] = nil
	p.mu.Unlock()
	if got != strings.ReplaceAll(c.Word(1), "-", "") {
		return fmt.Errorf("leaf %s received the tenants %q, want %s", c.Word(0), got, c.Word(1))
	}
	return nil
}

// wantEstimate is `want-estimate LEAF CLASS MS`: checks that the estimated median latency of the leaf without
// load is within 20% of MS milliseconds. If MS is 0, it checks that there is no estimate.
func (p *dataPlane) wantEstimate(c simulation.Command) error {
	snapshot := p.proxy.LatencyEstimates(distribution.EstimatesRequest{Class: c.Word(1)})
	for _, keyed := range snapshot.Sketches {
		if keyed.Key.Endpoint != c.Word(0) || keyed.Key.Load != 0 {
			continue
		}
		estimate := keyed.Sketch.Estimate()
		want := c.Milliseconds(2)
		isWithinTolerance := estimate.Known() && estimate.Median >= want*4/5 && estimate.Median <= want*6/5
		if want == 0 && estimate.Known() || want > 0 && !isWithinTolerance {
			return fmt.Errorf("the estimate is %+v, want a median within 20%% of %v (0: no estimate)", estimate, want)
		}
		return nil
	}
	return errors.New("the replica has no latency sketch of this class without load")
}

// wantSlowLookup is `want-slow LEAF OTHER`: checks that a slow lookup at LEAF is recorded with an estimate for OTHER
// whose range covers the time that OTHER took.
func (p *dataPlane) wantSlowLookup(c simulation.Command) error {
	slow := p.proxy.LatencyEstimates(distribution.EstimatesRequest{}).SlowLookups
	for _, lookup := range slow {
		for _, other := range lookup.Replicas {
			isPair := lookup.Key.Endpoint == c.Word(0) && other.Endpoint == c.Word(1)
			if isPair && other.Estimate.Known() && other.Estimate.Covers(other.Actual) {
				return nil
			}
		}
	}
	return fmt.Errorf("no slow lookup at %s has an estimate for %s that covers its actual latency, want one: %+v",
		c.Word(0), c.Word(1), slow)
}

// wantDifferences is `want-parts LEAF KIND ...`: checks that exactly these kinds of differences were counted, by leaf.
func (p *dataPlane) wantDifferences(c simulation.Command) error {
	got := p.proxy.LatencyEstimates(distribution.EstimatesRequest{}).Counters.Differences
	for pair := range slices.Chunk(c.Words, 2) {
		key := strings.Join(pair, " ")
		if got[key] == 0 {
			return fmt.Errorf("difference %q was not counted, want it among those that were: %v", key, got)
		}
		delete(got, key)
	}
	if len(got) > 0 {
		return fmt.Errorf("other differences were counted: %v, want none", got)
	}
	return nil
}
