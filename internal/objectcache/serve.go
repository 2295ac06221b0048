package objectcache

import (
	"net/http"
	"strings"
	"time"

	"comethold/internal/responsecache"
	"comethold/internal/routing"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

const (
	// maxCatchUpWait is the maximum time that a call waits until this node has the caller's
	// configuration and purges. A call also waits at most half of the time that the caller waits.
	maxCatchUpWait      = 400 * time.Millisecond
	catchUpPollInterval = 5 * time.Millisecond
	// switchSourceAfter is how long a call waits for the caller's configuration and purges before
	// this node polls another control node.
	switchSourceAfter = 100 * time.Millisecond
	// disconnectedAfter is the time without contact with the control plane after which a node
	// reads no origins and grants no permits. It is longer than ratelimit.LeaseDuration, so the
	// node's share of the rates has expired by then.
	disconnectedAfter = 3500 * time.Millisecond
)

func (s *Server) handleObject(c echo.Context) error {
	var call objectCall
	if err := rpc.DecodeRequest(c.Request().Body, &call); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	encoded, err := rpc.Marshal(s.serveObject(&call))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeUncompressedBody(encoded))
}

// serveObject returns the reply to a call for an object.
func (s *Server) serveObject(call *objectCall) *objectReply {
	start := time.Now()
	wait := time.Duration(call.WaitMs) * time.Millisecond
	table := s.waitUntilCurrent(call, start.Add(min(maxCatchUpWait, wait/2)))
	if table == nil {
		failure := newUnavailable(reasonBehind, behindRetryDelay)
		failure.disconnected = s.Disconnected(disconnectedAfter)
		return failure.reply()
	}
	route := cacheableRoute(table, call.Host, call.Target)
	if route == nil {
		return newUnavailable(reasonRouteRemoved, behindRetryDelay).reply()
	}
	object, failure := s.fetcher.Get(Request{
		Host:       call.Host,
		Target:     call.Target,
		TTL:        route.CacheTTL(),
		Deadline:   start.Add(wait),
		OriginOnly: call.OriginOnly,
		Waiters:    call.Waiters,
	})
	if failure != nil {
		return failure.reply()
	}
	return replyWith(object, call.ETag)
}

// replyWith returns a reply with an object. It omits the object's content if heldETag, the ETag of
// the caller's object, is the same. The caller checks the object against the purges after the
// reply's PurgeIndex.
func replyWith(object *responsecache.Response, heldETag string) *objectReply {
	reply := &objectReply{
		Service:    object.Service,
		ETag:       object.ETag,
		PurgeIndex: object.PurgeIndex,
		AgeUs:      object.Age(time.Now()).Microseconds(),
	}
	if heldETag != "" && heldETag == object.ETag {
		reply.NotModified = true
		return reply
	}
	reply.Labels = object.Labels
	reply.Header = object.Header
	reply.Body = object.Body
	return reply
}

// waitUntilCurrent waits until this node has at least the caller's configuration and purges,
// and returns the route table, or nil after the deadline.
func (s *Server) waitUntilCurrent(call *objectCall, deadline time.Time) *routing.RouteTable {
	start := time.Now()
	switched := false
	for {
		table := s.RouteTable()
		if table != nil && table.Version >= call.ConfigVersion &&
			s.PurgeIndex() >= call.PurgeIndex && s.Ready() && s.Confirmed() {
			return table
		}
		if !time.Now().Before(deadline) {
			return nil
		}
		if !switched && time.Since(start) > switchSourceAfter && s.Ready() {
			switched = true
			s.SwitchSource()
		}
		time.Sleep(catchUpPollInterval)
	}
}

// cacheableRoute returns the cacheable route of a target, or nil.
func cacheableRoute(table *routing.RouteTable, host, target string) *routing.CompiledRoute {
	path, _, _ := strings.Cut(target, "?")
	route := table.Match(host, path)
	if route == nil || route.RouteKind != routing.KindCacheable {
		return nil
	}
	return route
}

// fetchObject requests an object from the servers that rank before this one, and reads it from the
// origin if none answers. With OriginOnly it only reads the origin.
func (s *Server) fetchObject(
	r Request, cached *responsecache.Response, purgeIndex uint64,
) (*responsecache.Response, *Failure) {
	if r.OriginOnly {
		return s.readOrigin(r, cached)
	}
	for i, server := range s.servers.rankedServers(r.key(), sameOrderEverywhere) {
		if server.Name == s.Settings.NodeName || i == maxServersTried {
			break
		}
		object, failure, err := s.servers.fetch(server, serverFetch{
			request:    r,
			cached:     cached,
			purgeIndex: purgeIndex,
			originOnly: true,
		})
		if err == nil {
			return object, failure
		}
		s.servers.markFailed(server)
	}
	return s.readOrigin(r, cached)
}
