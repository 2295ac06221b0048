package controlclient

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/heartbeat"
	"comethold/internal/logging"
	"comethold/internal/quota"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/upstream"
	"comethold/internal/usage"

	"github.com/labstack/echo/v4"
)

// Client is one node's membership in the system.
type Client struct {
	Settings    *settings.Settings
	Network     rpc.Network
	Log         *logging.Logger
	Upstreams   *upstream.ClusterManager
	RetryBudget *retrybudget.Budget

	program      settings.Program
	state        *appliedState
	updates      *updateStream
	done         chan struct{}
	closeOnce    sync.Once
	objectCaches atomic.Pointer[[]distribution.Node]

	datagramMu   sync.Mutex
	datagrams    net.PacketConn // for datagrams, once Beat has begun
	onTokenGrant func(*quota.TokenGrant)
	onUsageAck   func(*usage.CountAck)

	heartbeatMu sync.Mutex
	detector    *heartbeat.Detector
	nodes       []distribution.Node
}

// New makes the membership of a node that runs the program.
func New(set *settings.Settings, log *logging.Logger, program settings.Program, n rpc.Network) *Client {
	dial := upstream.DialFunc(n(time.Second, 5*time.Second))
	frame := upstream.NewClusterManager(upstream.Locality{Node: set.NodeName, Zone: set.AvailabilityZone, RegionOf: set.RegionOf}, dial, log)
	b := set.Bounds
	budget := retrybudget.New(retrybudget.Config{Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack, Window: b.RetryWindow()}, time.Now())
	o := &Client{Settings: set, Network: n, Log: log, Upstreams: frame, RetryBudget: budget, program: program, done: make(chan struct{}), onTokenGrant: func(*quota.TokenGrant) {}, onUsageAck: func(*usage.CountAck) {},
		state: newAppliedState(log, frame, budget), detector: heartbeat.NewDetector(set.NodeName, set.HeartbeatInterval())}
	o.updates = newUpdateStream(set, o.state, log, program, rpc.NewClient(n))
	o.updates.suspects = o.suspects
	frame.OnHealthChange = o.updates.queueReport
	o.state.onNodes = o.setNodes
	if program == settings.ObjectCache {
		o.state.sharingNodes = func() int { return max(1, len(o.ObjectCaches())) }
	}
	o.objectCaches.Store(&[]distribution.Node{})
	o.state.contactAt = time.Now()
	return o
}

// Apply brings news into force.
func (o *Client) Apply(n *distribution.Update) { o.state.apply(n) }

// RouteTable returns the configuration in force, or nil.
func (o *Client) RouteTable() *routing.RouteTable { return o.state.routeTable.Load() }

// PurgeIndex returns the position of the newest purge known here.
func (o *Client) PurgeIndex() uint64 { return o.state.purgeIndex.Load() }

// PurgedSince reports whether a purge after pos names what hit recognises,
// or whether that cannot be told any more.
func (o *Client) PurgedSince(pos uint64, hit func(distribution.Purge) bool) bool {
	return o.state.purgedSince(pos, hit)
}

// OnRouteTable and OnRecalls name what is told of a new plan and of purges. They are
// set before Feed starts and must not block.
func (o *Client) OnRouteTable(f func(*routing.RouteTable)) { o.state.onRouteTable = f }

// OnPurges: see OnPlan.
func (o *Client) OnPurges(f func(*distribution.PurgeUpdate)) { o.state.onPurges = f }

// OnTenantsChanged names what is told of tenants whose keys or limits were changed; see OnPlan.
func (o *Client) OnTenantsChanged(f func([]string)) { o.state.onTenantsChanged = f }

// OnTokenGrant names what takes grants of tokens; see OnPlan.
func (o *Client) OnTokenGrant(f func(*quota.TokenGrant)) { o.onTokenGrant = f }

// OnUsageAck names what takes answers to counts; see OnPlan.
func (o *Client) OnUsageAck(f func(*usage.CountAck)) { o.onUsageAck = f }

// ControlPlaneAddrs lists where the registrars take datagrams, as Registrars does.
func (o *Client) ControlPlaneAddrs() (out []net.Addr) {
	for _, h := range o.updates.rankedHosts() {
		if ip := net.ParseIP(h); ip != nil {
			out = append(out, &net.UDPAddr{IP: ip, Port: o.Settings.PortOf(settings.ControlPlane)})
		}
	}
	return out
}

// Send sends a datagram to another process, if it can.
func (o *Client) Send(to net.Addr, d *distribution.Datagram) {
	o.datagramMu.Lock()
	c := o.datagrams
	o.datagramMu.Unlock()
	if b, err := rpc.Marshal(d); err == nil && c != nil {
		_, _ = c.WriteTo(b, to)
	}
}

// SetInitialPurgeIndex sets the position of the copies that this node kept over a restart.
func (o *Client) SetInitialPurgeIndex(pos uint64) {
	o.state.purgeIndex.Store(pos)
	o.state.purgeFloor = pos
}

// ObjectCaches returns the announcers that are not down. Callers must not change it.
func (o *Client) ObjectCaches() []distribution.Node { return *o.objectCaches.Load() }

// Ready reports whether the feed has told all that serving needs.
func (o *Client) Ready() bool { return o.state.ready() }

// Confirmed reports whether anybody in touch with the majority has told news.
func (o *Client) Confirmed() bool { return o.state.confirmed.Load() }

// Endpoints returns the list of leafs that this node holds.
func (o *Client) Endpoints() []distribution.Endpoint {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	return slices.Collect(maps.Values(o.state.endpoints))
}

