package controlplane

import (
	"net/http"

	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/logging"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// requireReady rejects calls until the storage is open.
func (s *Server) requireReady(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.isReady() {
			return operatorapi.WriteError(c, operatorapi.ErrNotReady)
		}
		return next(c)
	}
}

// OperatorHandler returns the handler of the operator API.
func (s *Server) OperatorHandler() *echo.Echo {
	e := newRouter(s.log)
	e.Use(s.requireReady)
	e.POST("/Configuration.Replace", func(c echo.Context) error { return s.operator.Replace(c) })
	e.POST("/Configuration.Amend", func(c echo.Context) error { return s.operator.Amend(c) })
	e.POST("/purge", func(c echo.Context) error { return s.operator.Purge(c) })
	e.GET("/Configuration.Read", func(c echo.Context) error { return s.operator.Read(c) })
	e.GET("/Notices.Read", func(c echo.Context) error { return s.operator.ReadOutbox(c) })
	e.GET("/Duties.Read", func(c echo.Context) error { return s.operator.ReadLeases(c) })
	e.GET("/Estimates.Read", s.handleReadEstimates)
	e.GET("/Estimates.Saved", s.handleReadSavedEstimates)
	e.POST("/Notices.Redrive", func(c echo.Context) error { return s.operator.Redrive(c) })
	return e
}

// newRouter returns a router that recovers from a panic in a handler and answers 500.
func newRouter(log *logging.Logger) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) (err error) {
			defer func() {
				if cause := recover(); cause != nil {
					log.Error(logging.RequestPanic).
						Any("panic", cause).
						Str("path", c.Path()).
						Msg("request handler panicked; answering 500")
					err = c.NoContent(http.StatusInternalServerError)
				}
			}()
			return next(c)
		}
	})
	return e
}

// writeCBOR answers 200 with a CBOR-encoded message.
func writeCBOR(c echo.Context, message any) error {
	raw, err := rpc.Marshal(message)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeBody(raw))
}
