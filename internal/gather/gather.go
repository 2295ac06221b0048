package gather

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"comethold/internal/estimate"
	"comethold/internal/numbering"
	"comethold/internal/toll"
	"comethold/internal/trunk"
)

// Headers of gathered answers.
const (
	HeaderParts   = "X-Comethold-Part-Stamps"
	HeaderMissing = "X-Comethold-Missing-Parts"
)

// Pacing of tries. Ours; see docs/design.md.
const (
	hedgeFrom   = 0.95                  // the share of answers that come before a second leaf is asked
	shadowKeep  = 0.8                   // of the budget stays when a copy is asked only to compare
	hedgeKeep   = 0.6                   // of the budget stays for tries after a failure
	cutMargin   = 12 * time.Millisecond // before the target, to get the answer to the client
	freeTries   = 3                     // tries that never left this node
	comeBackMin = 50 * time.Millisecond

	fullPauseMin = 6 * time.Millisecond
	fullPauseMax = 40 * time.Millisecond
)

// Asker carries requests to leafs.
type Asker struct {
	frame *trunk.Frame
	toll  *toll.Toll
	// Permit, if set, waits until a call may be made to a service whose rate is
	// bounded; if it may not, it says when to come back.
	Permit func(service string, until time.Time) (ok bool, back time.Duration)

	// Watch, if set, gets what lookups of routes with a class took; Shadow is the share of
	// them for which another copy is asked too.
	Watch  *estimate.Collector
	Shadow float64

	mu    sync.Mutex
	paces map[string]*pace
}

// NewAsker makes an asker over a frame of trunks and a retry budget.
func NewAsker(f *trunk.Frame, t *toll.Toll) *Asker {
	return &Asker{frame: f, toll: t, paces: map[string]*pace{}}
}

// Forget drops what was learnt of routes that are no more.
func (a *Asker) Forget(p *numbering.Plan) {
	live := map[string]bool{}
	p.Lines(func(l *numbering.Line) { live[l.Name] = true })
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.paces {
		if !live[name] {
			delete(a.paces, name)
		}
	}
}

func (a *Asker) pace(route string) *pace {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.paces[route]
	if p == nil {
		p = &pace{}
		a.paces[route] = p
	}
	return p
}

// Reply is what the client gets.
type Reply struct {
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter time.Duration // with 503: the request has not run
	Why        string
}

type shard struct {
	service string
	pair    *pairing // of the answers, where they are watched
	tried   []*trunk.Trunk
	sent    int // arrivals at leafs
	free    int // tries that did not leave
	pending int
	worst   trunk.Outcome // of the tries that ended
	part    *trunk.Answer
	last    *trunk.Answer
	failed  bool
	late    bool
	since   time.Time // of the newest try
	hedgeAt time.Time
	againAt time.Time // when a leaf that was full is followed by another
	newest  *trunk.Trunk
}

type outcome struct {
	shard int
	back  time.Duration // with errNoTurn
	a     *trunk.Answer
	err   error
	took  time.Duration
}

// asking is one request on its way.
type asking struct {
	*Asker
	line   *numbering.Line
	req    *trunk.Request
	pace   *pace
	shards []shard
	ch     chan outcome
	usual  time.Duration
	in     int           // shards whose part is in
	open   int           // shards that may still answer
	back   time.Duration // when a service's rate allows more, if that was in the way
	began  func(at time.Time)
	maybe  time.Time // when a leaf was asked that may have run it
	due    time.Time // not after the next moment at which an open shard needs something done
}

var errNoTurn = errors.New("gather: the service's rate is spent")

func failure(status int, why string) *Reply { return &Reply{Status: status, Why: why} }

func comeBack(why string) *Reply {
	return &Reply{Status: http.StatusServiceUnavailable, Why: why,
		RetryAfter: comeBackMin + time.Duration(rand.Int64N(int64(2*comeBackMin)))}
}

// comeBack says so not before a rate that was in the way allows more.
func (k *asking) comeBack(why string) *Reply {
	r := comeBack(why)
	r.RetryAfter = max(r.RetryAfter, k.back)
	return r
}

