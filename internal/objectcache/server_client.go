package objectcache

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/heartbeat"
	"comethold/internal/responsecache"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// Timing and bounds of calls to servers; see docs/design.md.
const (
	dialTimeout        = 400 * time.Millisecond
	ackTimeout         = 900 * time.Millisecond
	maxIdleConnections = 16
	// failureBackoff is how long a server that failed is ranked last.
	failureBackoff = 1500 * time.Millisecond
	// maxWait is the maximum wait of one call for an object.
	maxWait = 4 * time.Second
	// deadlineMargin is the time before a request's deadline that is reserved for its response.
	deadlineMargin = 20 * time.Millisecond
	// maxServersTried is the maximum number of servers that are asked for one object or permit.
	maxServersTried = 3
)

// errDisconnected is returned if a server has lost contact with the control plane. The caller may
// ask another server.
var errDisconnected = errors.New("objectcache: the server has lost contact with the control plane")

// serverClient sends requests to the servers and tracks which of them failed recently.
type serverClient struct {
	control   *controlclient.Client
	rpcClient *rpc.Client

	mu          sync.Mutex // guards the field below
	failedUntil map[string]time.Time
}

func newServerClient(control *controlclient.Client) *serverClient {
	return &serverClient{
		control:     control,
		rpcClient:   rpc.NewClientWithLimits(control.Network, dialTimeout, ackTimeout, maxIdleConnections),
		failedUntil: map[string]time.Time{},
	}
}

// serverRank is the rank of a server for a key. Servers with a lower rank come first.
type serverRank int

const (
	rankHealthy serverRank = iota
	rankOtherRegion
	rankFailed
)

// serverPreference selects which of the healthy servers come first.
type serverPreference bool

const (
	sameOrderEverywhere serverPreference = false // all nodes use the same order for a key
	ownRegionFirst      serverPreference = true  // servers of this node's region come first
)

// rankedServers returns the servers for a key, in the order of rendezvous hashing. With
// ownRegionFirst, servers of other regions come after those of this node's region. Servers that
// failed within the last failureBackoff come last.
func (c *serverClient) rankedServers(key string, preference serverPreference) []distribution.Node {
	servers := slices.Clone(c.control.ObjectCaches())
	ranks := c.ranks(servers, preference)
	sort.Slice(servers, func(i, j int) bool {
		a, b := servers[i].Name, servers[j].Name
		if ranks[a] != ranks[b] {
			return ranks[a] < ranks[b]
		}
		return heartbeat.Hash(a, key) > heartbeat.Hash(b, key)
	})
	return servers
}

// ranks returns the rank of each server by name.
func (c *serverClient) ranks(servers []distribution.Node, preference serverPreference) map[string]serverRank {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	set := c.control.Settings
	ranks := make(map[string]serverRank, len(servers))
	for _, n := range servers {
		switch {
		case now.Before(c.failedUntil[n.Name]):
			ranks[n.Name] = rankFailed
		case preference == ownRegionFirst && set.RegionOf(n.Zone) != set.RegionName:
			ranks[n.Name] = rankOtherRegion
		}
	}
	return ranks
}

// markFailed ranks a server last for failureBackoff.
func (c *serverClient) markFailed(n distribution.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedUntil[n.Name] = time.Now().Add(failureBackoff)
}

// call sends a request to the object cache program of a node, on the port from the settings.
func (c *serverClient) call(ctx context.Context, n distribution.Node, path string, in, out any) error {
	port := strconv.Itoa(c.control.Settings.PortOf(settings.ObjectCache))
	return c.rpcClient.Call(ctx, net.JoinHostPort(n.Addr, port), path, in, out)
}

// serverFetch is a fetch of an object from a server.
type serverFetch struct {
	request    Request
	cached     *responsecache.Response // held by the caller, or nil
	purgeIndex uint64                  // the server must have applied purges up to it
	originOnly bool                    // the server reads the origin and asks no other server
}

// fetch fetches an object from one server. A Failure is the result of the request. After an error
// the caller may ask another server.
func (c *serverClient) fetch(n distribution.Node, f serverFetch) (*responsecache.Response, *Failure, error) {
	start := time.Now()
	wait := min(f.request.Deadline.Sub(start)-deadlineMargin, maxWait)
	if wait <= 0 {
		return nil, newFailure(http.StatusGatewayTimeout, reasonNoTime), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+deadlineMargin)
	defer cancel()
	var reply objectReply
	if err := c.call(ctx, n, objectPath, c.objectCall(f, wait), &reply); err != nil {
		return nil, nil, err
	}
	if reply.Disconnected {
		return nil, nil, errDisconnected
	}
	if reply.Status != 0 {
		return nil, failureFromReply(&reply), nil
	}
	return objectFromReply(&reply, f, start)
}

// objectCall returns the call for an object. wait is how long this node waits for the reply.
func (c *serverClient) objectCall(f serverFetch, wait time.Duration) *objectCall {
	call := &objectCall{
		Host:       f.request.Host,
		Target:     f.request.Target,
		PurgeIndex: f.purgeIndex,
		WaitMs:     wait.Milliseconds(),
		OriginOnly: f.originOnly,
	}
	if f.request.allWaiters != nil {
		call.Waiters = f.request.allWaiters()
	}
	if table := c.control.RouteTable(); table != nil {
		call.ConfigVersion = table.Version
	}
	if f.cached != nil {
		call.ETag = f.cached.ETag
	}
	return call
}

// objectFromReply returns the object of a reply to a call that was sent at start. The whole duration
// of the call is added to the object's age, because the reply may have been in transit for that long.
func objectFromReply(reply *objectReply, f serverFetch, start time.Time) (*responsecache.Response, *Failure, error) {
	now := time.Now()
	validatedAt := start.Add(-time.Duration(reply.AgeUs) * time.Microsecond)
	if validatedAt.After(now) {
		validatedAt = now
	}
	if !reply.NotModified {
		return &responsecache.Response{
			Host:        f.request.Host,
			Target:      f.request.Target,
			Service:     reply.Service,
			ETag:        reply.ETag,
			Labels:      reply.Labels,
			Header:      reply.Header,
			Body:        reply.Body,
			ValidatedAt: validatedAt,
			PurgeIndex:  reply.PurgeIndex,
		}, nil, nil
	}
	if f.cached == nil {
		return nil, newFailure(http.StatusBadGateway, reasonUnexpectedNotModified), nil
	}
	return revalidated(f.cached, validatedAt, reply.PurgeIndex), nil, nil
}

// revalidated returns a copy of an object that was confirmed as current at the given time, when the
// purges up to purgeIndex were known.
func revalidated(object *responsecache.Response, at time.Time, purgeIndex uint64) *responsecache.Response {
	current := *object
	current.ValidatedAt = at
	current.PurgeIndex = purgeIndex
	return &current
}
