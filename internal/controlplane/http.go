package controlplane

import (
	"net/http"

	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/logging"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// requireReady turns callers away until the vault is open.
func (r *Server) requireReady(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !r.isReady() {
			return operatorapi.WriteError(c, operatorapi.ErrNotReady)
		}
		return next(c)
	}
}

// OperatorHandler serves what the operator calls.
func (r *Server) OperatorHandler() *echo.Echo {
	e := newRouter(r.log)
	e.Use(r.requireReady)
	e.POST("/Configuration.Replace", func(c echo.Context) error { return r.operator.Replace(c) })
	e.POST("/Configuration.Amend", func(c echo.Context) error { return r.operator.Amend(c) })
	e.POST("/purge", func(c echo.Context) error { return r.operator.Purge(c) })
	e.GET("/Configuration.Read", func(c echo.Context) error { return r.operator.Read(c) })
	e.GET("/Notices.Read", func(c echo.Context) error { return r.operator.ReadOutbox(c) })
	e.GET("/Duties.Read", func(c echo.Context) error { return r.operator.ReadLeases(c) })
	e.GET("/Estimates.Read", r.readEstimates)
	e.GET("/Estimates.Saved", r.readSavedEstimates)
	e.POST("/Notices.Redrive", func(c echo.Context) error { return r.operator.Redrive(c) })
	return e
}

func newRouter(log *logging.Logger) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) (err error) {
			defer func() {
				if p := recover(); p != nil {
					log.Error(logging.RequestPanic).Any("panic", p).Str("path", c.Path()).Msg("a request failed inside")
					err = c.NoContent(http.StatusInternalServerError)
				}
			}()
			return next(c)
		}
	})
	return e
}

func writeCBOR(c echo.Context, v any) error {
	b, err := rpc.Marshal(v)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeBody(b))
}
