package loadtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// Addresses of the stand-ins.
const (
	platformIP   = "127.9.0.1"
	sharedLeafIP = "127.8.0.1"
)

const (
	machinesPerSubnet = 250
	platformPageSize  = 50
)

// instance is a leaf in the platform's list.
type instance struct {
	ID               string `json:"instanceId"`
	Service          string `json:"service"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	Version          string `json:"version"`
	CapacitySlots    int    `json:"capacitySlots"`
	State            string `json:"state"`
	WarmupLeftMs     int    `json:"warmupLeftMs"`
}

// instancePage is one page of the platform's list.
type instancePage struct {
	Instances     []instance `json:"instances"`
	NextPageToken *string    `json:"nextPageToken"`
}

// hostAddress is the i-th address of a subnet, as 127.8.
func hostAddress(subnet string, i int) string {
	return fmt.Sprintf("%s.%d.%d", subnet, i/machinesPerSubnet, i%machinesPerSubnet+1)
}

// listUnreachableLeafs fills the platform's list with leafs that are never called; their names are
// not in the order of their numbers.
func (c *Cluster) listUnreachableLeafs() {
	for i := range c.size.Leafs {
		c.instances = append(c.instances, instance{
			ID:               fmt.Sprintf("i-%08x", i*2654435761%(1<<32)),
			Service:          c.shardName(i),
			Address:          c.address(hostAddress("127.8", i), leafPort),
			AvailabilityZone: zoneName(i/7, c.size.Zones),
			Version:          "v1",
			CapacitySlots:    2,
			State:            "ready",
		})
	}
}

// listSharedLeaf fills the platform's list with leafs that are all served at one address.
func (c *Cluster) listSharedLeaf(address string) {
	for i := range c.size.Leafs {
		c.instances = append(c.instances, instance{
			ID:               fmt.Sprintf("i-%08x", i),
			Service:          c.shardName(i),
			Address:          address,
			AvailabilityZone: zoneName(0, c.size.Zones),
			Version:          "v1",
			CapacitySlots:    64,
			State:            "ready",
		})
	}
}

// shardName is the service of the i-th leaf.
func (c *Cluster) shardName(i int) string { return fmt.Sprintf("shard-%d", i%c.size.shards()) }

// drainFirst lists the first leaf as draining and returns its ID.
func (c *Cluster) drainFirst() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[0].State = "draining"
	return c.instances[0].ID
}

// servePlatform is the stand-in for the platform's list.
func (c *Cluster) servePlatform(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken")) // none: the first page
	from = min(from, len(c.instances))
	to := min(from+platformPageSize, len(c.instances))
	page := instancePage{Instances: c.instances[from:to]}
	if to < len(c.instances) {
		token := strconv.Itoa(to)
		page.NextPageToken = &token
	}
	_ = json.NewEncoder(w).Encode(page) // a caller that did not get it asks again
}

// serveShard is the stand-in for all leafs: it answers at once with records of its own.
func serveShard(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Comethold-Request-Id")
	name := r.Header.Get("X-Comethold-Expected-Instance")
	w.Header().Set("X-Comethold-Server-Stamp", name+"."+id)
	w.Header().Set("X-Comethold-Request-Id", id)
	fmt.Fprintf(w, "%-64.64s", name)
}
