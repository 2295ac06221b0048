package office

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/numbering"
	"comethold/internal/quota"
	"comethold/internal/ring"
	"comethold/internal/settings"
	"comethold/internal/toll"
	"comethold/internal/trunk"
	"comethold/internal/usage"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// Office is one node's membership in the system.
type Office struct {
	Set   *settings.Settings
	Net   wire.Net
	Log   *event.Log
	Frame *trunk.Frame
	Toll  *toll.Toll

	program settings.Program
	state   *state
	feeder  *feeder
	quit    chan struct{}
	once    sync.Once
	stores  atomic.Pointer[[]feed.Node]

	castMu  sync.Mutex
	cast    net.PacketConn // for datagrams, once Beat has begun
	onGrant func(*quota.Grant)
	onNoted func(*usage.Noted)

	ringMu sync.Mutex
	watch  *ring.Watch
	nodes  []feed.Node
}

// New makes the membership of a node that runs the program.
func New(set *settings.Settings, log *event.Log, program settings.Program, n wire.Net) *Office {
	dial := trunk.DialFunc(n(time.Second, 5*time.Second))
	frame := trunk.NewFrame(trunk.Place{Node: set.NodeName, Zone: set.AvailabilityZone, Region: set.Region}, dial, log)
	b := set.Bounds
	budget := toll.New(toll.Terms{Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack, Window: b.Window()}, time.Now())
	o := &Office{Set: set, Net: n, Log: log, Frame: frame, Toll: budget, program: program, quit: make(chan struct{}), onGrant: func(*quota.Grant) {}, onNoted: func(*usage.Noted) {},
		state: newState(log, frame, budget), watch: ring.NewWatch(set.NodeName, set.Heartbeat())}
	o.feeder = newFeeder(set, o.state, log, program, wire.NewClient(n))
	o.feeder.suspects = o.suspects
	frame.Report = o.feeder.report
	o.state.onNodes = o.setNodes
	if program == settings.Announcer {
		o.state.users = func() int { return max(1, len(o.Stores())) }
	}
	o.stores.Store(&[]feed.Node{})
	o.state.touched = time.Now()
	return o
}

// Take brings news into force.
func (o *Office) Take(n *feed.News) { o.state.take(n) }

// Plan returns the configuration in force, or nil.
func (o *Office) Plan() *numbering.Plan { return o.state.plan.Load() }

// Pos returns the position of the newest purge known here.
func (o *Office) Pos() uint64 { return o.state.pos.Load() }

// RecalledSince reports whether a purge after pos names what hit recognises,
// or whether that cannot be told any more.
func (o *Office) RecalledSince(pos uint64, hit func(feed.Recall) bool) bool {
	return o.state.recalledSince(pos, hit)
}

// OnPlan and OnRecalls name what is told of a new plan and of purges. They are
// set before Feed starts and must not block.
func (o *Office) OnPlan(f func(*numbering.Plan)) { o.state.onPlan = f }

// OnRecalls: see OnPlan.
func (o *Office) OnRecalls(f func(*feed.Recalls)) { o.state.onRecalls = f }

// OnChanged names what is told of tenants whose keys or limits were changed; see OnPlan.
func (o *Office) OnChanged(f func([]string)) { o.state.onChanged = f }

// OnGrant names what takes grants of tokens; see OnPlan.
func (o *Office) OnGrant(f func(*quota.Grant)) { o.onGrant = f }

// OnNoted names what takes answers to counts; see OnPlan.
func (o *Office) OnNoted(f func(*usage.Noted)) { o.onNoted = f }

// RegistrarAddrs lists where the registrars take datagrams, as Registrars does.
func (o *Office) RegistrarAddrs() (out []net.Addr) {
	for _, h := range o.feeder.registrars() {
		if ip := net.ParseIP(h); ip != nil {
			out = append(out, &net.UDPAddr{IP: ip, Port: o.Set.PortOf(settings.Registrar)})
		}
	}
	return out
}

// Send sends a datagram to another process, if it can.
func (o *Office) Send(to net.Addr, d *feed.Datagram) {
	o.castMu.Lock()
	c := o.cast
	o.castMu.Unlock()
	if b, err := wire.Marshal(d); err == nil && c != nil {
		_, _ = c.WriteTo(b, to)
	}
}

// StartAt sets the position of the copies that this node kept over a restart.
func (o *Office) StartAt(pos uint64) {
	o.state.pos.Store(pos)
	o.state.floor = pos
}

// Stores returns the announcers that are not down. Callers must not change it.
func (o *Office) Stores() []feed.Node { return *o.stores.Load() }

// Ready reports whether the feed has told all that serving needs.
func (o *Office) Ready() bool { return o.state.ready() }

// Current reports whether anybody in touch with the majority has told news.
func (o *Office) Current() bool { return o.state.current.Load() }

// Leafs returns the list of leafs that this node holds.
func (o *Office) Leafs() []feed.Leaf {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	return slices.Collect(maps.Values(o.state.leafs))
}

