package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is a stand-in for the platform: it lists the leafs and asks the machines whether
// they are ready.
type platform struct {
	fleet  *fleet
	server *http.Server
	mu     sync.Mutex
	leafs  []*leaf
	missed map[*machine]int
	ended  chan struct{}
}

type instance struct {
	InstanceID       string `json:"instanceId"`
	Service          string `json:"service"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	Version          string `json:"version"`
	CapacitySlots    int    `json:"capacitySlots"`
	State            string `json:"state"`
	WarmupLeftMs     int    `json:"warmupLeftMs"`
}

func startPlatform(f *fleet, leafs []*leaf) (*platform, error) {
	p := &platform{fleet: f, leafs: leafs, missed: map[*machine]int{}, ended: make(chan struct{})}
	listener, err := net.Listen("tcp4", f.platformAddr())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) list(writer http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := struct {
		Instances     []instance `json:"instances"`
		NextPageToken *string    `json:"nextPageToken"`
	}{Instances: []instance{}}
	for _, l := range p.leafs {
		page.Instances = append(page.Instances, instance{
			InstanceID: l.id, Service: l.service, Address: l.addr, AvailabilityZone: l.zone,
			Version: "v1", CapacitySlots: cap(l.slots), State: "ready",
		})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page)
}

// watch asks every machine each second whether it is ready; one that misses twice is out.
func (p *platform) watch() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(time.Second):
		}
		for _, m := range p.fleet.machines {
			go func() {
				response, err := client.Get("http://" + m.at(p.fleet.ports.readiness) + "/readiness")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				p.mu.Lock()
				defer p.mu.Unlock()
				p.missed[m]++
				if ok {
					p.missed[m] = 0
				}
			}()
		}
	}
}

// inUse returns the machines that get new connections.
func (p *platform) inUse() []*machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var in []*machine
	for _, m := range p.fleet.machines {
		if p.missed[m] < 2 {
			in = append(in, m)
		}
	}
	if 2*len(in) < len(p.fleet.machines) {
		return p.fleet.machines
	}
	return in
}

func (p *platform) stop() {
	close(p.ended)
	_ = p.server.Close()
}
