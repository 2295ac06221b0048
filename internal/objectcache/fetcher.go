package objectcache

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/responsecache"
)

// maxFetchAttempts bounds the fetches that one request waits for: each may bring an object
// that was purged meanwhile.
const maxFetchAttempts = 3

// PurgeLog is what a node knows of purges.
type PurgeLog interface {
	// PurgeIndex returns the log index of the newest purge known.
	PurgeIndex() uint64
	// PurgedSince reports whether a purge after the log index matches, or whether that
	// is no longer known.
	PurgedSince(index uint64, matches func(distribution.Purge) bool) bool
}

// Request asks for an object.
type Request struct {
	Host     string
	Target   string        // path and query
	TTL      time.Duration // how old the object may be
	Deadline time.Time
	// OriginOnly has the origin read rather than another server asked.
	OriginOnly bool
	// Waiters is how many requests wait for this one, itself included.
	Waiters int

	// allWaiters returns how many requests wait for the fetch that this request began.
	allWaiters func() int
}

// key returns the key of the object.
func (r *Request) key() string { return responsecache.Key(r.Host, r.Target) }

// flightKey identifies the fetches that a request may join. Two servers that take each other
// for the first of an object's servers must not wait for one another.
func (r *Request) flightKey() string {
	if r.OriginOnly {
		return r.key() + " final"
	}
	return r.key()
}

// FetchFunc fetches an object. cached is the object that is held, which may be out of date,
// or nil; purgeIndex is the log index of the purges known before.
type FetchFunc func(
	r Request, cached *responsecache.Response, purgeIndex uint64,
) (*responsecache.Response, *Failure)

// fetch is one fetch of an object. Its result is set when done is closed.
type fetch struct {
	purgeIndex uint64       // known when it began
	waiters    atomic.Int64 // requests that wait for it
	done       chan struct{}
	object     *responsecache.Response
	failure    *Failure
}

// Fetcher serves objects out of a cache while they are young enough, and otherwise by one
// fetch for all requests that want the same object at the time (singleflight). It is safe for
// concurrent use.
type Fetcher struct {
	cache   *responsecache.Cache
	purges  PurgeLog
	fetch   FetchFunc
	options FetcherOptions

	mu       sync.Mutex        // guards the field below
	inFlight map[string]*fetch // by flightKey
}

// FetcherOptions say how long a Fetcher serves an object and what it does with new ones.
type FetcherOptions struct {
	// StaleSlack is how old beyond the TTL an object may be while a fetch is in flight;
	// half of it is used.
	StaleSlack time.Duration
	// RefreshFraction is the part of the TTL after which an object that is asked for is
	// refreshed in the background.
	RefreshFraction float64
	// OnCached, if set, is called with each object that was cached.
	OnCached func(*responsecache.Response)
}

// NewFetcher returns a fetcher over a cache.
func NewFetcher(cache *responsecache.Cache, purges PurgeLog, fetchObject FetchFunc, o FetcherOptions) *Fetcher {
	if o.OnCached == nil {
		o.OnCached = func(*responsecache.Response) {}
	}
	return &Fetcher{cache: cache, purges: purges, fetch: fetchObject, options: o, inFlight: map[string]*fetch{}}
}

// ApplyPurges drops the objects that purges match. Later requests join none of the fetches
// that are in flight now.
func (f *Fetcher) ApplyPurges(u *distribution.PurgeUpdate) {
	f.cache.ApplyPurges(u)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight = map[string]*fetch{}
}

// Get returns an object that is good for a request made now.
func (f *Fetcher) Get(r Request) (*responsecache.Response, *Failure) {
	for range maxFetchAttempts {
		now := time.Now()
		purgeIndex := f.purges.PurgeIndex()
		cached := f.cache.Get(r.key())
		if cached != nil && r.TTL > 0 {
			age := cached.Age(now)
			if age < time.Duration(f.options.RefreshFraction*float64(r.TTL)) {
				return cached, nil
			}
			if age < r.TTL+f.options.StaleSlack/2 {
				f.startOrJoin(r, cached, purgeIndex)
				return cached, nil
			}
		}
		current := f.startOrJoin(r, cached, purgeIndex)
		if !current.wait(r) {
			return nil, newFailure(http.StatusGatewayTimeout, reasonTimeout)
		}
		if current.object == nil {
			return nil, current.failure
		}
		// A purge that was known when this request came, and not yet when the fetch
		// began, rules its result out.
		if current.purgeIndex >= purgeIndex || !f.purged(current.object) {
			return current.object, nil
		}
	}
	return nil, newUnavailable(reasonBeingPurged, purgedRetryDelay)
}

// wait waits for the result of a fetch, and reports whether it came before the deadline.
func (c *fetch) wait(r Request) bool {
	c.waiters.Add(int64(max(1, r.Waiters)))
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case <-c.done:
		return true
	case <-timer.C:
		return false
	}
}

// startOrJoin begins a fetch, or joins the one in flight.
func (f *Fetcher) startOrJoin(r Request, cached *responsecache.Response, purgeIndex uint64) *fetch {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.inFlight[r.flightKey()]; current != nil {
		return current
	}
	started := &fetch{purgeIndex: purgeIndex, done: make(chan struct{})}
	r.allWaiters = func() int { return int(started.waiters.Load()) }
	f.inFlight[r.flightKey()] = started
	go f.run(started, r, cached)
	return started
}

// run carries out a fetch and caches its object. Closing done wakes those who wait for it.
func (f *Fetcher) run(current *fetch, r Request, cached *responsecache.Response) {
	defer func() {
		if p := recover(); p != nil {
			current.object = nil
			current.failure = newFailure(http.StatusBadGateway, reasonPanic)
		}
		f.mu.Lock()
		if f.inFlight[r.flightKey()] == current {
			delete(f.inFlight, r.flightKey())
		}
		f.mu.Unlock()
		close(current.done)
	}()
	current.object, current.failure = f.fetch(r, cached, current.purgeIndex)
	if current.object != nil && r.TTL > 0 && current.object.Age(time.Now()) < r.TTL {
		f.keep(current.object)
	}
}

// keep caches an object unless a purge since it was read matches it. That is checked before,
// so that an old purge never meets it in the cache, and after, for one that came meanwhile.
func (f *Fetcher) keep(object *responsecache.Response) {
	if f.purged(object) {
		return
	}
	f.cache.Put(object)
	if f.purged(object) {
		f.cache.Remove(object)
		return
	}
	f.options.OnCached(object)
}

// purged reports whether a purge since the object was read matches it.
func (f *Fetcher) purged(object *responsecache.Response) bool {
	return f.purges.PurgedSince(object.PurgeIndex, object.MatchesPurge)
}