// Marked lists the leafs that the index cells hold as drained, as told here.
func (o *Office) Marked() map[string]feed.Mark {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	out := map[string]feed.Mark{}
	for _, m := range o.state.marks {
		maps.Copy(out, m.Drained)
	}
	return out
}

// OutOfTouch reports whether nobody in touch with the majority has told news
// for so long.
func (o *Office) OutOfTouch(span time.Duration) bool {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	return time.Since(o.state.touched) > span
}

// Reload takes new settings: the seeds may have been exchanged.
func (o *Office) Reload(set *settings.Settings) { o.feeder.setSeeds(set.SeedHosts()) }

// Registrars lists the registrars, the one to ask first in front.
func (o *Office) Registrars() []string {
	var out []string
	for _, h := range o.feeder.registrars() {
		out = append(out, net.JoinHostPort(h, strconv.Itoa(o.Set.PortOf(settings.Registrar))))
	}
	return out
}

// Feed keeps the node current until it ends.
func (o *Office) Feed() error { o.feeder.run(o.quit); return nil }

// Behind is told that another node knows of news that this one has not had: its
// registrar may be lost.
func (o *Office) Behind() { o.feeder.elsewhere() }

// Quit is closed when the node ends.
func (o *Office) Quit() <-chan struct{} { return o.quit }

// Close ends the membership.
func (o *Office) Close() { o.once.Do(func() { close(o.quit) }) }

// Inner serves other nodes that find no registrar.
func (o *Office) Inner() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/here", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.POST("/feed", func(c echo.Context) error {
		var call feed.Call
		if err := wire.Read(c.Request().Body, &call); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		b, err := wire.Marshal(o.state.news(call.Have, call.Node.Zone == o.Set.AvailabilityZone))
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, wire.ContentType, wire.Pack(b))
	})
	return e
}

// InnerAddress is where this program listens for the system's own processes.
func (o *Office) InnerAddress() string {
	return net.JoinHostPort(o.Set.IPAddress, strconv.Itoa(o.Set.PortOf(o.program)))
}

// The ring.

func (o *Office) setNodes(all []feed.Node) {
	o.feeder.setNodes(all)
	stores := []feed.Node{}
	for _, n := range all {
		if n.Cache && !n.Down {
			stores = append(stores, n)
		}
	}
	o.stores.Store(&stores)
	o.ringMu.Lock()
	defer o.ringMu.Unlock()
	o.nodes = all
	o.watch.SetNodes(o.names(), time.Now())
}

// names lists who stands on this node's ring: the nodes of its zone. Watching
// costs each node the same, however many zones there are.
func (o *Office) names() []string {
	var out []string
	for _, n := range o.nodes {
		if !n.Control && !n.Down && n.Zone == o.Set.AvailabilityZone {
			out = append(out, n.Name)
		}
	}
	return out
}

func (o *Office) suspects() []string {
	o.ringMu.Lock()
	defer o.ringMu.Unlock()
	return o.watch.Suspects(time.Now())
}

// Beat sends heartbeats to this node's watchers and hears those of the nodes
// that it watches.
func (o *Office) Beat(c net.PacketConn) error {
	o.castMu.Lock()
	o.cast = c
	o.castMu.Unlock()
	go o.listen(c)
	msg, err := wire.Marshal(&feed.Datagram{Beat: o.Set.NodeName})
	if err != nil {
		return err
	}
	every := o.Set.Heartbeat()
	t := time.NewTicker(every)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-o.quit:
			return c.Close()
		case <-t.C:
		}
		o.ringMu.Lock()
		now := time.Now()
		if now.Sub(last) > 2*every {
			o.watch.Woke(now)
		}
		last = now
		to := map[string]int{}
		watchers, _ := ring.Of(o.Set.NodeName, o.names())
		for _, w := range watchers {
			for _, n := range o.nodes {
				if n.Name == w && !n.Control {
					to[n.Addr] = o.Set.PortOf(settings.Switch)
					if n.Cache {
						to[n.Addr] = o.Set.PortOf(settings.Announcer)
					}
				}
			}
		}
		o.ringMu.Unlock()
		for a, port := range to {
			if ip := net.ParseIP(a); ip != nil {
				_, _ = c.WriteTo(msg, &net.UDPAddr{IP: ip, Port: port})
			}
		}
	}
}

func (o *Office) listen(c net.PacketConn) {
	buf := make([]byte, 16<<10)
	for {
		n, _, err := c.ReadFrom(buf)
		if err != nil {
			select {
			case <-o.quit:
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		var d feed.Datagram
		if wire.Unmarshal(buf[:n], &d) != nil {
			continue
		}
		if d.Grant != nil {
			o.onGrant(d.Grant)
		} else if d.Noted != nil {
			o.onNoted(d.Noted)
		} else if d.Beat != "" {
			o.ringMu.Lock()
			o.watch.Heard(d.Beat, time.Now())
			o.ringMu.Unlock()
		}
	}
}
