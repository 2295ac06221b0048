package loadtest

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// tenantLoad sends tenant requests to every hollow node, on a route whose service has no leafs.
type tenantLoad struct {
	requests, refused atomic.Int64
	cancel            context.CancelFunc
	running           sync.WaitGroup
}

// startTenantLoad starts tenant requests to every hollow node. The caller must call stop.
func (c *Cluster) startTenantLoad(ctx context.Context) *tenantLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &tenantLoad{cancel: cancel}
	for _, node := range c.hollowNodes {
		load.running.Go(func() { load.run(ctx, node, c.size) })
	}
	return load
}

// stop ends the load and waits for open requests.
func (l *tenantLoad) stop() {
	l.cancel()
	l.running.Wait()
}

// reset sets the counters to zero.
func (l *tenantLoad) reset() {
	l.requests.Store(0)
	l.refused.Store(0)
}

// refusedShare returns the share of requests that were not granted a quota token.
func (l *tenantLoad) refusedShare() float64 {
	return float64(l.refused.Load()) / float64(max(1, l.requests.Load()))
}

// run sends size.PerNode requests per second to a node, with exponentially distributed intervals. Each
// request is from a random tenant, weighted by tenantWeight.
func (l *tenantLoad) run(ctx context.Context, node *hollowNode, size Size) {
	cumulative := make([]float64, size.Tenants)
	sum := 0.0
	for i := range cumulative {
		sum += tenantWeight(i)
		cumulative[i] = sum
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / size.PerNode * float64(time.Second)))
		tenant, _ := slices.BinarySearch(cumulative, rand.Float64()*sum)
		l.running.Go(func() { l.request(ctx, node, min(tenant, size.Tenants-1)) })
	}
}

// request sends one request of a tenant.
func (l *tenantLoad) request(ctx context.Context, node *hollowNode, tenant int) {
	const path = meteredPrefix + "a"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostname+path, nil)
	if err != nil {
		panic(err) // cannot fail: the URL is constant
	}
	request.RequestURI = path
	request.Header.Set("X-Comethold-Request-Id", strconv.FormatUint(rand.Uint64(), 36))
	request.Header.Set("Authorization", "Token "+tenantKey(tenant))
	answer := &bodyRecorder{header: http.Header{}}
	node.proxy.Handler().ServeHTTP(answer, request)
	l.requests.Add(1)
	// A request with a token reaches the service, and the error then mentions its missing leafs.
	if !strings.Contains(answer.body.String(), "leaf") {
		l.refused.Add(1)
	}
}

// bodyRecorder is a response writer that keeps only the body.
type bodyRecorder struct {
	header http.Header
	body   bytes.Buffer
}

func (r *bodyRecorder) Header() http.Header { return r.header }

func (r *bodyRecorder) WriteHeader(int) {}

func (r *bodyRecorder) Write(b []byte) (int, error) { return r.body.Write(b) }
