package latency

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/latencyestimate"
)

// estimatesPath is the RPC path of data plane nodes that returns their estimates.
const estimatesPath = "/estimates"

const (
	maxConcurrentQueries = 16
	queryTimeout         = 800 * time.Millisecond // for one node
)

// View is the response to an operator's request for estimates.
type View struct {
	At         time.Time                    `json:"at"`
	Nodes      int                          `json:"nodes"`      // data plane nodes that answered
	Unanswered int                          `json:"unanswered"` // data plane nodes that did not answer
	Replicas   []ReplicaEstimate            `json:"copies"`
	Slow       []latencyestimate.SlowLookup `json:"slow"` // oldest first
	Counters   latencyestimate.Counters     `json:"tally"`
}

// dropSlowThrough drops slow lookups at or before a time.
func (v *View) dropSlowThrough(until time.Time) {
	first := slices.IndexFunc(v.Slow, func(lookup latencyestimate.SlowLookup) bool { return lookup.At.After(until) })
	if first < 0 {
		first = len(v.Slow)
	}
	v.Slow = v.Slow[first:]
}

// KeepRecent drops slow lookups that are not more recent than the given age.
func (v *View) KeepRecent(age time.Duration) { v.dropSlowThrough(v.At.Add(-age)) }

// ReplicaEstimate is the estimate for one replica.
type ReplicaEstimate struct {
	latencyestimate.Key
	Estimate latencyestimate.Estimate `json:"estimate"`
}

// Caller makes RPCs.
type Caller interface {
	// Call posts in to a path at an address and decodes the response into out.
	Call(ctx context.Context, address, path string, in, out any) error
}

// Collector asks data plane nodes for their estimates.
type Collector struct {
	nodes  func() map[string]distribution.Node // by name; the map must not be modified
	port   int                                 // on which data plane nodes serve RPCs
	caller Caller
}

// NewCollector returns a Collector. nodes returns all nodes by name; the Collector does not modify
// the map. port is the port on which data plane nodes serve RPCs.
func NewCollector(nodes func() map[string]distribution.Node, port int, caller Caller) *Collector {
	return &Collector{nodes: nodes, port: port, caller: caller}
}

// CollectAll sends a request to all data plane nodes and merges their estimates.
func (c *Collector) CollectAll(ctx context.Context, request distribution.EstimatesRequest) View {
	return c.collect(ctx, request, func(distribution.Node) bool { return true })
}

// CollectZone requests all estimates of the data plane nodes in a zone and merges them.
func (c *Collector) CollectZone(ctx context.Context, zone string) View {
	inZone := func(node distribution.Node) bool { return node.Zone == zone }
	return c.collect(ctx, distribution.EstimatesRequest{}, inZone)
}

func (c *Collector) collect(
	ctx context.Context, request distribution.EstimatesRequest, wanted func(distribution.Node) bool,
) View {
	view := View{At: time.Now().UTC(), Replicas: []ReplicaEstimate{}, Slow: []latencyestimate.SlowLookup{}}
	var mu sync.Mutex // guards view and snapshots
	var snapshots []latencyestimate.Snapshot
	var queries sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, node := range c.nodes() {
		if !node.ServesClients() || node.Down || !wanted(node) {
			continue
		}
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			snapshot, err := c.query(ctx, node.Addr, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				view.Unanswered++
				return
			}
			view.Nodes++
			snapshots = append(snapshots, snapshot)
		})
	}
	queries.Wait()
	view.addMerged(latencyestimate.MergeSnapshots(snapshots...))
	return view
}

// query requests the estimates of one node.
func (c *Collector) query(
	ctx context.Context, host string, request distribution.EstimatesRequest,
) (snapshot latencyestimate.Snapshot, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	address := net.JoinHostPort(host, strconv.Itoa(c.port))
	err = c.caller.Call(ctx, address, estimatesPath, request, &snapshot)
	return snapshot, err
}

// addMerged adds a merged snapshot to the view and sorts the replicas and the slow lookups.
func (v *View) addMerged(merged latencyestimate.Snapshot) {
	for _, keyed := range merged.Sketches {
		v.Replicas = append(v.Replicas, ReplicaEstimate{Key: keyed.Key, Estimate: keyed.Sketch.Estimate()})
	}
	slices.SortFunc(v.Replicas, func(a, b ReplicaEstimate) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Endpoint, b.Endpoint),
			cmp.Compare(a.Load, b.Load),
		)
	})
	v.Slow = append(v.Slow, merged.SlowLookups...)
	slices.SortFunc(v.Slow, func(a, b latencyestimate.SlowLookup) int { return a.At.Compare(b.At) })
	v.Counters = merged.Counters
}
