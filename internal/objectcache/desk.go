// Package announce is the content tier: announcers keep the objects of
// cacheable routes for all switches, and every node's desk joins concurrent
// fetches of one object.
package objectcache

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/responsecache"
)

// PurgeLog tells what a node knows of purges.
type PurgeLog interface {
	PurgeIndex() uint64
	PurgedSince(pos uint64, hit func(distribution.Purge) bool) bool
}

// Request is a request for an object.
type Request struct {
	Host     string
	Target   string
	TTL      time.Duration
	Deadline time.Time
	// OriginOnly asks for a read of the origin rather than of another announcer.
	OriginOnly bool
	// Waiters is how many requests stand behind this one, itself included.
	Waiters int

	demand func() int // of the fetch that this want began
}

// Failure says why there is no object. Status, Header and Body are the leaf's
// own failure, where there is one.
type Failure struct {
	Status       int
	Header       http.Header
	Body         []byte
	Reason       string
	RetryAfter   time.Duration // with 503: nothing has run
	disconnected bool          // another announcer may serve
}

func newFailure(status int, why string) *Failure { return &Failure{Status: status, Reason: why} }

// FetchFunc gets an object, given the copy that may be out of date or nil. pos is
// the purge position known before.
type FetchFunc func(w Request, old *responsecache.Response, pos uint64) (*responsecache.Response, *Failure)

type fetch struct {
	purgeIndex uint64
	waiters    atomic.Int64 // requests that wait for it
	done       chan struct{}
	object     *responsecache.Response
	failure    *Failure
}

// Fetcher hands out objects: from its recorder while they are young enough, else
// by one fetch for all who want the same object at the time.
type Fetcher struct {
	cache           *responsecache.Cache
	purges          PurgeLog
	fetch           FetchFunc
	staleSlack      time.Duration // past its time, while a fetch is under way
	refreshFraction float64       // the share of its time after which a copy is renewed
	onCached        func(*responsecache.Response)

	mu       sync.Mutex
	inFlight map[string]*fetch
}

// NewFetcher makes a desk over a recorder.
func NewFetcher(rec *responsecache.Cache, known PurgeLog, slack time.Duration, early float64, fill FetchFunc) *Fetcher {
	return &Fetcher{cache: rec, purges: known, staleSlack: slack, refreshFraction: early, fetch: fill,
		onCached: func(*responsecache.Response) {}, inFlight: map[string]*fetch{}}
}

// ApplyPurges drops what purges name, and parts the fetches under way from those
// who come later.
func (d *Fetcher) ApplyPurges(c *distribution.PurgeUpdate) {
	d.cache.ApplyPurges(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight = map[string]*fetch{}
}

const maxFetchAttempts = 3

// Get returns an object that is good for a request made now.
func (d *Fetcher) Get(w Request) (*responsecache.Response, *Failure) {
	key := responsecache.Key(w.Host, w.Target)
	way := key
	if w.OriginOnly {
		// Two announcers that take each other for an object's home must not
		// wait for one another.
		way += " final"
	}
	for range maxFetchAttempts {
		now := time.Now()
		pos := d.purges.PurgeIndex()
		old := d.cache.Get(key)
		if old != nil && w.TTL > 0 {
			switch age := old.Age(now); {
			case age < time.Duration(d.refreshFraction*float64(w.TTL)):
				return old, nil
			case age < w.TTL+d.staleSlack/2:
				d.startOrJoin(way, w, old, pos)
				return old, nil
			}
		}
		f := d.startOrJoin(way, w, old, pos)
		f.waiters.Add(int64(max(1, w.Waiters)))
		t := time.NewTimer(time.Until(w.Deadline))
		select {
		case <-f.done:
			t.Stop()
		case <-t.C:
			return nil, newFailure(http.StatusGatewayTimeout, "the object did not come in time")
		}
		if f.object == nil {
			return nil, f.failure
		}
		// A purge that was known when this request came, and not yet when the
		// fetch began, rules its result out.
		if f.purgeIndex >= pos || !d.purges.PurgedSince(f.object.PurgeIndex, f.object.MatchesPurge) {
			return f.object, nil
		}
	}
	return nil, &Failure{Status: http.StatusServiceUnavailable, Reason: "the object is being purged", RetryAfter: 100 * time.Millisecond}
}

// startOrJoin begins a fetch, or joins the one under way.
func (d *Fetcher) startOrJoin(way string, w Request, old *responsecache.Response, pos uint64) *fetch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.inFlight[way]; f != nil {
		return f
	}
	f := &fetch{purgeIndex: pos, done: make(chan struct{})}
	w.demand = func() int { return int(f.waiters.Load()) }
	d.inFlight[way] = f
	go d.run(f, way, w, old)
	return f
}

func (d *Fetcher) run(f *fetch, way string, w Request, old *responsecache.Response) {
	defer func() {
		if p := recover(); p != nil {
			f.object, f.failure = nil, newFailure(http.StatusBadGateway, "the fetch failed inside")
		}
		d.mu.Lock()
		if d.inFlight[way] == f {
			delete(d.inFlight, way)
		}
		d.mu.Unlock()
		close(f.done)
	}()
	f.object, f.failure = d.fetch(w, old, f.purgeIndex)
	if f.object == nil || w.TTL <= 0 || f.object.Age(time.Now()) >= w.TTL {
		return
	}
	// Kept only if no purge since its read names it: looked at before, so that
	// an old purge never meets it, and after, for one that came meanwhile.
	if d.purges.PurgedSince(f.object.PurgeIndex, f.object.MatchesPurge) {
		return
	}
	d.cache.Put(f.object)
	if d.purges.PurgedSince(f.object.PurgeIndex, f.object.MatchesPurge) {
		d.cache.Remove(f.object)
		return
	}
	d.onCached(f.object)
}
