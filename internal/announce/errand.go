package announce

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/settings"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// An errand is a call that a switch itself makes to a service with a rate, on a
// route that is not cacheable. All that arrives there counts, so it waits for its
// turn under an announcer's share like the announcer's own reads.

type errand struct {
	Service string `cbor:"1,keyasint"`
	WaitMs  int64  `cbor:"2,keyasint"`
}

type leave struct {
	Granted bool  `cbor:"1,keyasint,omitempty"`
	RetryMs int64 `cbor:"2,keyasint,omitempty"`
}

const errandBack = 300 * time.Millisecond

func (a *Announcer) errand(c echo.Context) error {
	var e errand
	if err := wire.Read(c.Request().Body, &e); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	b, err := wire.Marshal(a.permit(&e))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, wire.ContentType, wire.Plain(b))
}

func (a *Announcer) permit(e *errand) leave {
	plan := a.Plan()
	if plan == nil || plan.Services[e.Service] == nil || a.OutOfTouch(apartAfter) {
		return leave{RetryMs: errandBack.Milliseconds()}
	}
	wait := time.Duration(e.WaitMs) * time.Millisecond
	t, back := a.turns.wait(&ticket{service: e.Service, rate: plan.Services[e.Service].RatePerS, errand: true,
		demand: func() int { return 1 }, until: time.Now().Add(wait / queueShare)})
	return leave{Granted: t != nil, RetryMs: back.Milliseconds()}
}

// Permit waits until a call may be made to a service; if it may not, it says when
// to come back.
func (s *Office) Permit(service string, until time.Time) (ok bool, back time.Duration) {
	plan := s.caller.office.Plan()
	if plan == nil || plan.Services[service] == nil || plan.Services[service].RatePerS <= 0 {
		return true, 0
	}
	// Each announcer has its part of the rate: the calls go round.
	for i, n := range s.caller.ranked(strconv.FormatInt(s.round.Add(1), 36), true) {
		left := time.Until(until) - askMargin
		if i == maxAsked || left <= 0 {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), left)
		var l leave
		addr := net.JoinHostPort(n.Addr, strconv.Itoa(s.caller.office.Set.PortOf(settings.Announcer)))
		err := s.caller.client.Call(ctx, addr, "/errand", &errand{Service: service, WaitMs: left.Milliseconds()}, &l)
		cancel()
		if err == nil {
			return l.Granted, time.Duration(l.RetryMs) * time.Millisecond
		}
		s.caller.failed(n)
	}
	return false, errandBack
}
