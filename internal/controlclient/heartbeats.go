package controlclient

import (
	"net"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/heartbeat"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// heartbeats sends this node's heartbeats to the nodes that watch it, and records the
// heartbeats of the nodes that it watches. All these nodes are in the zone of this node, so that
// the cost of failure detection doesn't depend on the number of zones.
//
// A node whose heartbeats are missing is a suspect. Each poll of the update stream reports the
// suspects to the control plane (UpdateRequest.Suspects). There, package nodereports counts the
// reports, and the node reconciler of package reconcile marks the node as down.
type heartbeats struct {
	settings *settings.Settings
	interval time.Duration

	mu       sync.Mutex // guards the fields below
	detector *heartbeat.Detector
	nodes    []distribution.Node
}

func newHeartbeats(set *settings.Settings) *heartbeats {
	interval := set.HeartbeatInterval()
	return &heartbeats{
		settings: set,
		interval: interval,
		detector: heartbeat.NewDetector(set.NodeName, interval),
	}
}

// setNodes applies a new directory of nodes.
func (h *heartbeats) setNodes(nodes []distribution.Node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes = nodes
	h.detector.SetNodes(h.zoneNodeNamesLocked(), time.Now())
}

// suspects returns the names of the watched nodes whose heartbeats are missing.
func (h *heartbeats) suspects() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.detector.Suspects(time.Now())
}

// record records a heartbeat received from a node.
func (h *heartbeats) record(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detector.RecordHeartbeat(node, time.Now())
}

// send sends heartbeats on conn until done is closed.
func (h *heartbeats) send(conn net.PacketConn, done <-chan struct{}) error {
	message, err := rpc.Marshal(&distribution.Datagram{Heartbeat: h.settings.NodeName})
	if err != nil {
		return err
	}
	ticker := time.NewTicker(h.interval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(lastTick) > 2*h.interval { // this process was suspended
			h.resetDetector(now)
		}
		lastTick = now
		for _, watcher := range h.watcherAddrs() {
			_, _ = conn.WriteTo(message, watcher) // ignore errors: the next heartbeat follows after one interval
		}
	}
}

// resetDetector treats every watched node as if its heartbeat had arrived now. Heartbeats that
// were not read while this process was suspended must not make their senders suspects.
func (h *heartbeats) resetDetector(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detector.Reset(now)
}

// watcherAddrs returns the addresses of the nodes that watch this node, without duplicates.
func (h *heartbeats) watcherAddrs() []net.Addr {
	h.mu.Lock()
	defer h.mu.Unlock()
	ports := map[string]int{} // by IP address
	watchers, _ := heartbeat.AssignWatchers(h.settings.NodeName, h.zoneNodeNamesLocked())
	for _, watcher := range watchers {
		for _, n := range h.nodes {
			if n.Name != watcher || n.ControlPlane {
				continue
			}
			program := settings.DataPlane
			if n.ObjectCache {
				program = settings.ObjectCache
			}
			ports[n.Addr] = h.settings.PortOf(program)
		}
	}
	var addresses []net.Addr
	for address, port := range ports {
		if ip := net.ParseIP(address); ip != nil {
			addresses = append(addresses, &net.UDPAddr{IP: ip, Port: port})
		}
	}
	return addresses
}

// zoneNodeNamesLocked returns the names of the nodes of this zone that take part in failure
// detection.
func (h *heartbeats) zoneNodeNamesLocked() []string {
	var names []string
	for _, n := range h.nodes {
		if !n.ControlPlane && !n.Down && n.Zone == h.settings.AvailabilityZone {
			names = append(names, n.Name)
		}
	}
	return names
}
