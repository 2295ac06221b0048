package scatter

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"comethold/internal/latencyestimate"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// Headers of gathered answers.
const (
	HeaderPartStamps   = "X-Comethold-Part-Stamps"
	HeaderMissingParts = "X-Comethold-Missing-Parts"
)

// Pacing of tries. Ours; see docs/design.md.
const (
	hedgeQuantile       = 0.95                  // the share of answers that come before a second leaf is asked
	shadowBudgetReserve = 0.8                   // of the budget stays when a copy is asked only to compare
	hedgeBudgetReserve  = 0.6                   // of the budget stays for tries after a failure
	deliveryMargin      = 12 * time.Millisecond // before the target, to get the answer to the client
	maxUnsentAttempts   = 3                     // tries that never left this node
	minRetryAfter       = 50 * time.Millisecond

	minRejectionBackoff = 6 * time.Millisecond
	maxRejectionBackoff = 40 * time.Millisecond
)

// Dispatcher carries requests to leafs.
type Dispatcher struct {
	clusters *upstream.ClusterManager
	budget   *retrybudget.Budget
	// AwaitRate, if set, waits until a call may be made to a service whose rate is
	// bounded; if it may not, it says when to come back.
	AwaitRate func(service string, until time.Time) (ok bool, back time.Duration)

	// Latencies, if set, gets what lookups of routes with a class took; Shadow is the share of
	// them for which another copy is asked too.
	Latencies   *latencyestimate.Collector
	ShadowShare float64

	mu         sync.Mutex
	histograms map[string]*latencyHistogram
}

// NewDispatcher makes an asker over a frame of trunks and a retry budget.
func NewDispatcher(f *upstream.ClusterManager, t *retrybudget.Budget) *Dispatcher {
	return &Dispatcher{clusters: f, budget: t, histograms: map[string]*latencyHistogram{}}
}

// RetainRoutes drops what was learnt of routes that are no more.
func (a *Dispatcher) RetainRoutes(p *routing.RouteTable) {
	live := map[string]bool{}
	p.ForEachRoute(func(l *routing.CompiledRoute) { live[l.Name] = true })
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.histograms {
		if !live[name] {
			delete(a.histograms, name)
		}
	}
}

func (a *Dispatcher) histogram(route string) *latencyHistogram {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.histograms[route]
	if p == nil {
		p = &latencyHistogram{}
		a.histograms[route] = p
	}
	return p
}

// Reply is what the client gets.
type Reply struct {
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter time.Duration // with 503: the request has not run
	Reason     string
}

type shard struct {
	service         string
	pair            *replicaPair // of the answers, where they are watched
	triedEndpoints  []*upstream.Endpoint
	sentAttempts    int // arrivals at leafs
	unsentAttempts  int // tries that did not leave
	pendingAttempts int
	worstOutcome    upstream.Outcome // of the tries that ended
	response        *upstream.Response
	lastFailure     *upstream.Response
	failed          bool
	timedOut        bool
	newestSentAt    time.Time // of the newest try
	hedgeAt         time.Time
	retryAt         time.Time // when a leaf that was full is followed by another
	newestEndpoint  *upstream.Endpoint
}

type attemptResult struct {
	shard      int
	retryAfter time.Duration // with errNoTurn
	response   *upstream.Response
	err        error
	duration   time.Duration
}

// fanOut is one request on its way.
type fanOut struct {
	*Dispatcher
	route           *routing.CompiledRoute
	request         *upstream.Request
	latency         *latencyHistogram
	shards          []shard
	results         chan attemptResult
	hedgeDelay      time.Duration
	completeShards  int           // shards whose part is in
	openShards      int           // shards that may still answer
	retryAfter      time.Duration // when a service's rate allows more, if that was in the way
	onExecuted      func(at time.Time)
	maybeExecutedAt time.Time // when a leaf was asked that may have run it
	nextDue         time.Time // not after the next moment at which an open shard needs something done
}

var errRateLimited = errors.New("gather: the service's rate is spent")

func failureReply(status int, why string) *Reply { return &Reply{Status: status, Reason: why} }

func retryLaterReply(why string) *Reply {
	return &Reply{Status: http.StatusServiceUnavailable, Reason: why,
		RetryAfter: minRetryAfter + time.Duration(rand.Int64N(int64(2*minRetryAfter)))}
}

// retryLater says so not before a rate that was in the way allows more.
func (k *fanOut) retryLater(why string) *Reply {
	r := retryLaterReply(why)
	r.RetryAfter = max(r.RetryAfter, k.retryAfter)
	return r
}

