package proxy

import (
	"context"
	"errors"
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

// Timing of a shutdown. The platform asks for readiness once a second and takes a
// node out after two misses.
const (
	readinessNoticeTime = 2300 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period the requests that
	// are still pending are answered.
	shutdownMargin     = 700 * time.Millisecond
	defaultGracePeriod = 6 * time.Second
)

const maintenanceInterval = 250 * time.Millisecond

// objectCacheBytes is the size of a node's own cache of objects.
const objectCacheBytes = 16 << 20

// Server is the data plane of one node.
type Server struct {
	*controlclient.Client
	dispatcher   *scatter.Dispatcher
	frontend     *frontend
	httpServer   *http.Server
	shutdownOnce sync.Once
}

// New returns a data plane that connects to other processes through network.
func New(set *settings.Settings, log *logging.Logger, network rpc.Network) *Server {
	client := controlclient.New(controlclient.Options{
		Settings: set,
		Log:      log,
		Program:  settings.DataPlane,
		Network:  network,
	})
	options := scatter.Options{
		Clusters:    client.Upstreams,
		RetryBudget: client.RetryBudget,
		OnPanic:     func(cause any) { logPanic(log, cause) },
	}
	if set.Estimates.Enabled {
		options.Latencies = latencyestimate.NewCollector(time.Now())
		options.ShadowShare = set.Estimates.ShadowShare
	}
	var objects *objectcache.Client
	if set.DeploymentMode == settings.ContentMode {
		objects = objectcache.NewClient(client, objectCacheBytes)
		options.AwaitRateLimit = objects.Permit
	}
	dispatcher := scatter.NewDispatcher(options)
	frontend := newFrontend(client, dispatcher, objects, log)
	client.OnRouteTable(dispatcher.RetainRoutes)
	return &Server{
		Client:     client,
		dispatcher: dispatcher,
		frontend:   frontend,
		httpServer: frontend.newHTTPServer(),
	}
}

// Handler answers clients' requests.
func (s *Server) Handler() http.Handler { return s.httpServer.Handler }

// Serve answers clients on a listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-s.Done()
		return nil
	}
	return err
}

// ReportUsage reports the tenants' usage to the control plane until the node ends.
func (s *Server) ReportUsage() error {
	if s.frontend.usage != nil {
		s.frontend.usage.run()
	}
	<-s.Done()
	return nil
}

// CollectLatencies processes the latency samples of lookups until the node ends.
func (s *Server) CollectLatencies() error {
	if s.dispatcher.Latencies != nil {
		s.dispatcher.Latencies.Run(s.Done())
	}
	<-s.Done()
	return nil
}

// LatencyEstimates returns this node's snapshot of the latencies of lookups. It is empty
// if they are not sampled.
func (s *Server) LatencyEstimates(request distribution.EstimatesRequest) latencyestimate.Snapshot {
	if s.dispatcher.Latencies == nil {
		return latencyestimate.MergeSnapshots()
	}
	return s.dispatcher.Latencies.Snapshot(request.Service, request.Class)
}

// InternalHandler serves other nodes.
func (s *Server) InternalHandler() *echo.Echo {
	e := s.Client.InternalHandler()
	e.POST("/estimates", s.serveEstimates)
	return e
}

func (s *Server) serveEstimates(c echo.Context) error {
	var request distribution.EstimatesRequest
	if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	encoded, err := rpc.Marshal(s.LatencyEstimates(request))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeBody(encoded))
}

// RunMaintenance closes idle connections and drops expired state until the node ends.
func (s *Server) RunMaintenance() error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.frontend.idle.closeExpired(time.Now())
			s.frontend.tokens.removeExpired(time.Now())
			s.Upstreams.CloseExpiredConnections()
		case <-s.Done():
			return nil
		}
	}
}

// Readiness serves the platform's readiness checks.
func (s *Server) Readiness() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/readiness", func(c echo.Context) error {
		if s.frontend.draining.Load() || !s.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

// Shutdown drains the node: it is no longer ready, new connections are still served
// until the platform has noticed that, and every pending request is answered. It
// returns when the process may exit.
func (s *Server) Shutdown() {
	s.shutdownOnce.Do(func() {
		s.frontend.draining.Store(true)
		grace := s.Settings.Bounds.GracePeriod()
		if grace <= 0 {
			grace = defaultGracePeriod
		}
		end := time.Now().Add(grace - shutdownMargin)
		time.Sleep(min(readinessNoticeTime, grace/2))
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		if s.httpServer.Shutdown(ctx) != nil {
			s.frontend.pendingRequests.abortAll()
		}
		s.Close()
	})
}