// Ask carries a request to the leafs of its line and returns the answer. ran, if given, is
// called once if a leaf began to run it, or may have, with the moment at which that leaf
// was asked.
func (a *Asker) Ask(l *numbering.Line, r *trunk.Request, start time.Time, ran func(at time.Time)) *Reply {
	services := l.FanoutServices
	gathered := len(services) > 0
	if !gathered {
		services = []string{l.Pick(rand.Float64())}
	}
	for _, s := range services {
		a.toll.Earn(s, start)
	}
	least := 1
	if gathered {
		least = l.Least
	}
	up, shares := a.frame.Survey(services)
	if gathered && up < least {
		return comeBack("too few shards have a leaf")
	}
	if !admitted(shares, least) {
		return comeBack("the leafs are full")
	}
	k := &asking{Asker: a, line: l, req: r, pace: a.pace(l.Name), shards: make([]shard, len(services)),
		ch: make(chan outcome, len(services)*(l.Tries+freeTries))}
	k.began = ran
	k.usual = k.pace.hedgeAfter(l.Target)
	k.open = len(services)
	r.Once, r.Part = !l.Repeatable(), gathered
	for i, s := range services {
		k.shards[i].service = s
		if a.watches(l) {
			k.shards[i].pair = &pairing{}
		}
		k.launch(i, start)
	}
	k.wait(start, least, gathered)
	k.unclear()
	if gathered {
		return k.joined(least)
	}
	return k.single()
}

// admitted decides whether a request is begun. Where leafs turn calls away, what
// is begun beyond their means takes slots and is lost all the same, so a share
// of the requests is told to come back before anything of them runs.
func admitted(shares []float64, least int) bool {
	slices.Sort(shares)
	share := shares[len(shares)-least]
	return share >= 1 || rand.Float64() < share
}

// ran reports whether a leaf may have run the shard's request, as far as tries ended.
func (s *shard) ran() bool { return s.worst > trunk.Refused }

// seize reserves a leaf for one more try. Every try comes by here: what may not be
// repeated gets a leaf only while no other has it or may have run it.
func (k *asking) seize(s *shard) *trunk.Trunk {
	if !k.req.Retriable(s.worst) || k.req.Once && s.pending > 0 {
		return nil
	}
	return k.frame.Seize(s.service, s.tried, k.req.Once)
}

// launch sends the shard's request to one more leaf, if one takes it.
func (k *asking) launch(i int, now time.Time) bool {
	t := k.seize(&k.shards[i])
	if t == nil {
		k.settle(&k.shards[i])
		return false
	}
	k.send(i, t, now)
	return true
}

func (k *asking) send(i int, t *trunk.Trunk, now time.Time) {
	s := &k.shards[i]
	s.tried = append(s.tried, t)
	s.sent++
	s.pending++
	s.since, s.newest = now, t
	s.hedgeAt = now.Add(k.usual)
	k.dueBy(s.hedgeAt)
	pair := s.pair
	go func() {
		if k.Permit != nil {
			if ok, back := k.Permit(t.Leaf().Service, k.req.Deadline); !ok {
				k.frame.Release(t)
				k.ch <- outcome{shard: i, back: back, err: errNoTurn}
				return
			}
		}
		began := time.Now()
		busy := pair != nil && k.frame.Shared(t)
		a, err := k.frame.Call(t, k.req)
		k.ch <- outcome{shard: i, a: a, err: err, took: time.Since(began)}
		if pair != nil {
			k.watch(pair, t, busy, time.Since(began), a, err)
		}
	}()
}

// Changes of a shard's state: it is open, then its part is in, or it has failed.

func (k *asking) settle(s *shard) {
	if s.pending == 0 && s.part == nil && !s.failed {
		s.failed = true
		k.open--
	}
}

func (k *asking) fill(s *shard, a *trunk.Answer) {
	if s.part != nil {
		return
	}
	s.part = a
	k.in++
	if !s.failed {
		k.open--
	}
}