// Dispatch carries a request to the leafs of its line and returns the answer. ran, if given, is
// called once if a leaf began to run it, or may have, with the moment at which that leaf
// was asked.
func (a *Dispatcher) Dispatch(l *routing.CompiledRoute, r *upstream.Request, start time.Time, ran func(at time.Time)) *Reply {
	services := l.FanoutServices
	gathered := len(services) > 0
	if !gathered {
		services = []string{l.PickService(rand.Float64())}
	}
	for _, s := range services {
		a.budget.Deposit(s, start)
	}
	least := 1
	if gathered {
		least = l.RequiredShards
	}
	up, shares := a.clusters.Availability(services)
	if gathered && up < least {
		return retryLaterReply("too few shards have a leaf")
	}
	if !admitRequest(shares, least) {
		return retryLaterReply("the leafs are full")
	}
	k := &fanOut{Dispatcher: a, route: l, request: r, latency: a.histogram(l.Name), shards: make([]shard, len(services)),
		results: make(chan attemptResult, len(services)*(l.AttemptLimit+maxUnsentAttempts))}
	k.onExecuted = ran
	k.hedgeDelay = k.latency.hedgeDelay(l.TargetLatency)
	k.openShards = len(services)
	r.NonIdempotent, r.FanOut = !l.Idempotent(), gathered
	for i, s := range services {
		k.shards[i].service = s
		if a.samplesLatency(l) {
			k.shards[i].pair = &replicaPair{}
		}
		k.startAttempt(i, start)
	}
	k.run(start, least, gathered)
	k.markPossiblyExecuted()
	if gathered {
		return k.mergedReply(least)
	}
	return k.singleReply()
}

// admitRequest decides whether a request is begun. Where leafs turn calls away, what
// is begun beyond their means takes slots and is lost all the same, so a share
// of the requests is told to come back before anything of them runs.
func admitRequest(shares []float64, least int) bool {
	slices.Sort(shares)
	share := shares[len(shares)-least]
	return share >= 1 || rand.Float64() < share
}

// mayHaveExecuted reports whether a leaf may have run the shard's request, as far as tries ended.
func (s *shard) mayHaveExecuted() bool { return s.worstOutcome > upstream.Rejected }

// reserve reserves a leaf for one more try. Every try comes by here: what may not be
// repeated gets a leaf only while no other has it or may have run it.
func (k *fanOut) reserve(s *shard) *upstream.Endpoint {
	if !k.request.Retryable(s.worstOutcome) || k.request.NonIdempotent && s.pendingAttempts > 0 {
		return nil
	}
	return k.clusters.Reserve(s.service, s.triedEndpoints, k.request.NonIdempotent)
}

// startAttempt sends the shard's request to one more leaf, if one takes it.
func (k *fanOut) startAttempt(i int, now time.Time) bool {
	t := k.reserve(&k.shards[i])
	if t == nil {
		k.failIfExhausted(&k.shards[i])
		return false
	}
	k.sendAttempt(i, t, now)
	return true
}

func (k *fanOut) sendAttempt(i int, t *upstream.Endpoint, now time.Time) {
	s := &k.shards[i]
	s.triedEndpoints = append(s.triedEndpoints, t)
	s.sentAttempts++
	s.pendingAttempts++
	s.newestSentAt, s.newestEndpoint = now, t
	s.hedgeAt = now.Add(k.hedgeDelay)
	k.scheduleBy(s.hedgeAt)
	pair := s.pair
	go func() {
		if k.AwaitRate != nil {
			if ok, back := k.AwaitRate(t.Info().Service, k.request.Deadline); !ok {
				k.clusters.Release(t)
				k.results <- attemptResult{shard: i, retryAfter: back, err: errRateLimited}
				return
			}
		}
		began := time.Now()
		busy := pair != nil && k.clusters.Contended(t)
		a, err := k.clusters.Call(t, k.request)
		k.results <- attemptResult{shard: i, response: a, err: err, duration: time.Since(began)}
		if pair != nil {
			k.recordSample(pair, t, busy, time.Since(began), a, err)
		}
	}()
}

// Changes of a shard's state: it is open, then its part is in, or it has failed.

func (k *fanOut) failIfExhausted(s *shard) {
	if s.pendingAttempts == 0 && s.response == nil && !s.failed {
		s.failed = true
		k.openShards--
	}
}

func (k *fanOut) completeShard(s *shard, a *upstream.Response) {
	if s.response != nil {
		return
	}
	s.response = a
	k.completeShards++
	if !s.failed {
		k.openShards--
	}
}

