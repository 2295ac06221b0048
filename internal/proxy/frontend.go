package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/logging"
	"comethold/internal/objectcache"
	"comethold/internal/scatter"

	"github.com/labstack/echo/v4"
)

const (
	headerReadTimeout = 30 * time.Second
	// serverHeaderBytes bounds headers before the route table's own limit applies.
	serverHeaderBytes = 1 << 20
)

// frontend serves the clients. It is safe for concurrent use.
type frontend struct {
	client     *controlclient.Client
	dispatcher *scatter.Dispatcher
	objects    *objectcache.Client // nil outside content deployments
	tokens     *tokenClient
	usage      *usageReporter // nil where usage is not reported
	log        *logging.Logger

	draining        atomic.Bool // the node is shutting down
	idle            *idleTracker
	pendingRequests *pendingRequests
}

func newFrontend(
	client *controlclient.Client, dispatcher *scatter.Dispatcher, objects *objectcache.Client, log *logging.Logger,
) *frontend {
	return &frontend{
		client:          client,
		dispatcher:      dispatcher,
		objects:         objects,
		tokens:          newTokenClient(client),
		usage:           newUsageReporter(client),
		log:             log,
		idle:            newIdleTracker(client),
		pendingRequests: newPendingRequests(),
	}
}

// newHTTPServer makes the server of the clients' port. Hosts and paths are the
// operator's, so echo routes none of them itself.
func (f *frontend) newHTTPServer() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return f.serve })
	return &http.Server{
		Handler:                      e,
		ConnState:                    f.idle.connectionChanged,
		ReadHeaderTimeout:            headerReadTimeout,
		MaxHeaderBytes:               serverHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// serve handles one request of a client.
func (f *frontend) serve(c echo.Context) error {
	x := &exchange{
		frontend: f,
		start:    time.Now(),
		writer:   c.Response().Writer,
		request:  c.Request(),
	}
	defer x.recoverPanic()
	x.handle()
	return nil
}