// Ejected lists the leafs that the index cells hold as drained, as told here.
func (o *Client) Ejected() map[string]distribution.EjectionMark {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	out := map[string]distribution.EjectionMark{}
	for _, m := range o.state.ejectionMarks {
		maps.Copy(out, m.Ejected)
	}
	return out
}

// Disconnected reports whether nobody in touch with the majority has told news
// for so long.
func (o *Client) Disconnected(span time.Duration) bool {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	return time.Since(o.state.contactAt) > span
}

// Reload takes new settings: the seeds may have been exchanged.
func (o *Client) Reload(set *settings.Settings) { o.updates.setSeeds(set.SeedHosts()) }

// ControlPlaneHosts lists the registrars, the one to ask first in front.
func (o *Client) ControlPlaneHosts() []string {
	var out []string
	for _, h := range o.updates.rankedHosts() {
		out = append(out, net.JoinHostPort(h, strconv.Itoa(o.Settings.PortOf(settings.ControlPlane))))
	}
	return out
}

// RunUpdates keeps the node current until it ends.
func (o *Client) RunUpdates() error { o.updates.run(o.done); return nil }

// SwitchSource is told that another node knows of news that this one has not had: its
// registrar may be lost.
func (o *Client) SwitchSource() { o.updates.switchSource() }

// Done is closed when the node ends.
func (o *Client) Done() <-chan struct{} { return o.done }

// Close ends the membership.
func (o *Client) Close() { o.closeOnce.Do(func() { close(o.done) }) }

// InternalHandler serves other nodes that find no registrar.
func (o *Client) InternalHandler() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/here", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.POST("/feed", func(c echo.Context) error {
		var call distribution.UpdateRequest
		if err := rpc.DecodeRequest(c.Request().Body, &call); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		b, err := rpc.Marshal(o.state.updateFor(call.Held, call.Node.Zone == o.Settings.AvailabilityZone))
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeBody(b))
	})
	return e
}

// InternalAddress is where this program listens for the system's own processes.
func (o *Client) InternalAddress() string {
	return net.JoinHostPort(o.Settings.IPAddress, strconv.Itoa(o.Settings.PortOf(o.program)))
}

// The ring.

func (o *Client) setNodes(all []distribution.Node) {
	o.updates.setNodes(all)
	stores := []distribution.Node{}
	for _, n := range all {
		if n.ObjectCache && !n.Down {
			stores = append(stores, n)
		}
	}
	o.objectCaches.Store(&stores)
	o.heartbeatMu.Lock()
	defer o.heartbeatMu.Unlock()
	o.nodes = all
	o.detector.SetNodes(o.zoneNodeNames(), time.Now())
}

// zoneNodeNames lists who stands on this node's ring: the nodes of its zone. Watching
// costs each node the same, however many zones there are.
func (o *Client) zoneNodeNames() []string {
	var out []string
	for _, n := range o.nodes {
		if !n.ControlPlane && !n.Down && n.Zone == o.Settings.AvailabilityZone {
			out = append(out, n.Name)
		}
	}
	return out
}

func (o *Client) suspects() []string {
	o.heartbeatMu.Lock()
	defer o.heartbeatMu.Unlock()
	return o.detector.Suspects(time.Now())
}

// RunHeartbeats sends heartbeats to this node's watchers and hears those of the nodes
// that it watches.
func (o *Client) RunHeartbeats(c net.PacketConn) error {
	o.datagramMu.Lock()
	o.datagrams = c
	o.datagramMu.Unlock()
	go o.receiveDatagrams(c)
	msg, err := rpc.Marshal(&distribution.Datagram{Heartbeat: o.Settings.NodeName})
	if err != nil {
		return err
	}
	every := o.Settings.HeartbeatInterval()
	t := time.NewTicker(every)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-o.done:
			return c.Close()
		case <-t.C:
		}
		o.heartbeatMu.Lock()
		now := time.Now()
		if now.Sub(last) > 2*every {
			o.detector.Reset(now)
		}
		last = now
		to := map[string]int{}
		watchers, _ := heartbeat.Assign(o.Settings.NodeName, o.zoneNodeNames())
		for _, w := range watchers {
			for _, n := range o.nodes {
				if n.Name == w && !n.ControlPlane {
					to[n.Addr] = o.Settings.PortOf(settings.DataPlane)
					if n.ObjectCache {
						to[n.Addr] = o.Settings.PortOf(settings.ObjectCache)
					}
				}
			}
		}
		o.heartbeatMu.Unlock()
		for a, port := range to {
			if ip := net.ParseIP(a); ip != nil {
				_, _ = c.WriteTo(msg, &net.UDPAddr{IP: ip, Port: port})
			}
		}
	}
}

func (o *Client) receiveDatagrams(c net.PacketConn) {
	buf := make([]byte, 16<<10)
	for {
		n, _, err := c.ReadFrom(buf)
		if err != nil {
			select {
			case <-o.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		var d distribution.Datagram
		if rpc.Unmarshal(buf[:n], &d) != nil {
			continue
		}
		if d.TokenGrant != nil {
			o.onTokenGrant(d.TokenGrant)
		} else if d.UsageAck != nil {
			o.onUsageAck(d.UsageAck)
		} else if d.Heartbeat != "" {
			o.heartbeatMu.Lock()
			o.detector.RecordHeartbeat(d.Heartbeat, time.Now())
			o.heartbeatMu.Unlock()
		}
	}
}
