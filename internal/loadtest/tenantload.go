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

// tenantLoad sends requests of tenants to every hollow node, on a route that no leaf serves.
type tenantLoad struct {
	asked, refused atomic.Int64
	cancel         context.CancelFunc
	running        sync.WaitGroup
}

// startTenantLoad starts a tenantLoad; the caller must stop it.
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

// reset sets the counts to zero.
func (l *tenantLoad) reset() {
	l.asked.Store(0)
	l.refused.Store(0)
}

// refusedShare is the share of the requests that got no token.
func (l *tenantLoad) refusedShare() float64 {
	return float64(l.refused.Load()) / float64(max(1, l.asked.Load()))
}

// run sends requests to a node at random times; tenants are drawn in proportion to their load.
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
		panic(err) // made of constants
	}
	request.RequestURI = path
	request.Header.Set("X-Comethold-Request-Id", strconv.FormatUint(rand.Uint64(), 36))
	request.Header.Set("Authorization", "Token "+tenantKey(tenant))
	answer := &bodyRecorder{header: http.Header{}}
	node.proxy.Handler().ServeHTTP(answer, request)
	l.asked.Add(1)
	// With a token the request gets as far as the service, and the error names its missing leafs.
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
