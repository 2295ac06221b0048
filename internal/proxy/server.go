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

// Timing of a shutdown.
const (
	// readinessNoticeTime is how long a draining node still accepts connections. The platform
	// checks readiness once a second and removes a node after two failed checks.
	readinessNoticeTime = 2300 * time.Millisecond
	// shutdownMargin is the time before the end of the grace period at which the requests
	// that are still pending are aborted.
	shutdownMargin     = 700 * time.Millisecond
	defaultGracePeriod = 6 * time.Second
)

const maintenanceInterval = 250 * time.Millisecond

// objectCacheBytes is the size of the object cache in a node's memory.
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
		options.AwaitRateLimit = objects.WaitForPermit
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

// Handler returns the handler of client requests.
func (s *Server) Handler() http.Handler { return s.httpServer.Handler }

// Serve serves client requests on a listener. After Shutdown it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.httpServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-s.Done()
		return nil
	}
	return err
}

// ReportUsage reports the tenants' usage to the control plane until the server is closed.
func (s *Server) ReportUsage() error {
	if s.frontend.usage != nil {
		s.frontend.usage.run()
	}
	<-s.Done()
	return nil
}

// CollectLatencies processes the latency samples of lookups until the server is closed.
func (s *Server) CollectLatencies() error {
	if s.dispatcher.Latencies != nil {
		s.dispatcher.Latencies.Run(s.Done())
	}
	<-s.Done()
	return nil
}

// LatencyEstimates returns this node's snapshot of lookup latencies. It is empty if they are not
// sampled.
func (s *Server) LatencyEstimates(request distribution.EstimatesRequest) latencyestimate.Snapshot {
	if s.dispatcher.Latencies == nil {
		return latencyestimate.MergeSnapshots()
	}
	return s.dispatcher.Latencies.Snapshot(request.Service, request.Class)
}

// InternalHandler returns the handler of requests from other nodes.
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

// RunMaintenance closes idle connections and removes expired state until the server is closed.
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

// Readiness returns the handler of the platform's readiness checks.
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

// Shutdown drains the node. The node reports that it is not ready, and serves new connections
// until the platform has noticed that. Requests that are still pending shortly before the end of
// the grace period are aborted with an answer. Shutdown returns when the process may exit.
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