func (k *asking) dueBy(at time.Time) {
	if k.due.IsZero() || at.Before(k.due) {
		k.due = at
	}
}

// fullPause is how long to wait after a leaf was full.
func fullPause(mean time.Duration) time.Duration {
	d := min(max(mean, fullPauseMin), fullPauseMax)
	return d/2 + rand.N(d)
}

// again sends to another leaf if the route and the budget allow it.
func (k *asking) again(i int, keep float64, now time.Time) bool {
	s := &k.shards[i]
	if s.sent >= k.line.Tries || !k.req.Deadline.After(now) {
		return false
	}
	t := k.seize(s)
	if t == nil {
		return false
	}
	if !k.toll.Pay(s.service, now, keep) {
		k.frame.Release(t)
		return false
	}
	k.send(i, t, now)
	return true
}

// wait follows the tries until the answer is settled. What comes in concerns one
// shard; all of them are looked at only when one is due.
func (k *asking) wait(start time.Time, least int, gathered bool) {
	cut := start.Add(k.line.Target - cutMargin)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var armed time.Time
	for {
		now := time.Now()
		if !k.due.After(now) {
			k.look(now)
		}
		if k.open == 0 || k.in+k.open < least || !k.req.Deadline.After(now) {
			return
		}
		next := k.req.Deadline
		if !k.due.IsZero() && k.due.Before(next) {
			next = k.due
		}
		if gathered && k.in >= least && k.line.Target > 0 {
			if !cut.After(now) {
				if now.Sub(cut) < cutMargin || !start.Add(3*k.line.Target).After(now) {
					return // what is in earns more now than all of it later
				}
				cut = start.Add(3 * k.line.Target)
			}
			if cut.Before(next) {
				next = cut
			}
		}
		if next != armed {
			timer.Reset(max(next.Sub(now), 0))
			armed = next
		}
		select {
		case o := <-k.ch:
			k.take(o)
			for more := true; more; {
				select {
				case o := <-k.ch:
					k.take(o)
				default:
					more = false
				}
			}
		case <-timer.C:
			armed = time.Time{}
		}
	}
}

// look does what is due, and finds out what is due next.
func (k *asking) look(now time.Time) {
	k.due = time.Time{}
	for i := range k.shards {
		s := &k.shards[i]
		if s.part != nil || s.failed {
			continue
		}
		if !s.againAt.IsZero() && !s.againAt.After(now) {
			s.againAt = time.Time{}
			if !k.again(i, 0, now) {
				k.settle(s)
				continue
			}
		}
		if s.pending == 0 {
			k.dueBy(s.againAt)
			continue
		}
		if !s.hedgeAt.After(now) {
			k.overdue(i, now)
		}
		k.dueBy(s.hedgeAt)
	}
}

// overdue deals with a shard whose newest try takes longer than usual.
func (k *asking) overdue(i int, now time.Time) {
	s := &k.shards[i]
	k.frame.Overdue(s.newest, s.since, k.usual)
	s.hedgeAt = now.Add(k.usual)
	// Where leafs are full a second one only makes all of them slower.
	if !k.frame.Crowded(s.service) {
		k.again(i, hedgeKeep, now)
	}
}

