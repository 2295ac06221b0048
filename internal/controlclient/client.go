package controlclient

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/boundedio"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/quota"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/upstream"
	"comethold/internal/usage"
)

// Time-outs of connections to endpoints. upstreamDialTimeout is only an upper bound: package
// upstream cancels a dial earlier, after its own dialTimeout. An open connection fails if sent
// data remains unacknowledged for upstreamAckTimeout.
const (
	upstreamDialTimeout = time.Second
	upstreamAckTimeout  = 5 * time.Second
)

// bodyMemoryDivisor sets the memory for response bodies that are being read from endpoints: it is
// the memory limit of the process divided by bodyMemoryDivisor.
const bodyMemoryDivisor = 4

// Client is one node's client of the control plane. Its exported fields are set by New and
// must not be changed.
type Client struct {
	Settings    *settings.Settings
	Network     rpc.Network
	Log         *logging.Logger
	Upstreams   *upstream.ClusterManager
	RetryBudget *retrybudget.Budget

	program      settings.Program
	state        *appliedState
	updates      *updateStream
	heartbeats   *heartbeats
	datagrams    *datagramSocket
	done         chan struct{} // closed by Close
	closeOnce    sync.Once
	objectCaches atomic.Pointer[[]distribution.Node] // object caches that are not down
}

// Options configure a Client. New requires all fields.
type Options struct {
	Settings *settings.Settings
	Log      *logging.Logger
	Program  settings.Program // the program that the node runs
	Network  rpc.Network
}

// New returns a client without state.
func New(o Options) *Client {
	set := o.Settings
	locality := upstream.Locality{Node: set.NodeName, Zone: set.AvailabilityZone, RegionOf: set.RegionOf}
	dial := upstream.DialFunc(o.Network(upstreamDialTimeout, upstreamAckTimeout))
	upstreams := upstream.NewClusterManager(locality, dial, o.Log)
	if memoryMb := set.Limits.MemoryMb; memoryMb > 0 {
		upstreams.BodyMemory = boundedio.NewBudget((memoryMb << 20) / bodyMemoryDivisor)
	}
	budget := retrybudget.New(retrybudget.Config{
		Ratio:  set.Bounds.RetryBudgetRatio,
		Slack:  set.Bounds.RetryBudgetSlack,
		Window: set.Bounds.RetryWindow(),
	}, time.Now())
	c := &Client{
		Settings:    set,
		Network:     o.Network,
		Log:         o.Log,
		Upstreams:   upstreams,
		RetryBudget: budget,
		program:     o.Program,
		state:       newAppliedState(o.Log, upstreams, budget),
		heartbeats:  newHeartbeats(set),
		datagrams:   newDatagramSocket(),
		done:        make(chan struct{}),
	}
	c.updates = newUpdateStream(o, c.state)
	c.updates.suspects = c.heartbeats.suspects
	upstreams.OnHealthChange = c.updates.queueReport
	c.state.onNodes = c.setNodes
	if o.Program == settings.ObjectCache {
		c.state.sharingNodes = func() int { return max(1, len(c.ObjectCaches())) }
	}
	c.objectCaches.Store(&[]distribution.Node{})
	return c
}

// OnRouteTable sets the callback for a new route table. Like the other On methods, it must be
// called before RunUpdates, and the callback must not block.
func (c *Client) OnRouteTable(f func(*routing.RouteTable)) { c.state.onRouteTable = f }

// OnPurges sets the callback for purges. It runs before PurgeIndex advances. See OnRouteTable.
func (c *Client) OnPurges(f func(*distribution.PurgeUpdate)) { c.state.onPurges = f }

// OnTenantsChanged sets the callback for the tenants whose keys or limits changed. See
// OnRouteTable.
func (c *Client) OnTenantsChanged(f func(tenants []string)) { c.state.onTenantsChanged = f }

// OnTokenGrant sets the callback for token grants. See OnRouteTable.
func (c *Client) OnTokenGrant(f func(*quota.TokenGrant)) { c.datagrams.onTokenGrant = f }

// OnUsageAck sets the callback for acknowledgements of usage reports. See OnRouteTable.
func (c *Client) OnUsageAck(f func(*usage.CountAck)) { c.datagrams.onUsageAck = f }

// SetInitialPurgeIndex sets the log index up to which purges have been applied to the objects
// that this node loaded from its disk. It must be called before RunUpdates.
func (c *Client) SetInitialPurgeIndex(index uint64) {
	c.state.purgeIndex.Store(index)
	c.state.purgeFloor = index
}

// RunUpdates polls the control plane for updates and applies them until Close.
func (c *Client) RunUpdates() error {
	c.updates.run(c.done)
	return nil
}

