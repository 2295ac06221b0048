package switchboard

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/gather"
	"comethold/internal/ring"
	"comethold/internal/settings"
	"comethold/internal/toll"
	"comethold/internal/trunk"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// Timing of leaving. The platform asks for readiness once a second and takes a
// node out after two misses.
const (
	noticeTime = 2300 * time.Millisecond
	endMargin  = 700 * time.Millisecond
	sweepEvery = 250 * time.Millisecond
)

// Switch is the data plane of one node.
type Switch struct {
	set    *settings.Settings
	log    *event.Log
	state  *state
	frame  *trunk.Frame
	asker  *gather.Asker
	front  *Front
	feeder *feeder
	served *http.Server
	quit   chan struct{}
	once   sync.Once

	ringMu sync.Mutex
	watch  *ring.Watch
	nodes  []feed.Node
}

// New puts a data plane together.
func New(set *settings.Settings, log *event.Log) *Switch {
	d := wire.Dialer(time.Second, 5*time.Second)
	frame := trunk.NewFrame(set.AvailabilityZone, d.DialContext, log)
	b := set.Bounds
	budget := toll.New(toll.Terms{Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack, Window: b.Window()}, time.Now())
	asker := gather.NewAsker(frame, budget)
	s := &Switch{set: set, log: log, frame: frame, asker: asker, quit: make(chan struct{}),
		state: newState(log, frame, budget, asker), watch: ring.NewWatch(set.NodeName, set.Heartbeat())}
	s.front = newFront(s.state, asker, log)
	s.served = s.front.server()
	s.feeder = newFeeder(set, s.state, log)
	s.feeder.suspects = s.suspects
	frame.Report = s.feeder.report
	s.state.onNodes = s.setNodes
	return s
}

// Reload takes new settings: the seeds may have been exchanged.
func (s *Switch) Reload(set *settings.Settings) { s.feeder.setSeeds(set.SeedHosts()) }

// Serve answers clients on l until Leave.
func (s *Switch) Serve(l net.Listener) error {
	err := s.served.Serve(l)
	if err == http.ErrServerClosed {
		<-s.quit
		return nil
	}
	return err
}

// Feed keeps the node current until it ends.
func (s *Switch) Feed() error { s.feeder.run(s.quit); return nil }

// Sweep does the regular small work until the node ends.
func (s *Switch) Sweep() error {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.front.sweep()
			s.frame.Sweep()
		case <-s.quit:
			return nil
		}
	}
}

// Readiness serves the platform's question.
func (s *Switch) Readiness() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/readiness", func(c echo.Context) error {
		if s.front.leaving.Load() || !s.state.ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

// Inner serves other switches that find no registrar.
func (s *Switch) Inner() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/feed", func(c echo.Context) error {
		var call feed.Call
		if err := wire.Read(c.Request().Body, &call); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		b, err := wire.Marshal(s.state.news(call.Have))
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, wire.ContentType, wire.Pack(b))
	})
	return e
}

// Leave is the orderly end: not ready any more, new connections still served
// until the platform has noticed, every open request answered.
func (s *Switch) Leave() {
	s.once.Do(func() {
		s.front.leaving.Store(true)
		grace := s.set.Bounds.Grace()
		if grace <= 0 {
			grace = 6 * time.Second
		}
		end := time.Now().Add(grace - endMargin)
		time.Sleep(min(noticeTime, grace/2))
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		_ = s.served.Shutdown(ctx)
		close(s.quit)
	})
}

// The ring.

type beat struct {
	Name string `cbor:"1,keyasint"`
}

func (s *Switch) setNodes(all []feed.Node) {
	s.feeder.setNodes(all)
	s.ringMu.Lock()
	defer s.ringMu.Unlock()
	s.nodes = all
	s.watch.SetNodes(s.names(), time.Now())
}

func (s *Switch) names() []string {
	var out []string
	for _, n := range s.nodes {
		if !n.Control && !n.Down {
			out = append(out, n.Name)
		}
	}
	return out
}

func (s *Switch) suspects() []string {
	s.ringMu.Lock()
	defer s.ringMu.Unlock()
	return s.watch.Suspects(time.Now())
}

// Beat sends heartbeats to this node's watchers and hears those of the nodes
// that it watches.
func (s *Switch) Beat(c net.PacketConn) error {
	go func() {
		buf := make([]byte, 2048)
		for {
			n, _, err := c.ReadFrom(buf)
			if err != nil {
				select {
				case <-s.quit:
					return
				case <-time.After(50 * time.Millisecond):
				}
				continue
			}
			var b beat
			if wire.Unmarshal(buf[:n], &b) == nil {
				s.ringMu.Lock()
				s.watch.Heard(b.Name, time.Now())
				s.ringMu.Unlock()
			}
		}
	}()
	msg, err := wire.Marshal(beat{s.set.NodeName})
	if err != nil {
		return err
	}
	every := s.set.Heartbeat()
	t := time.NewTicker(every)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-s.quit:
			return c.Close()
		case <-t.C:
		}
		s.ringMu.Lock()
		now := time.Now()
		if now.Sub(last) > 2*every {
			s.watch.Woke(now)
		}
		last = now
		var to []string
		for _, w := range ring.Of(s.set.NodeName, s.names()) {
			for _, n := range s.nodes {
				if n.Name == w && !n.Control {
					to = append(to, n.Addr)
				}
			}
		}
		s.ringMu.Unlock()
		for _, a := range to {
			if ip := net.ParseIP(a); ip != nil {
				_, _ = c.WriteTo(msg, &net.UDPAddr{IP: ip, Port: s.set.PortOf(settings.Switch)})
			}
		}
	}
}

// InnerAddress is where this program listens for the system's own processes.
func InnerAddress(set *settings.Settings) string {
	return net.JoinHostPort(set.IPAddress, strconv.Itoa(set.PortOf(settings.Switch)))
}
