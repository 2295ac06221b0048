package loadtest

import (
	"fmt"
	"net/http"

	"comethold/internal/testbed"
)

// Addresses of the stand-ins.
const (
	platformIP   = "127.9.0.1"
	sharedLeafIP = "127.8.0.1"
)

const machinesPerSubnet = 250

// hostAddress is the i-th address of a subnet, as 127.8.
func hostAddress(subnet string, i int) string {
	return fmt.Sprintf("%s.%d.%d", subnet, i/machinesPerSubnet, i%machinesPerSubnet+1)
}

// listUnreachableLeafs fills the platform's list with leafs that are never called; their names are
// not in the order of their numbers.
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

// leafID is the ID of the i-th leaf of listUnreachableLeafs.
func leafID(i int) string { return fmt.Sprintf("i-%08x", i*2654435761%(1<<32)) }

// listSharedLeaf fills the platform's list with leafs that are all served at one address.
func (c *Cluster) listSharedLeaf(address string) {
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

// shardName is the service of the i-th leaf.
func (c *Cluster) shardName(i int) string { return fmt.Sprintf("shard-%d", i%c.size.shards()) }

// drainFirst lists the first leaf as draining and returns its ID.
func (c *Cluster) drainFirst() string {
	id := leafID(0)
	c.platform.SetState(id, testbed.Draining)
	return id
}

// serveShard is the stand-in for all leafs: it answers at once with records of its own.
func serveShard(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Comethold-Request-Id")
	name := r.Header.Get("X-Comethold-Expected-Instance")
	w.Header().Set("X-Comethold-Server-Stamp", name+"."+id)
	w.Header().Set("X-Comethold-Request-Id", id)
	fmt.Fprintf(w, "%-64.64s", name)
}
