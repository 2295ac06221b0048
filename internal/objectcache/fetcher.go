package objectcache

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/responsecache"
)

// maxFetchAttempts bounds the fetches that one request waits for: the object of each may be
// purged before it is served.
const maxFetchAttempts = 3

// PurgeLog holds the purges that a node has received.
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
	// OriginOnly says to read the origin and to ask no other server.
	OriginOnly bool
	// Waiters is how many requests wait for this one, itself included.
	Waiters int

	// allWaiters returns how many requests wait for the fetch that this request began.
	allWaiters func() int
}

// key returns the key of the object.
func (r *Request) key() string { return responsecache.Key(r.Host, r.Target) }

// originOnlySuffix distinguishes the flight keys of requests with OriginOnly.
const originOnlySuffix = " final"

// flightKey identifies the fetches that a request may join. A request with OriginOnly joins
// no other fetches: two servers that each rank the other one first would wait for each other.
func (r *Request) flightKey() string {
	if r.OriginOnly {
		return r.key() + originOnlySuffix
	}
	return r.key()
}

// FetchFunc fetches an object. cached is the object that is held, which may be out of date,
// or nil; purgeIndex is the log index of the purges known before.
type FetchFunc func(
	r Request, cached *responsecache.Response, purgeIndex uint64,
) (*responsecache.Response, *Failure)

// pendingFetch is one fetch of an object. Its result is set when done is closed.
type pendingFetch struct {
	key        string       // flightKey of its requests
	purgeIndex uint64       // known when it began
	waiters    atomic.Int64 // requests that wait for it
	done       chan struct{}
	object     *responsecache.Response
	failure    *Failure
}

// Fetcher serves objects from a cache while they are fresh, and otherwise by one fetch for all
// concurrent requests for the same object (singleflight). It is safe for concurrent use.
type Fetcher struct {
	cache       *responsecache.Cache
	purges      PurgeLog
	fetchObject FetchFunc
	options     FetcherOptions

	mu       sync.Mutex               // guards the field below
	inFlight map[string]*pendingFetch // by flightKey
}

// FetcherOptions say how long a Fetcher serves an object and what it does with new ones.
type FetcherOptions struct {
	// StaleSlack is how old beyond the TTL an object may be while a fetch is in flight;
	// half of it is used.
	StaleSlack time.Duration
	// RefreshFraction is the part of the TTL after which a requested object is refreshed in
	// the background.
	RefreshFraction float64
	// OnCached, if set, is called with each object that was cached.
	OnCached func(*responsecache.Response)
}

// NewFetcher returns a fetcher over a cache.
func NewFetcher(cache *responsecache.Cache, purges PurgeLog, fetchObject FetchFunc, o FetcherOptions) *Fetcher {
	if o.OnCached == nil {
		o.OnCached = func(*responsecache.Response) {}
	}
	return &Fetcher{
		cache:       cache,
		purges:      purges,
		fetchObject: fetchObject,
		options:     o,
		inFlight:    map[string]*pendingFetch{},
	}
}

// ApplyPurges drops the objects that purges match. Later requests don't join the fetches that
// are in flight now.
func (f *Fetcher) ApplyPurges(u *distribution.PurgeUpdate) {
	f.cache.ApplyPurges(u)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight = map[string]*pendingFetch{}
}

// Get returns an object that is fresh and not purged at the time of the call, or a failure.
func (f *Fetcher) Get(r Request) (*responsecache.Response, *Failure) {
	key := r.key()
	for range maxFetchAttempts {
		now := time.Now()
		purgeIndex := f.purges.PurgeIndex()
		cached := f.cache.Get(key)
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
		// The fetch may have begun before a purge that was known when this request
		// arrived. Its object is used only if no such purge matches it.
		if current.purgeIndex >= purgeIndex || !f.purged(current.object) {
			return current.object, nil
		}
	}
	return nil, newUnavailable(reasonBeingPurged, purgedRetryDelay)
}

// wait waits for the result of a fetch, and reports whether it is set before the deadline.
func (p *pendingFetch) wait(r Request) bool {
	p.waiters.Add(int64(max(1, r.Waiters)))
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return false
	}
}

// startOrJoin begins a fetch, or joins the one in flight.
func (f *Fetcher) startOrJoin(r Request, cached *responsecache.Response, purgeIndex uint64) *pendingFetch {
	key := r.flightKey()
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.inFlight[key]; current != nil {
		return current
	}
	started := &pendingFetch{key: key, purgeIndex: purgeIndex, done: make(chan struct{})}
	r.allWaiters = func() int { return int(started.waiters.Load()) }
	f.inFlight[key] = started
	go f.run(started, r, cached)
	return started
}

// run carries out a fetch and caches its object. Closing done wakes the waiting requests.
func (f *Fetcher) run(current *pendingFetch, r Request, cached *responsecache.Response) {
	defer func() {
		if p := recover(); p != nil {
			current.object = nil
			current.failure = newFailure(http.StatusBadGateway, reasonPanic)
		}
		f.mu.Lock()
		if f.inFlight[current.key] == current {
			delete(f.inFlight, current.key)
		}
		f.mu.Unlock()
		close(current.done)
	}()
	current.object, current.failure = f.fetchObject(r, cached, current.purgeIndex)
	if current.object != nil && r.TTL > 0 && current.object.Age(time.Now()) < r.TTL {
		f.keep(current.object)
	}
}

// keep caches an object unless a purge since it was read matches it. It checks before, so
// that no purged object is in the cache, and after, for a purge that was applied in between.
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
