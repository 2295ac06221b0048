package objectcache

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/heartbeat"
	"comethold/internal/responsecache"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// objectCall asks an announcer for an object.
type objectCall struct {
	Host          string `cbor:"1,keyasint"`
	Target        string `cbor:"2,keyasint"`
	ETag          string `cbor:"3,keyasint,omitempty"` // the tag of the copy that the asker holds
	PurgeIndex    uint64 `cbor:"4,keyasint,omitempty"` // purges that the answer must know of
	ConfigVersion uint64 `cbor:"5,keyasint,omitempty"` // configuration that the answer must know of
	WaitMs        int64  `cbor:"6,keyasint"`
	OriginOnly    bool   `cbor:"7,keyasint,omitempty"` // read the origin rather than ask on
	Waiters       int    `cbor:"8,keyasint,omitempty"` // requests that wait for it
}

// objectReply brings an object, or says why there is none.
type objectReply struct {
	NotModified bool        `cbor:"1,keyasint,omitempty"` // the asker's copy is current
	Service     string      `cbor:"2,keyasint,omitempty"`
	ETag        string      `cbor:"3,keyasint,omitempty"`
	Labels      []string    `cbor:"4,keyasint,omitempty"`
	Header      http.Header `cbor:"5,keyasint,omitempty"`
	Body        []byte      `cbor:"6,keyasint,omitempty"`
	AgeUs       int64       `cbor:"7,keyasint,omitempty"`
	PurgeIndex  uint64      `cbor:"8,keyasint,omitempty"`
	Status      int         `cbor:"9,keyasint,omitempty"` // of a refusal
	Reason      string      `cbor:"10,keyasint,omitempty"`
	RetryMs     int64       `cbor:"11,keyasint,omitempty"`
	// Disconnected: this announcer is out of touch; another one may serve.
	Disconnected bool `cbor:"12,keyasint,omitempty"`
}

var errDisconnected = errors.New("announce: the announcer is out of touch")

// Timing of fetches. Ours; see docs/design.md.
const (
	dialTimeout        = 400 * time.Millisecond
	silenceTimeout     = 900 * time.Millisecond
	maxIdleConnections = 16
	failureBackoff     = 1500 * time.Millisecond
	maxWait            = 4 * time.Second
	deadlineMargin     = 20 * time.Millisecond
	maxCachesTried     = 3
)

// cacheClient asks announcers. Each object has its announcers in an order that all
// nodes agree on; the first that is well is asked.
type cacheClient struct {
	control   *controlclient.Client
	rpcClient *rpc.Client

	mu          sync.Mutex
	failedUntil map[string]time.Time
}

func newCacheClient(o *controlclient.Client) *cacheClient {
	return &cacheClient{control: o, rpcClient: rpc.NewClientWithLimits(o.Network, dialTimeout, silenceTimeout, maxIdleConnections), failedUntil: map[string]time.Time{}}
}

// rankedCaches lists the announcers for a key by rendezvous hashing, those of the
// region in front if near, and those that just failed at the end.
func (c *cacheClient) rankedCaches(key string, near bool) []distribution.Node {
	stores := append([]distribution.Node(nil), c.control.ObjectCaches()...)
	now := time.Now()
	rank := make(map[string]int, len(stores))
	c.mu.Lock()
	for _, n := range stores {
		if now.Before(c.failedUntil[n.Name]) {
			rank[n.Name] = 2
		} else if near && c.control.Settings.RegionOf(n.Zone) != c.control.Settings.RegionName {
			rank[n.Name] = 1
		}
	}
	c.mu.Unlock()
	sort.Slice(stores, func(i, j int) bool {
		a, b := rank[stores[i].Name], rank[stores[j].Name]
		if a != b {
			return a < b
		}
		return heartbeat.Hash(stores[i].Name, key) > heartbeat.Hash(stores[j].Name, key)
	})
	return stores
}

func (c *cacheClient) markFailed(n distribution.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedUntil[n.Name] = time.Now().Add(failureBackoff)
}

// fetch gets an object from one announcer.
func (c *cacheClient) fetch(n distribution.Node, w Request, old *responsecache.Response, pos uint64, final bool) (rec *responsecache.Response, no *Failure, err error) {
	start := time.Now()
	wait := min(w.Deadline.Sub(start)-deadlineMargin, maxWait)
	if wait <= 0 {
		return nil, newFailure(http.StatusGatewayTimeout, "no time is left"), nil
	}
	o := objectCall{Host: w.Host, Target: w.Target, PurgeIndex: pos, WaitMs: wait.Milliseconds(), OriginOnly: final}
	if w.demand != nil {
		o.Waiters = w.demand()
	}
	if p := c.control.RouteTable(); p != nil {
		o.ConfigVersion = p.Version
	}
	if old != nil {
		o.ETag = old.ETag
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+deadlineMargin)
	defer cancel()
	var r objectReply
	addr := net.JoinHostPort(n.Addr, strconv.Itoa(c.control.Settings.PortOf(settings.ObjectCache)))
	if err := c.rpcClient.Call(ctx, addr, "/object", &o, &r); err != nil {
		return nil, nil, err
	}
	if r.Disconnected {
		return nil, nil, errDisconnected
	}
	if r.Status != 0 {
		return nil, &Failure{Status: r.Status, Reason: r.Reason, Header: r.Header, Body: r.Body, RetryAfter: time.Duration(r.RetryMs) * time.Millisecond}, nil
	}
	// All the time that the call took counts as age: the copy may have been
	// on its way that long.
	now := time.Now()
	read := start.Add(-time.Duration(r.AgeUs) * time.Microsecond)
	if read.After(now) {
		read = now
	}
	if r.NotModified {
		if old == nil {
			return nil, newFailure(http.StatusBadGateway, "an announcer vouches for nothing"), nil
		}
		again := *old
		again.ValidatedAt, again.PurgeIndex = read, r.PurgeIndex
		return &again, nil, nil
	}
	return &responsecache.Response{Host: w.Host, Target: w.Target, Service: r.Service, ETag: r.ETag, Labels: r.Labels,
		Header: r.Header, Body: r.Body, ValidatedAt: read, PurgeIndex: r.PurgeIndex}, nil, nil
}

// Client is the switch's side of the content tier: a small hot cache in front
// of the announcers.
type Client struct {
	peers       *cacheClient
	fetcher     *Fetcher
	permitRound atomic.Int64
}

// NewClient makes the switch's side with a cache of some bytes.
func NewClient(o *controlclient.Client, bytes int) *Client {
	s := &Client{peers: newCacheClient(o)}
	s.fetcher = NewFetcher(responsecache.New(bytes), o, o.Settings.Bounds.StaleSlack(), 1, s.fetch)
	o.OnPurges(s.fetcher.ApplyPurges)
	return s
}

// Get returns an object for a client's request.
func (s *Client) Get(w Request) (*responsecache.Response, *Failure) { return s.fetcher.Get(w) }

func (s *Client) fetch(w Request, old *responsecache.Response, pos uint64) (*responsecache.Response, *Failure) {
	key := responsecache.Key(w.Host, w.Target)
	for i, n := range s.peers.rankedCaches(key, true) {
		if i == maxCachesTried || time.Until(w.Deadline) < deadlineMargin {
			break
		}
		rec, no, err := s.peers.fetch(n, w, old, pos, false)
		if err == nil {
			return rec, no
		}
		s.peers.markFailed(n)
	}
	return nil, &Failure{Status: http.StatusServiceUnavailable, Reason: "no announcer answers", RetryAfter: 300 * time.Millisecond}
}
