package loadtest

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"comethold/internal/testbed"
)

const (
	queryDeadlineMs     = 1000
	queryRetryPause     = 200 * time.Millisecond
	maxIdleQueryClients = 256
)

// queryResult is the outcome of one query over all shards.
type queryResult struct {
	duration     time.Duration
	missingParts int
	ok           bool
}

// queryLoad sends queries to one proxy and collects their results.
type queryLoad struct {
	url       string
	client    *http.Client
	perSecond float64
	running   sync.WaitGroup

	mu      sync.Mutex // guards the field below
	results []queryResult
}

// MeasureScatter measures one real proxy at perSecond queries per second, each to all shards. This
// process simulates the leafs, which answer at once.
func (c *Cluster) MeasureScatter(ctx context.Context, perSecond float64) (*ScatterReport, error) {
	if err := c.startScatter(ctx); err != nil {
		return nil, err
	}
	load := &queryLoad{
		url:       "http://" + c.address(realProxyIP(0), frontendPort) + scatterPrefix + "x",
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleQueryClients}},
		perSecond: perSecond,
	}
	for ctx.Err() == nil && !load.send(ctx).ok {
		time.Sleep(queryRetryPause)
	}
	load.run(ctx, c.size.Rest/2) // warm-up: opens connections
	load.results = nil
	pid := c.processes[1].PID() // the first process is the control node
	secondsBefore := testbed.ProcessorSeconds(pid)
	start := time.Now()
	load.run(ctx, c.size.Rest)
	elapsed := time.Since(start).Seconds()
	report := &ScatterReport{Shards: c.size.shards(), Leafs: c.size.Leafs, Proxy: memoryUsage(pid)}
	report.Proxy.CPU = (testbed.ProcessorSeconds(pid) - secondsBefore) / elapsed
	if !report.summarize(load.results, elapsed) {
		return nil, net.ErrClosed
	}
	return report, nil
}

// startScatter starts the simulated leafs and platform, one control node and one proxy, and commits a
// configuration.
func (c *Cluster) startScatter(ctx context.Context) error {
	leaf := c.address(sharedLeafIP, leafPort)
	if err := c.servers.Listen(ctx, leaf, http.HandlerFunc(serveShard)); err != nil {
		return err
	}
	c.listLeafsAt(leaf)
	if err := c.servers.Listen(ctx, c.address(platformIP, platformPort), &c.platform); err != nil {
		return err
	}
	if err := c.startControlNodes(ctx, 1); err != nil {
		return err
	}
	if err := c.startRealProxies(ctx, 1); err != nil {
		return err
	}
	_, err := c.replaceConfiguration(ctx)
	return err
}

// run sends l.perSecond queries per second for the given time, with exponentially distributed
// intervals, and waits for their responses.
func (l *queryLoad) run(ctx context.Context, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / l.perSecond * float64(time.Second)))
		l.running.Go(func() {
			result := l.send(ctx)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.results = append(l.results, result)
		})
	}
	l.running.Wait()
}

// send sends one query and reads the whole response.
func (l *queryLoad) send(ctx context.Context) queryResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return queryResult{}
	}
	request.Host = hostname
	request.Header.Set("X-Comethold-Request-Id", strconv.FormatUint(rand.Uint64(), 36))
	request.Header.Set("X-Comethold-Deadline-Remaining", strconv.Itoa(queryDeadlineMs))
	start := time.Now()
	response, err := l.client.Do(request)
	if err != nil {
		return queryResult{}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	result := queryResult{duration: time.Since(start)}
	result.missingParts, _ = strconv.Atoi(response.Header.Get("X-Comethold-Missing-Parts")) // a missing header counts as 0
	result.ok = err == nil && response.StatusCode == http.StatusOK
	return result
}

// summarize computes the report from the successful results. It returns false if there are none.
func (r *ScatterReport) summarize(results []queryResult, elapsedSeconds float64) bool {
	var durations []time.Duration
	missing := 0
	for _, result := range results {
		if result.ok {
			durations = append(durations, result.duration)
			missing += result.missingParts
		}
	}
	if len(durations) == 0 {
		return false
	}
	slices.Sort(durations)
	r.PerS = float64(len(durations)) / elapsedSeconds
	r.Missing = float64(missing) / float64(len(durations))
	r.Median = durations[len(durations)/2]
	r.P99 = durations[len(durations)*99/100]
	r.PerShardCall = time.Duration(r.Proxy.CPU / r.PerS / float64(r.Shards) * float64(time.Second))
	return true
}
