// Package switchboard is the data plane: it takes clients' requests and sends
// them to leafs by the plan in force.
package switchboard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"comethold/internal/announce"
	"comethold/internal/estimate"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/gather"
	"comethold/internal/office"
	"comethold/internal/settings"
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

// hotBytes is the size of a switch's own cache of objects.
const hotBytes = 16 << 20

// Switch is the data plane of one node.
type Switch struct {
	*office.Office
	asker  *gather.Asker
	front  *Front
	served *http.Server
	once   sync.Once
}

// New puts a data plane together that reaches others by n.
func New(set *settings.Settings, log *event.Log, n wire.Net) *Switch {
	o := office.New(set, log, settings.Switch, n)
	asker := gather.NewAsker(o.Frame, o.Toll)
	if set.Estimates.Enabled {
		asker.Watch, asker.Shadow = estimate.NewCollector(time.Now()), set.Estimates.ShadowShare
	}
	s := &Switch{Office: o, asker: asker}
	var objects *announce.Office
	if set.DeploymentMode == settings.Content {
		objects = announce.NewOffice(o, hotBytes)
		asker.Permit = objects.Permit
	}
	s.front = newFront(o, asker, objects, log)
	s.served = s.front.server()
	o.OnPlan(asker.Forget)
	return s
}

// Handler answers clients' requests.
func (s *Switch) Handler() http.Handler { return s.served.Handler }

// Serve answers clients on l until Leave.
func (s *Switch) Serve(l net.Listener) error {
	err := s.served.Serve(l)
	if err == http.ErrServerClosed {
		<-s.Quit()
		return nil
	}
	return err
}

// Count tells what tenants have run until the node ends.
func (s *Switch) Count() error {
	if s.front.counter != nil {
		s.front.counter.loop()
	}
	<-s.Quit()
	return nil
}

// Follow works off what lookups took until the node ends.
func (s *Switch) Follow() error {
	if s.asker.Watch != nil {
		s.asker.Watch.Run(s.Quit())
	}
	<-s.Quit()
	return nil
}

// Estimates returns what this node knows of lookups; nothing where they are not followed.
func (s *Switch) Estimates(ask feed.EstimatesAsk) estimate.View {
	if s.asker.Watch == nil {
		return estimate.Merge()
	}
	return s.asker.Watch.View(ask.Service, ask.Class)
}

// Inner serves other nodes.
func (s *Switch) Inner() *echo.Echo {
	e := s.Office.Inner()
	e.POST("/estimates", func(c echo.Context) error {
		var ask feed.EstimatesAsk
		if err := wire.Read(c.Request().Body, &ask); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		b, err := wire.Marshal(s.Estimates(ask))
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, wire.ContentType, wire.Pack(b))
	})
	return e
}

// Sweep does the regular small work until the node ends.
func (s *Switch) Sweep() error {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.front.sweep()
			s.front.teller.sweep(time.Now())
			s.Frame.Sweep()
		case <-s.Quit():
			return nil
		}
	}
}

// Readiness serves the platform's question.
func (s *Switch) Readiness() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/readiness", func(c echo.Context) error {
		if s.front.leaving.Load() || !s.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

// Leave is the orderly end: not ready any more, new connections still served
// until the platform has noticed, every open request answered.
func (s *Switch) Leave() {
	s.once.Do(func() {
		s.front.leaving.Store(true)
		grace := s.Set.Bounds.Grace()
		if grace <= 0 {
			grace = 6 * time.Second
		}
		end := time.Now().Add(grace - endMargin)
		time.Sleep(min(noticeTime, grace/2))
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		if s.served.Shutdown(ctx) != nil {
			s.front.finish()
		}
		s.Close()
	})
}
