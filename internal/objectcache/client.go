package objectcache

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/responsecache"
)

// Client is the object cache client of a data plane node. It has a small in-memory cache and
// fetches other objects from the servers. It is safe for concurrent use.
type Client struct {
	control          *controlclient.Client
	servers          *serverClient
	fetcher          *Fetcher
	permitsRequested atomic.Int64
}

// NewClient returns a client with an in-memory cache of cacheBytes bytes. It sets the OnPurges
// callback of control.
func NewClient(control *controlclient.Client, cacheBytes int) *Client {
	c := &Client{control: control, servers: newServerClient(control)}
	c.fetcher = NewFetcher(responsecache.New(cacheBytes), control, c.fetch, FetcherOptions{
		StaleSlack:      control.Settings.Bounds.StaleSlack(),
		RefreshFraction: 1,
	})
	control.OnPurges(c.fetcher.ApplyPurges)
	return c
}

// Get returns the requested object, or the reason why there is none.
func (c *Client) Get(r Request) (*responsecache.Response, *Failure) { return c.fetcher.Get(r) }

// fetch requests an object from up to maxServersTried servers in ranked order, until one answers.
func (c *Client) fetch(
	r Request, cached *responsecache.Response, purgeIndex uint64,
) (*responsecache.Response, *Failure) {
	for i, server := range c.servers.rankedServers(r.key(), ownRegionFirst) {
		if i == maxServersTried || time.Until(r.Deadline) < deadlineMargin {
			break
		}
		object, failure, err := c.servers.fetch(server, serverFetch{request: r, cached: cached, purgeIndex: purgeIndex})
		if err == nil {
			return object, failure
		}
		c.servers.markFailed(server)
	}
	return nil, newUnavailable(reasonNoServer, noServerRetryDelay)
}

// WaitForPermit blocks until the service's rate limit allows a call, at most until the deadline or until
// ctx is done. It returns true at once if this node knows no rate of the service. If ok is false,
// retryAfter is the delay before the caller may request a permit again.
func (c *Client) WaitForPermit(
	ctx context.Context, service string, deadline time.Time,
) (ok bool, retryAfter time.Duration) {
	table := c.control.RouteTable()
	if table == nil || table.Services[service] == nil || table.Services[service].RatePerSecond <= 0 {
		return true, 0
	}
	// Each server holds a share of the rate, so the key changes with each call to spread the calls
	// over all servers.
	callKey := strconv.FormatInt(c.permitsRequested.Add(1), 36)
	for i, server := range c.servers.rankedServers(callKey, ownRegionFirst) {
		wait := time.Until(deadline) - deadlineMargin
		if i == maxServersTried || wait <= 0 || ctx.Err() != nil {
			break
		}
		reply, err := c.servers.requestPermit(ctx, server, service, wait)
		if err == nil {
			return reply.Granted, time.Duration(reply.RetryMs) * time.Millisecond
		}
		if ctx.Err() == nil {
			c.servers.markFailed(server)
		}
	}
	return false, permitRetryDelay
}
