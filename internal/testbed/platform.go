package testbed

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
)

// platformPageSize is the maximum number of instances on a page of the list.
const platformPageSize = 50

// States of instances.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Instance is a leaf in the platform's list.
type Instance struct {
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
	Instances     []Instance `json:"instances"`
	NextPageToken *string    `json:"nextPageToken"` // null on the last page
}

// Platform simulates the platform's list of instances. It serves the list on every path. The zero
// value is an empty list. It is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex // guards the field below
	instances []Instance
}

// Add adds instances to the list.
func (p *Platform) Add(instances ...Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, instances...)
}

// SetState sets the state of an instance and reports whether the instance is listed.
func (p *Platform) SetState(id, state string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.indexLocked(id)
	if i < 0 {
		return false
	}
	p.instances[i].State = state
	return true
}

// Remove removes an instance from the list and reports whether it was listed.
func (p *Platform) Remove(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.indexLocked(id)
	if i < 0 {
		return false
	}
	p.instances = slices.Delete(p.instances, i, i+1)
	return true
}

func (p *Platform) indexLocked(id string) int {
	return slices.IndexFunc(p.instances, func(instance Instance) bool { return instance.ID == id })
}

// ServeHTTP serves a page of the list. The page token is the index of the page's first instance.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken")) // a missing or invalid token selects the first page
	from = min(max(from, 0), len(p.instances))
	to := min(from+platformPageSize, len(p.instances))
	page := instancePage{Instances: p.instances[from:to]}
	if to < len(p.instances) {
		token := strconv.Itoa(to)
		page.NextPageToken = &token
	}
	_ = json.NewEncoder(w).Encode(page) // on an error the caller retries
}