// take notes the outcome of a try.
func (k *asking) take(o outcome) {
	s := &k.shards[o.shard]
	s.pending--
	now := time.Now()
	how := trunk.OutcomeOf(o.a, o.err)
	if !errors.Is(o.err, errNoTurn) {
		s.worst = max(s.worst, how)
	}
	switch {
	case how == trunk.Ran && o.a.Good():
		k.ran(now.Add(-o.took))
		first := s.part == nil
		k.fill(s, o.a)
		k.pace.add(o.took)
		if first && s.pair != nil && len(s.tried) == 1 && rand.Float64() < k.Shadow && !k.frame.Crowded(s.service) {
			k.again(o.shard, shadowKeep, now)
		}
		return
	case errors.Is(o.err, errNoTurn):
		s.sent--
		k.back = max(k.back, o.back)
	case how == trunk.Unsent:
		s.sent--
		if s.free++; s.part == nil && s.pending == 0 && s.free <= freeTries && k.req.Deadline.After(now) && k.launch(o.shard, now) {
			return
		}
	case how == trunk.Refused:
		s.last = o.a
		if s.part == nil && s.pending == 0 {
			if o.a.Status == http.StatusMisdirectedRequest {
				if k.again(o.shard, 0, now) {
					return
				}
			} else if s.sent < k.line.Tries {
				// A full leaf has its next slot free in a moment, and so
				// have its fellows.
				s.againAt = now.Add(fullPause(k.frame.Mean(s.service)))
				k.dueBy(s.againAt)
				return
			}
		}
	default:
		s.last = o.a
		if how == trunk.Ran {
			k.ran(now.Add(-o.took))
		} else if k.maybe.IsZero() {
			k.maybe = now.Add(-o.took)
		}
		s.late = s.late || errors.Is(o.err, trunk.ErrLate)
		if s.part == nil && s.pending == 0 && k.again(o.shard, 0, now) {
			return
		}
	}
	k.settle(s)
}

// ran notes, once, that a leaf has run the request.
func (k *asking) ran(at time.Time) {
	if k.began != nil {
		k.began(at)
		k.began = nil
	}
}

// unclear counts a request of which no leaf said that it has run or not as one that has:
// a leaf that was asked and breaks off, or is slow, was mostly at work.
func (k *asking) unclear() {
	for i := range k.shards {
		if s := &k.shards[i]; s.pending > 0 && k.maybe.IsZero() {
			k.maybe = s.since
		}
	}
	if !k.maybe.IsZero() {
		k.ran(k.maybe)
	}
}

// single makes the reply of a line with one leaf.
func (k *asking) single() *Reply {
	s := &k.shards[0]
	switch {
	case s.part != nil:
		return &Reply{Status: s.part.Status, Header: s.part.Header, Body: s.part.Body}
	case s.pending > 0 || s.late:
		return failure(http.StatusGatewayTimeout, "the leaf did not answer in time")
	case s.ran():
		if a := s.last; a != nil && a.Status/100 != 2 && !a.NotRun() && !promises(a.Status) {
			return &Reply{Status: a.Status, Header: a.Header, Body: a.Body} // the leaf's own failure
		}
		return failure(http.StatusBadGateway, "the leaf's answer was lost")
	case s.last != nil && s.last.Status == http.StatusBadRequest:
		return &Reply{Status: http.StatusBadRequest, Header: s.last.Header, Body: s.last.Body}
	}
	return k.comeBack("no leaf takes the request now")
}

// promises reports whether clients take a status as word that the request has
// not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// joined makes the reply of a gathered line.
func (k *asking) joined(least int) *Reply {
	h := http.Header{}
	var bodies [][]byte
	ran, pending := false, false
	var stamps []byte
	for i := range k.shards {
		s := &k.shards[i]
		ran = ran || s.ran() || s.pending > 0
		pending = pending || (s.part == nil && (s.pending > 0 || s.late))
		if s.part == nil {
			continue
		}
		ran = true
		if len(stamps) > 0 {
			stamps = append(stamps, ", "...)
		}
		stamps = append(stamps, s.part.Header.Get(trunk.HeaderStamp)...)
		bodies = append(bodies, s.part.Body)
	}
	switch {
	case len(bodies) >= least:
	case pending && !k.req.Deadline.After(time.Now()):
		return failure(http.StatusGatewayTimeout, "too few shards answered in time")
	case ran:
		return failure(http.StatusBadGateway, "too few shards answered")
	default:
		return k.comeBack("too few shards take the request now")
	}
	h.Set(HeaderParts, string(stamps))
	h.Set(HeaderMissing, strconv.Itoa(len(k.shards)-len(bodies)))
	h.Set("Content-Type", "application/octet-stream")
	return &Reply{Status: http.StatusOK, Header: h, Body: Merge(bodies, int(k.line.ResultCount))}
}
