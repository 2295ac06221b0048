package loadtest

import (
	"fmt"
	"net/http"

	"comethold/internal/testbed"
)

// IP addresses of the simulated platform and of the leaf server.
const (
	platformIP   = "127.9.0.1"
	sharedLeafIP = "127.8.0.1"
)

const hostsPerSubnet = 250

// hostAddress returns the i-th address of a /16 subnet, given by its first two octets ("127.8").
func hostAddress(subnet string, i int) string {
	return fmt.Sprintf("%s.%d.%d", subnet, i/hostsPerSubnet, i%hostsPerSubnet+1)
}

// listUnreachableLeafs fills the platform's list with leafs that are never called. The order of
// their IDs differs from that of their indexes.
func (c *Cluster) listUnreachableLeafs() {
	for i := range c.size.Leafs {
		c.platform.Add(testbed.Instance{
			ID:               leafID(i),
			Service:          c.shardName(i),
			Address:          c.address(hostAddress("127.8", i), leafPort),
			AvailabilityZone: zoneName(i/7, c.size.Zones),
			Version:          "v1",
			CapacitySlots:    2,
			State:            testbed.Ready,
		})
	}
}

// leafID returns the ID of the i-th leaf of listUnreachableLeafs.
func leafID(i int) string { return fmt.Sprintf("i-%08x", i*2654435761%(1<<32)) }

// listLeafsAt fills the platform's list with leafs that are all served at one address.
func (c *Cluster) listLeafsAt(address string) {
	for i := range c.size.Leafs {
		c.platform.Add(testbed.Instance{
			ID:               fmt.Sprintf("i-%08x", i),
			Service:          c.shardName(i),
			Address:          address,
			AvailabilityZone: zoneName(0, c.size.Zones),
			Version:          "v1",
			CapacitySlots:    64,
			State:            testbed.Ready,
		})
	}
}

// shardName returns the name of the service of the i-th leaf.
func (c *Cluster) shardName(i int) string { return fmt.Sprintf("shard-%d", i%c.size.shards()) }

// drainFirstLeaf sets the state of the first leaf to draining and returns its ID.
func (c *Cluster) drainFirstLeaf() string {
	id := leafID(0)
	c.platform.SetState(id, testbed.Draining)
	return id
}

// serveShard simulates every leaf: it answers at once with 64 bytes of records that contain
// the instance ID.
func serveShard(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Comethold-Request-Id")
	name := r.Header.Get("X-Comethold-Expected-Instance")
	w.Header().Set("X-Comethold-Server-Stamp", name+"."+id)
	w.Header().Set("X-Comethold-Request-Id", id)
	fmt.Fprintf(w, "%-64.64s", name)
}
