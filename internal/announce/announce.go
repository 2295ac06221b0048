package announce

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/numbering"
	"comethold/internal/office"
	"comethold/internal/ration"
	"comethold/internal/recorder"
	"comethold/internal/settings"
	"comethold/internal/trunk"
	"comethold/internal/vault"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// Pacing of an announcer. Ours; see docs/design.md.
const (
	renewEvery   = 800 * time.Millisecond
	reportEvery  = 5 * time.Second
	refreshFrom  = 0.8 // of its time, after which a copy that is asked for is renewed
	queueShare   = 3   // a read waits for its turn at most this part of its time
	readTries    = 3
	shortestTry  = 600 * time.Millisecond
	behindWait   = 400 * time.Millisecond
	behindAfter  = 100 * time.Millisecond  // after which news are sought elsewhere
	apartAfter   = 3500 * time.Millisecond // without word of the majority; the share has ended by then
	pollBehind   = 5 * time.Millisecond
	memoryShare  = 0.45 // of the process's memory, for recordings
	fallbackRoom = 64 << 20
	slotsOver    = 1.6 // reads under way per slot of a leaf, over all announcers
)

// Headers of objects.
const (
	headerETag   = "Etag"
	headerLabels = "X-Comethold-Object-Labels"
)

// Announcer keeps objects for all switches.
type Announcer struct {
	*office.Office
	caller *caller
	desk   *Desk
	ration *ration.Ration
	turns  *turns
	usual  *usual
	shelf  *shelf
	client *wire.Client
}

// New makes an announcer; dir holds its copies on disk, if not empty.
func New(set *settings.Settings, log *event.Log, n wire.Net) *Announcer {
	o := office.New(set, log, settings.Announcer, n)
	room := fallbackRoom
	if set.Limits.MemoryMb > 0 {
		room = int(memoryShare * float64(set.Limits.MemoryMb<<20))
	}
	a := &Announcer{Office: o, caller: newCaller(o), ration: ration.New(), usual: newUsual(), client: wire.NewClient(n)}
	a.turns = newTurns(a.ration, o.Frame.Seize, o.Frame.Release)
	rec := recorder.New(room)
	a.desk = NewDesk(rec, o, set.Bounds.StaleSlack(), refreshFrom, a.fill)
	o.OnRecalls(a.desk.Recalled)
	o.Frame.SetOver(slotsOver)
	if set.DataDirectory != "" {
		s, pos := openShelf(set.DataDirectory, shelfRoom(set.Limits.DiskMb), vault.Files{}, log)
		a.shelf = s
		s.start(rec.Put)
		o.StartAt(pos)
		a.desk.kept = s.put
		o.OnRecalls(func(c *feed.Recalls) {
			a.desk.Recalled(c)
			s.recalled(c)
		})
		log.Info(event.ShelfOpened).Int("copies", rec.Len()).Uint64("pos", pos).Msg("copies found on disk")
	}
	return a
}

// Renew keeps the node's share of the origins' rates until it ends.
func (a *Announcer) Renew() error {
	fair, failures, turn := 0, 0, feed.NewTurn()
	for {
		next, ok := a.renew(fair, failures, turn.Next())
		if ok {
			fair, failures = next, 0
		} else {
			failures++
		}
		pause := renewEvery
		if !ok || a.ration.Share(time.Now()) == 0 {
			pause = renewEvery / 16
		}
		select {
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) * float64(pause))):
		case <-a.Quit():
			return nil
		}
	}
}

// renew claims what was fair at the last renewal; it returns what is fair now.
func (a *Announcer) renew(fair, skip int, turn feed.Turn) (int, bool) {
	// What is to be given up is not used any more from before it is said.
	a.ration.Shrink(fair)
	asked := time.Now()
	fresh := a.ration.Share(asked) == 0
	if fresh {
		a.ration.Shrink(0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), ration.Hold/3)
	defer cancel()
	var g feed.Grant
	addrs := a.Registrars()
	err := a.client.Call(ctx, addrs[skip%len(addrs)], "/ration", &feed.Claim{Node: a.Set.NodeName, Permille: fair, Fresh: fresh, Turn: turn}, &g)
	if err != nil || !g.Granted {
		return fair, false
	}
	if g.Permille != a.ration.Share(asked) {
		a.Log.Info(event.ShareMoved).Int("permille", g.Permille).Int("fair", g.Fair).Msg("the share of the origins' rates moved")
	}
	a.ration.Renew(g.Permille, asked.Add(ration.Hold))
	return g.Fair, true
}

