package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/routing"
)

const (
	hostname      = "h.example"
	scatterPrefix = "/all/"
	meteredPrefix = "/metered/"
	// unservedService has no leafs. The response to a request for it shows only whether a quota token was granted.
	unservedService = "nobody"
	// tenantHeadroom is the ratio of a tenant's rate limit to its average load.
	tenantHeadroom = 1.6
)

const configurationRetryPause = 100 * time.Millisecond

// configuration returns the next configuration: one route over all shards, one for tenant
// requests, and size.Routes other routes.
func (c *Cluster) configuration() *routing.Configuration {
	config := &routing.Configuration{Version: c.version}
	var shards []string
	for i := range c.size.shards() {
		shards = append(shards, c.shardName(i))
		config.Services = append(config.Services, routing.Service{
			Name: shards[i], HealthPath: "/health", ConnectionLimit: 2000, Protocol: "h1",
		})
	}
	config.Services = append(config.Services, routing.Service{Name: unservedService, ConnectionLimit: 10})
	config.Routes = append(config.Routes,
		routing.Route{
			Name: "gathered", Hostname: hostname, PathPrefix: scatterPrefix, RouteKind: routing.KindSafe,
			TimeoutMs: 1000 + int64(c.version%7), TargetLatencyMs: 88, MaxAttempts: 2,
			FanoutServices: shards, ResultCount: 40, MinimumShardShare: 0.5, LookupClass: "urgent",
		},
		routing.Route{
			Name: "metered", Hostname: hostname, PathPrefix: meteredPrefix, RouteKind: routing.KindSafe,
			TimeoutMs: 500, TargetLatencyMs: 400, MaxAttempts: 1, Service: unservedService,
		})
	for i := range c.size.Routes {
		config.Routes = append(config.Routes, routing.Route{
			Name: fmt.Sprint("r", i), Hostname: hostname, PathPrefix: fmt.Sprintf("/r%d/", i),
			RouteKind: routing.KindSafe, TimeoutMs: 1000, TargetLatencyMs: 100, MaxAttempts: 2,
			Service: shards[i%len(shards)],
		})
	}
	for i := range c.size.Tenants {
		rate := tenantHeadroom * c.tenantRate(i)
		config.Tenants = append(config.Tenants, routing.Tenant{
			Name: fmt.Sprint("t", i), APIKeys: []string{tenantKey(i)}, RatePerSecond: rate, BurstSize: rate,
		})
	}
	return config
}

func tenantKey(i int) string { return fmt.Sprint("k", i) }

// tenantWeight returns the relative load of a tenant; a few tenants cause most of the load.
func tenantWeight(i int) float64 { return 1 / float64(i+2) }

// tenantRate returns the average load of a tenant on all nodes together, in requests per second.
func (c *Cluster) tenantRate(i int) float64 {
	sum := 0.0
	for k := range c.size.Tenants {
		sum += tenantWeight(k)
	}
	return c.size.PerNode * float64(max(1, c.size.Hollow)) * tenantWeight(i) / sum
}

// replaceConfiguration sends the next configuration until it is acknowledged, and returns the time
// of the acknowledgement.
func (c *Cluster) replaceConfiguration(ctx context.Context) (time.Time, error) {
	base := c.version
	c.version++
	raw, err := json.Marshal(c.configuration())
	if err != nil {
		return time.Time{}, err
	}
	for ctx.Err() == nil {
		status, answer, err := c.postConfiguration(ctx, base, raw)
		switch {
		case err != nil || status == http.StatusServiceUnavailable:
			time.Sleep(configurationRetryPause)
		case status == http.StatusOK:
			return time.Now(), nil
		default:
			return time.Time{}, fmt.Errorf("configuration was rejected with status %d: %.200s", status, answer)
		}
	}
	return time.Time{}, ctx.Err()
}

// postConfiguration sends a configuration once.
func (c *Cluster) postConfiguration(ctx context.Context, base uint64, raw []byte) (int, []byte, error) {
	url := "http://" + c.seedNodes[0] + "/Configuration.Replace"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("X-Comethold-Base-Version", strconv.FormatUint(base, 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	answer, _ := io.ReadAll(response.Body) // used only in an error text
	_ = response.Body.Close()
	return response.StatusCode, answer, nil
}
