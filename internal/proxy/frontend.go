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
	// serverHeaderBytes is the limit that net/http applies to the size of request headers, before
	// the limit of the route table applies.
	serverHeaderBytes = 1 << 20
)

// frontend serves client requests. It is safe for concurrent use.
type frontend struct {
	controlClient *controlclient.Client
	dispatcher    *scatter.Dispatcher
	objects       *objectcache.Client // nil unless the deployment mode is content
	tokens        *tokenClient
	usage         *usageReporter // nil if usage reports are disabled in the settings
	log           *logging.Logger

	draining        atomic.Bool // the node is shutting down
	idle            *idleTracker
	pendingRequests *pendingRequests
}

func newFrontend(
	controlClient *controlclient.Client, dispatcher *scatter.Dispatcher,
	objects *objectcache.Client, log *logging.Logger,
) *frontend {
	return &frontend{
		controlClient:   controlClient,
		dispatcher:      dispatcher,
		objects:         objects,
		tokens:          newTokenClient(controlClient),
		usage:           newUsageReporter(controlClient),
		log:             log,
		idle:            newIdleTracker(controlClient),
		pendingRequests: newPendingRequests(),
	}
}

// newHTTPServer returns the HTTP server for client requests. The operator's route table
// defines hosts and paths, so all requests bypass echo's own routing.
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

// serve handles one client request.
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