// Report notes now and then how the reads of origins go.
func (a *Announcer) Report() error {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-a.Quit():
			return nil
		}
		c := a.usual.report()
		if c.reads+c.renewed+c.refused > 0 {
			a.Log.Info(event.ReadsTold).Int("reads", c.reads).Int("renewed", c.renewed).Int("refused", c.refused).
				Dur("readMs", c.readTime/time.Duration(max(1, c.reads))).Dur("renewMs", c.renewTime/time.Duration(max(1, c.renewed))).
				Dur("waitMs", c.waited/time.Duration(max(1, c.reads+c.renewed))).Msg("reads of origins")
		}
	}
}

// Inner serves other nodes.
func (a *Announcer) Inner() *echo.Echo {
	e := a.Office.Inner()
	e.POST("/object", a.object)
	e.POST("/errand", a.errand)
	return e
}

// Leave ends the announcer in order.
func (a *Announcer) Leave() {
	a.Office.Close()
	if a.shelf != nil {
		a.shelf.close()
	}
}

func (a *Announcer) object(c echo.Context) error {
	var o order
	if err := wire.Read(c.Request().Body, &o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	b, err := wire.Marshal(a.serve(&o))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, wire.ContentType, wire.Plain(b))
}

// current waits until this node knows what the asker knows.
func (a *Announcer) current(o *order, until time.Time) *numbering.Plan {
	start, told := time.Now(), false
	for {
		p := a.Plan()
		if p != nil && p.Version >= o.Config && a.Pos() >= o.Pos && a.Ready() && a.Current() {
			return p
		}
		if !time.Now().Before(until) {
			return nil
		}
		if !told && time.Since(start) > behindAfter && a.Ready() {
			told = true
			a.Behind()
		}
		time.Sleep(pollBehind)
	}
}

func (a *Announcer) serve(o *order) *reply {
	start := time.Now()
	deadline := start.Add(time.Duration(o.WaitMs) * time.Millisecond)
	plan := a.current(o, start.Add(min(behindWait, time.Duration(o.WaitMs)*time.Millisecond/2)))
	if plan == nil {
		return &reply{Status: http.StatusServiceUnavailable, Why: "the announcer is behind", RetryMs: 100, Apart: a.OutOfTouch(apartAfter)}
	}
	path, _, _ := strings.Cut(o.Target, "?")
	line := plan.Find(o.Host, path)
	if line == nil || line.RouteKind != numbering.Cacheable {
		return &reply{Status: http.StatusServiceUnavailable, Why: "the route is no more", RetryMs: 100}
	}
	w := Want{Host: o.Host, Target: o.Target, TTL: line.TTL(), Deadline: deadline, Final: o.Final, Weight: o.Weight}
	rec, no := a.desk.Get(w)
	if no != nil {
		return &reply{Status: no.Status, Why: no.Why, Header: no.Header, Body: no.Body, RetryMs: no.RetryAfter.Milliseconds(), Apart: no.apart}
	}
	// A purge that came since is known to the asker by this position, or will
	// be compared with it when it comes.
	r := &reply{Service: rec.Service, ETag: rec.ETag, Pos: rec.Pos, AgeUs: rec.Age(time.Now()).Microseconds()}
	if o.Have != "" && o.Have == rec.ETag {
		r.Same = true
		return r
	}
	r.Labels, r.Header, r.Body = rec.Labels, rec.Header, rec.Body
	return r
}

// fill gets an object from the announcer that is its home, or from the origin.
func (a *Announcer) fill(w Want, old *recorder.Recording, pos uint64) (*recorder.Recording, *Refusal) {
	if !w.Final {
		for i, n := range a.caller.ranked(recorder.Key(w.Host, w.Target), false) {
			if n.Name == a.Set.NodeName || i == maxAsked {
				break
			}
			rec, no, err := a.caller.ask(n, w, old, pos, true)
			if err == nil {
				return rec, no
			}
			a.caller.failed(n)
		}
	}
	return a.read(w, old)
}

