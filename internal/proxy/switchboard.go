// Package switchboard is the data plane: it takes clients' requests and sends
// them to leafs by the plan in force.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/latencyestimate"
	"comethold/internal/logging"
	"comethold/internal/objectcache"
	"comethold/internal/rpc"
	"comethold/internal/scatter"
	"comethold/internal/settings"

	"github.com/labstack/echo/v4"
)

// Timing of leaving. The platform asks for readiness once a second and takes a
// node out after two misses.
const (
	readinessNoticeTime = 2300 * time.Millisecond
	shutdownMargin      = 700 * time.Millisecond
	maintenanceInterval = 250 * time.Millisecond
)

// objectCacheBytes is the size of a switch's own cache of objects.
const objectCacheBytes = 16 << 20

// Server is the data plane of one node.
type Server struct {
	*controlclient.Client
	dispatcher   *scatter.Dispatcher
	frontend     *frontend
	httpServer   *http.Server
	shutdownOnce sync.Once
}

// New puts a data plane together that reaches others by n.
func New(set *settings.Settings, log *logging.Logger, n rpc.Network) *Server {
	o := controlclient.New(set, log, settings.DataPlane, n)
	options := scatter.Options{Clusters: o.Upstreams, RetryBudget: o.RetryBudget}
	if set.Estimates.Enabled {
		options.Latencies = latencyestimate.NewCollector(time.Now())
		options.ShadowShare = set.Estimates.ShadowShare
	}
	var objects *objectcache.Client
	if set.DeploymentMode == settings.ContentMode {
		objects = objectcache.NewClient(o, objectCacheBytes)
		options.AwaitRate = objects.Permit
	}
	asker := scatter.NewDispatcher(options)
	s := &Server{Client: o, dispatcher: asker}
	s.frontend = newFrontend(o, asker, objects, log)
	s.httpServer = s.frontend.newHTTPServer()
	o.OnRouteTable(asker.RetainRoutes)
	return s
}

// Handler answers clients' requests.
func (s *Server) Handler() http.Handler { return s.httpServer.Handler }

// Serve answers clients on l until Leave.
func (s *Server) Serve(l net.Listener) error {
	err := s.httpServer.Serve(l)
	if err == http.ErrServerClosed {
		<-s.Done()
		return nil
	}
	return err
}

// ReportUsage tells what tenants have run until the node ends.
func (s *Server) ReportUsage() error {
	if s.frontend.usage != nil {
		s.frontend.usage.run()
	}
	<-s.Done()
	return nil
}

// CollectLatencies works off what lookups took until the node ends.
func (s *Server) CollectLatencies() error {
	if s.dispatcher.Latencies != nil {
		s.dispatcher.Latencies.Run(s.Done())
	}
	<-s.Done()
	return nil
}

// LatencyEstimates returns what this node knows of lookups; nothing where they are not followed.
func (s *Server) LatencyEstimates(ask distribution.EstimatesRequest) latencyestimate.Snapshot {
	if s.dispatcher.Latencies == nil {
		return latencyestimate.MergeSnapshots()
	}
	return s.dispatcher.Latencies.Snapshot(ask.Service, ask.Class)
}

// InternalHandler serves other nodes.
func (s *Server) InternalHandler() *echo.Echo {
	e := s.Client.InternalHandler()
	e.POST("/estimates", func(c echo.Context) error {
		var ask distribution.EstimatesRequest
		if err := rpc.DecodeRequest(c.Request().Body, &ask); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		b, err := rpc.Marshal(s.LatencyEstimates(ask))
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeBody(b))
	})
	return e
}

// RunMaintenance does the regular small work until the node ends.
func (s *Server) RunMaintenance() error {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.frontend.closeIdleConnections()
			s.frontend.tokens.removeExpired(time.Now())
			s.Upstreams.CloseExpiredConnections()
		case <-s.Done():
			return nil
		}
	}
}

// Readiness serves the platform's question.
func (s *Server) Readiness() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/readiness", func(c echo.Context) error {
		if s.frontend.draining.Load() || !s.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

// Shutdown is the orderly end: not ready any more, new connections still served
// until the platform has noticed, every open request answered.
func (s *Server) Shutdown() {
	s.shutdownOnce.Do(func() {
		s.frontend.draining.Store(true)
		grace := s.Settings.Bounds.GracePeriod()
		if grace <= 0 {
			grace = 6 * time.Second
		}
		end := time.Now().Add(grace - shutdownMargin)
		time.Sleep(min(readinessNoticeTime, grace/2))
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		if s.httpServer.Shutdown(ctx) != nil {
			s.frontend.abortPending()
		}
		s.Close()
	})
}
