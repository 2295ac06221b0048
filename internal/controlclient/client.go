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

// Time-outs of connections to endpoints. The dial time-out is an upper bound only: package
// upstream gives up on a dial earlier, after its own dialTimeout. An open connection fails
// when the endpoint acknowledges nothing for upstreamSilenceTimeout.
const (
	upstreamDialTimeout    = time.Second
	upstreamSilenceTimeout = 5 * time.Second
)

// bodyMemoryDivisor is the divisor of a process's memory that gives how much of it the bodies of
// endpoints' responses may take while they are read.
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
	objectCaches atomic.Pointer[[]distribution.Node] // those that are not down
}

// Options are what New needs.
type Options struct {
	Settings *settings.Settings
	Log      *logging.Logger
	Program  settings.Program // the program that the node runs
	Network  rpc.Network
}

// New returns a client that holds nothing yet.
func New(o Options) *Client {
	set := o.Settings
	locality := upstream.Locality{Node: set.NodeName, Zone: set.AvailabilityZone, RegionOf: set.RegionOf}
	dial := upstream.DialFunc(o.Network(upstreamDialTimeout, upstreamSilenceTimeout))
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

// OnRouteTable sets what is called with a new route table. Like the other On functions it
// must be called before RunUpdates; the callback must not block.
func (c *Client) OnRouteTable(f func(*routing.RouteTable)) { c.state.onRouteTable = f }

// OnPurges sets what is called with purges, before PurgeIndex moves. See OnRouteTable.
func (c *Client) OnPurges(f func(*distribution.PurgeUpdate)) { c.state.onPurges = f }

// OnTenantsChanged sets what is called with the tenants whose keys or limits changed. See
// OnRouteTable.
func (c *Client) OnTenantsChanged(f func(tenants []string)) { c.state.onTenantsChanged = f }

// OnTokenGrant sets what is called with grants of tokens. See OnRouteTable.
func (c *Client) OnTokenGrant(f func(*quota.TokenGrant)) { c.datagrams.onTokenGrant = f }

// OnUsageAck sets what is called with answers to usage reports. See OnRouteTable.
func (c *Client) OnUsageAck(f func(*usage.CountAck)) { c.datagrams.onUsageAck = f }

// SetInitialPurgeIndex sets the log index up to which purges are applied to the objects
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

// Send sends a datagram to another process, if RunHeartbeats has begun. It may be lost.
func (c *Client) Send(to net.Addr, d *distribution.Datagram) { c.datagrams.send(to, d) }

// Apply applies an update as RunUpdates does.
func (c *Client) Apply(u *distribution.Update) { c.state.apply(u) }

// SwitchSource makes the update stream poll another control node. It is for callers that
// saw newer state on another node: this node's control node may have lost contact.
func (c *Client) SwitchSource() { c.updates.switchSource() }

// Reload applies the seed nodes of new settings.
func (c *Client) Reload(set *settings.Settings) { c.updates.setSeeds(set.SeedHosts()) }

// Done returns a channel that Close closes.
func (c *Client) Done() <-chan struct{} { return c.done }

// Close ends RunUpdates and RunHeartbeats. It doesn't wait for them.
func (c *Client) Close() { c.closeOnce.Do(func() { close(c.done) }) }

// Ready reports whether the node has a configuration and an endpoint list.
func (c *Client) Ready() bool { return c.state.ready() }

// Confirmed reports whether the node received an update, since its start, from a node in
// contact with the majority of the control plane. Until then it must not use state that it
// loaded from its disk.
func (c *Client) Confirmed() bool { return c.state.confirmed.Load() }

// Disconnected reports whether the last update from a node in contact with the majority of
// the control plane is older than span.
func (c *Client) Disconnected(span time.Duration) bool { return c.state.disconnected(span) }

// RouteTable returns the route table in force, or nil.
func (c *Client) RouteTable() *routing.RouteTable { return c.state.routeTable.Load() }

// PurgeIndex returns the log index of the newest purge known here.
func (c *Client) PurgeIndex() uint64 { return c.state.purgeIndex.Load() }

// PurgedSince reports whether a purge after the log index matches, or whether that is no
// longer known.
func (c *Client) PurgedSince(index uint64, matches func(distribution.Purge) bool) bool {
	return c.state.purgedSince(index, matches)
}

// Endpoints returns the endpoints that this node holds, in no order.
func (c *Client) Endpoints() []distribution.Endpoint {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return slices.Collect(maps.Values(c.state.endpoints))
}

// Ejected returns the endpoints that the control plane holds as ejected, by ID.
func (c *Client) Ejected() map[string]distribution.EjectionMark {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	ejected := map[string]distribution.EjectionMark{}
	for _, marks := range c.state.ejectionMarks {
		maps.Copy(ejected, marks.Ejected)
	}
	return ejected
}

// ObjectCaches returns the object caches that are not down. Callers must not change it.
func (c *Client) ObjectCaches() []distribution.Node { return *c.objectCaches.Load() }

// ControlPlaneHosts returns the addresses (host and port) of the control nodes, the
// preferred first.
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