func (k *fanOut) scheduleBy(at time.Time) {
	if k.nextDue.IsZero() || at.Before(k.nextDue) {
		k.nextDue = at
	}
}

// rejectionBackoff is how long to wait after a leaf was full.
func rejectionBackoff(mean time.Duration) time.Duration {
	d := min(max(mean, minRejectionBackoff), maxRejectionBackoff)
	return d/2 + rand.N(d)
}

// retry sends to another leaf if the route and the budget allow it.
func (k *fanOut) retry(i int, keep float64, now time.Time) bool {
	s := &k.shards[i]
	if s.sentAttempts >= k.route.AttemptLimit || !k.request.Deadline.After(now) {
		return false
	}
	t := k.reserve(s)
	if t == nil {
		return false
	}
	if !k.budget.TryWithdraw(s.service, now, keep) {
		k.clusters.Release(t)
		return false
	}
	k.sendAttempt(i, t, now)
	return true
}

// run follows the tries until the answer is settled. What comes in concerns one
// shard; all of them are looked at only when one is due.
func (k *fanOut) run(start time.Time, least int, gathered bool) {
	cut := start.Add(k.route.TargetLatency - deliveryMargin)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var armed time.Time
	for {
		now := time.Now()
		if !k.nextDue.After(now) {
			k.handleDue(now)
		}
		if k.openShards == 0 || k.completeShards+k.openShards < least || !k.request.Deadline.After(now) {
			return
		}
		next := k.request.Deadline
		if !k.nextDue.IsZero() && k.nextDue.Before(next) {
			next = k.nextDue
		}
		if gathered && k.completeShards >= least && k.route.TargetLatency > 0 {
			if !cut.After(now) {
				if now.Sub(cut) < deliveryMargin || !start.Add(3*k.route.TargetLatency).After(now) {
					return // what is in earns more now than all of it later
				}
				cut = start.Add(3 * k.route.TargetLatency)
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
		case o := <-k.results:
			k.handleResult(o)
			for more := true; more; {
				select {
				case o := <-k.results:
					k.handleResult(o)
				default:
					more = false
				}
			}
		case <-timer.C:
			armed = time.Time{}
		}
	}
}

// handleDue does what is due, and finds out what is due next.
func (k *fanOut) handleDue(now time.Time) {
	k.nextDue = time.Time{}
	for i := range k.shards {
		s := &k.shards[i]
		if s.response != nil || s.failed {
			continue
		}
		if !s.retryAt.IsZero() && !s.retryAt.After(now) {
			s.retryAt = time.Time{}
			if !k.retry(i, 0, now) {
				k.failIfExhausted(s)
				continue
			}
		}
		if s.pendingAttempts == 0 {
			k.scheduleBy(s.retryAt)
			continue
		}
		if !s.hedgeAt.After(now) {
			k.handleOverdue(i, now)
		}
		k.scheduleBy(s.hedgeAt)
	}
}

// handleOverdue deals with a shard whose newest try takes longer than usual.
func (k *fanOut) handleOverdue(i int, now time.Time) {
	s := &k.shards[i]
	k.clusters.ReportOverdue(s.newestEndpoint, s.newestSentAt, k.hedgeDelay)
	s.hedgeAt = now.Add(k.hedgeDelay)
	// Where leafs are full a second one only makes all of them slower.
	if !k.clusters.Overloaded(s.service) {
		k.retry(i, hedgeBudgetReserve, now)
	}
}

// handleResult notes the outcome of a try.
func (k *fanOut) handleResult(o attemptResult) {
	s := &k.shards[o.shard]
	s.pendingAttempts--
	now := time.Now()
	how := upstream.OutcomeOf(o.response, o.err)
	if !errors.Is(o.err, errRateLimited) {
		s.worstOutcome = max(s.worstOutcome, how)
	}
	switch {
	case how == upstream.Executed && o.response.IsSuccess():
		k.markExecuted(now.Add(-o.duration))
		first := s.response == nil
		k.completeShard(s, o.response)
		k.latency.record(o.duration)
		if first && s.pair != nil && len(s.triedEndpoints) == 1 && rand.Float64() < k.ShadowShare && !k.clusters.Overloaded(s.service) {
			k.retry(o.shard, shadowBudgetReserve, now)
		}
		return
	case errors.Is(o.err, errRateLimited):
		s.sentAttempts--
		k.retryAfter = max(k.retryAfter, o.retryAfter)
	case how == upstream.NotSent:
		s.sentAttempts--
		if s.unsentAttempts++; s.response == nil && s.pendingAttempts == 0 && s.unsentAttempts <= maxUnsentAttempts && k.request.Deadline.After(now) && k.startAttempt(o.shard, now) {
			return
		}
	case how == upstream.Rejected:
		s.lastFailure = o.response
		if s.response == nil && s.pendingAttempts == 0 {
			if o.response.Status == http.StatusMisdirectedRequest {
				if k.retry(o.shard, 0, now) {
					return
				}
			} else if s.sentAttempts < k.route.AttemptLimit {
				// A full leaf has its next slot free in a moment, and so
				// have its fellows.
				s.retryAt = now.Add(rejectionBackoff(k.clusters.MeanLatency(s.service)))
				k.scheduleBy(s.retryAt)
				return
			}
		}
	default:
		s.lastFailure = o.response
		if how == upstream.Executed {
			k.markExecuted(now.Add(-o.duration))
		} else if k.maybeExecutedAt.IsZero() {
			k.maybeExecutedAt = now.Add(-o.duration)
		}
		s.timedOut = s.timedOut || errors.Is(o.err, upstream.ErrTimeout)
		if s.response == nil && s.pendingAttempts == 0 && k.retry(o.shard, 0, now) {
			return
		}
	}
	k.failIfExhausted(s)
}

// markExecuted notes, once, that a leaf has run the request.
func (k *fanOut) markExecuted(at time.Time) {
	if k.onExecuted != nil {
		k.onExecuted(at)
		k.onExecuted = nil
	}
}

// markPossiblyExecuted counts a request of which no leaf said that it has run or not as one that has:
// a leaf that was asked and breaks off, or is slow, was mostly at work.
func (k *fanOut) markPossiblyExecuted() {
	for i := range k.shards {
		if s := &k.shards[i]; s.pendingAttempts > 0 && k.maybeExecutedAt.IsZero() {
			k.maybeExecutedAt = s.newestSentAt
		}
	}
	if !k.maybeExecutedAt.IsZero() {
		k.markExecuted(k.maybeExecutedAt)
	}
}

// singleReply makes the reply of a line with one leaf.
func (k *fanOut) singleReply() *Reply {
	s := &k.shards[0]
	switch {
	case s.response != nil:
		return &Reply{Status: s.response.Status, Header: s.response.Header, Body: s.response.Body}
	case s.pendingAttempts > 0 || s.timedOut:
		return failureReply(http.StatusGatewayTimeout, "the leaf did not answer in time")
	case s.mayHaveExecuted():
		if a := s.lastFailure; a != nil && a.Status/100 != 2 && !a.NotExecuted() && !impliesNotExecuted(a.Status) {
			return &Reply{Status: a.Status, Header: a.Header, Body: a.Body} // the leaf's own failure
		}
		return failureReply(http.StatusBadGateway, "the leaf's answer was lost")
	case s.lastFailure != nil && s.lastFailure.Status == http.StatusBadRequest:
		return &Reply{Status: http.StatusBadRequest, Header: s.lastFailure.Header, Body: s.lastFailure.Body}
	}
	return k.retryLater("no leaf takes the request now")
}

// impliesNotExecuted reports whether clients take a status as word that the request has
// not run.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mergedReply makes the reply of a gathered line.
func (k *fanOut) mergedReply(least int) *Reply {
	h := http.Header{}
	var bodies [][]byte
	ran, pending := false, false
	var stamps []byte
	for i := range k.shards {
		s := &k.shards[i]
		ran = ran || s.mayHaveExecuted() || s.pendingAttempts > 0
		pending = pending || (s.response == nil && (s.pendingAttempts > 0 || s.timedOut))
		if s.response == nil {
			continue
		}
		ran = true
		if len(stamps) > 0 {
			stamps = append(stamps, ", "...)
		}
		stamps = append(stamps, s.response.Header.Get(upstream.HeaderServerStamp)...)
		bodies = append(bodies, s.response.Body)
	}
	switch {
	case len(bodies) >= least:
	case pending && !k.request.Deadline.After(time.Now()):
		return failureReply(http.StatusGatewayTimeout, "too few shards answered in time")
	case ran:
		return failureReply(http.StatusBadGateway, "too few shards answered")
	default:
		return k.retryLater("too few shards take the request now")
	}
	h.Set(HeaderPartStamps, string(stamps))
	h.Set(HeaderMissingParts, strconv.Itoa(len(k.shards)-len(bodies)))
	h.Set("Content-Type", "application/octet-stream")
	return &Reply{Status: http.StatusOK, Header: h, Body: Merge(bodies, int(k.route.ResultCount))}
}