// read reads the origin.
func (a *Announcer) read(w Want, old *recorder.Recording) (*recorder.Recording, *Refusal) {
	if a.OutOfTouch(apartAfter) {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Why: "the announcer is out of touch", RetryAfter: 300 * time.Millisecond, apart: true}
	}
	plan := a.Plan()
	path, _, _ := strings.Cut(w.Target, "?")
	line := plan.Find(w.Host, path)
	if line == nil || line.RouteKind != numbering.Cacheable {
		return nil, refusal(http.StatusNotFound, "no route")
	}
	service := line.Pick(rand.Float64())
	rate := 0.0
	if s := plan.Services[service]; s != nil {
		rate = s.RatePerS
	}
	// The read serves everybody who waits for the object and those to come; it
	// goes by the route's time, not by that of who asked first.
	start := time.Now()
	deadline := start.Add(line.Timeout)
	last := refusal(http.StatusBadGateway, "the origin's answer was lost")
	ran := false
	var tried []*trunk.Trunk
	for try := 0; try < readTries; try++ {
		asked := time.Now()
		t, back := a.turns.wait(&ticket{service: service, rate: rate, demand: w.demand, tried: tried,
			until: asked.Add(deadline.Sub(asked) / queueShare)})
		waited := time.Since(asked)
		a.usual.count(func(c *tally) {
			c.waited += waited
			if t == nil {
				c.refused++
			}
		})
		if t == nil {
			if ran {
				return nil, last
			}
			return nil, &Refusal{Status: http.StatusServiceUnavailable, Why: "the origin takes no more reads now", RetryAfter: back}
		}
		// Each read has an id of its own, so that an answer to an earlier one is known.
		r := &trunk.Request{Method: http.MethodGet, Target: w.Target, Host: w.Host, Header: http.Header{}, ID: newReadID()}
		if old != nil && old.ETag != "" && old.Service == service {
			r.Header["If-None-Match"] = []string{old.ETag}
		}
		pos, began := a.Pos(), time.Now()
		r.Deadline = began.Add(min(deadline.Sub(began), max(shortestTry, a.usual.limit(service))))
		ans, err := a.Frame.Call(t, r)
		tried = append(tried, t)
		switch how := trunk.OutcomeOf(ans, err); {
		case how == trunk.Ran && ans.Status == http.StatusNotModified && old != nil && r.Header["If-None-Match"] != nil:
			took := time.Since(began)
			a.usual.count(func(t *tally) { t.renewed++; t.renewTime += took })
			again := *old
			again.Read, again.Pos = began, pos
			return &again, nil
		case how == trunk.Ran && ans.Status == http.StatusOK && ans.Good():
			took := time.Since(began)
			a.usual.add(service, took)
			a.usual.count(func(t *tally) { t.reads++; t.readTime += took })
			return &recorder.Recording{Host: w.Host, Target: w.Target, Service: service, ETag: ans.Header.Get(headerETag),
				Labels: strings.Fields(ans.Header.Get(headerLabels)), Header: objectHeader(ans.Header), Body: ans.Body, Read: began, Pos: pos}, nil
		case how == trunk.Refused:
			if ans.Status == http.StatusTooManyRequests {
				a.Log.Warn(event.RateMet).Str("service", service).Msg("the origin says that its rate is spent")
			}
			if !ran {
				last = &Refusal{Status: http.StatusServiceUnavailable, Why: "the origin turns reads away", RetryAfter: 200 * time.Millisecond}
			}
		case how == trunk.Ran && ans.Status/100 != 2 && ans.Status/100 != 3:
			ran = true
			last = &Refusal{Status: ans.Status, Why: "the origin's own failure", Header: objectHeader(ans.Header), Body: ans.Body}
			if ans.Status/100 == 4 {
				return nil, last // asking again changes nothing
			}
		case how == trunk.Unsent:
			if !ran {
				last = &Refusal{Status: http.StatusServiceUnavailable, Why: "the origin cannot be reached", RetryAfter: 200 * time.Millisecond}
			}
		default:
			ran = true
			last = refusal(http.StatusBadGateway, "the origin's answer was lost")
		}
		if time.Until(deadline) < shortestTry {
			break
		}
	}
	return nil, last
}

func newReadID() string { return "r" + strconv.FormatUint(rand.Uint64(), 36) }

// objectHeader is what a recording keeps of a leaf's header.
func objectHeader(h http.Header) http.Header {
	out := trunk.PassedOn(h)
	delete(out, trunk.HeaderInstance)
	return out
}