// RunHeartbeats sends heartbeats on conn, and receives datagrams on it, until Close. It
// closes conn.
func (c *Client) RunHeartbeats(conn net.PacketConn) error {
	c.datagrams.open(conn)
	var receiver sync.WaitGroup
	receiver.Go(func() { c.datagrams.receive(conn, c.heartbeats.record, c.done) })
	if err := c.heartbeats.send(conn, c.done); err != nil {
		return err
	}
	err := conn.Close()
	receiver.Wait()
	return err
}

// Send sends a datagram to another process. The datagram may be lost, and is dropped if
// RunHeartbeats has not started.
func (c *Client) Send(to net.Addr, d *distribution.Datagram) { c.datagrams.send(to, d) }

// Apply applies an update as RunUpdates does.
func (c *Client) Apply(u *distribution.Update) { c.state.apply(u) }

// SwitchSource makes the update stream poll another control node. Callers use it when they see
// newer state on another node, since the polled control node may have lost contact with the
// majority. A call shortly after a switch has no effect.
func (c *Client) SwitchSource() { c.updates.switchSource() }

// Reload applies the seed nodes of new settings.
func (c *Client) Reload(set *settings.Settings) { c.updates.setSeeds(set.SeedHosts()) }

// Done returns a channel that Close closes.
func (c *Client) Done() <-chan struct{} { return c.done }

// Close makes RunUpdates and RunHeartbeats return. It doesn't wait for them.
func (c *Client) Close() { c.closeOnce.Do(func() { close(c.done) }) }

// Ready reports whether the node has a configuration and an endpoint list.
func (c *Client) Ready() bool { return c.state.ready() }

// Confirmed reports whether the node, since its start, has received an update from a node in
// contact with the majority of the control plane. Until then, the node must not use state that it
// loaded from its disk.
func (c *Client) Confirmed() bool { return c.state.confirmed.Load() }

// Disconnected reports whether the last update from a node in contact with the majority of
// the control plane is older than span.
func (c *Client) Disconnected(span time.Duration) bool { return c.state.disconnected(span) }

// RouteTable returns the current route table, or nil before the first configuration.
func (c *Client) RouteTable() *routing.RouteTable { return c.state.routeTable.Load() }

// PurgeIndex returns the log index up to which this node has applied purges.
func (c *Client) PurgeIndex() uint64 { return c.state.purgeIndex.Load() }

// PurgedSince reports whether a purge with a log index above index matches. It also returns true
// if the client has discarded purges above index.
func (c *Client) PurgedSince(index uint64, matches func(distribution.Purge) bool) bool {
	return c.state.purgedSince(index, matches)
}

// Endpoints returns the known endpoints, in no particular order.
func (c *Client) Endpoints() []distribution.Endpoint {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return slices.Collect(maps.Values(c.state.endpoints))
}

// Ejected returns the ejection marks of the control plane by endpoint ID.
func (c *Client) Ejected() map[string]distribution.EjectionMark {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	ejected := map[string]distribution.EjectionMark{}
	for _, marks := range c.state.ejectionMarks {
		maps.Copy(ejected, marks.Ejected)
	}
	return ejected
}

// ObjectCaches returns the object caches that are not down. Callers must not change the slice.
func (c *Client) ObjectCaches() []distribution.Node { return *c.objectCaches.Load() }

// ControlPlaneHosts returns the addresses (host and port) of the control nodes, the preferred
// one first.
func (c *Client) ControlPlaneHosts() []string {
	var addresses []string
	port := strconv.Itoa(c.Settings.PortOf(settings.ControlPlane))
	for _, host := range c.updates.rankedHosts() {
		addresses = append(addresses, net.JoinHostPort(host, port))
	}
	return addresses
}

// ControlPlaneAddrs returns the UDP addresses of the control nodes, in the order of
// ControlPlaneHosts.
func (c *Client) ControlPlaneAddrs() []net.Addr {
	var addresses []net.Addr
	for _, host := range c.updates.rankedHosts() {
		if ip := net.ParseIP(host); ip != nil {
			addresses = append(addresses, &net.UDPAddr{IP: ip, Port: c.Settings.PortOf(settings.ControlPlane)})
		}
	}
	return addresses
}

// setNodes applies a new directory of nodes.
func (c *Client) setNodes(nodes []distribution.Node) {
	c.updates.setNodes(nodes)
	caches := []distribution.Node{}
	for _, n := range nodes {
		if n.ObjectCache && !n.Down {
			caches = append(caches, n)
		}
	}
	c.objectCaches.Store(&caches)
	c.heartbeats.setNodes(nodes)
}
