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

// query is the answer to one query over all shards.
type query struct {
	duration     time.Duration
	missingParts int
	ok           bool
}

// queryLoad sends queries to one proxy and keeps their answers.
type queryLoad struct {
	url       string
	client    *http.Client
	perSecond float64
	running   sync.WaitGroup

	mu      sync.Mutex // guards the field below
	answers []query
}

// MeasureScatter measures one real proxy at perSecond queries per second, each to all shards. The
// leafs are stand-ins in this process that answer at once.
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
	load.answers = nil
	pid := c.processes[1].PID() // after the control node
	secondsBefore := testbed.ProcessorSeconds(pid)
	start := time.Now()
	load.run(ctx, c.size.Rest)
	elapsed := time.Since(start).Seconds()
	report := &ScatterReport{Shards: c.size.shards(), Leafs: c.size.Leafs, Proxy: memoryUsage(pid)}
	report.Proxy.CPU = (testbed.ProcessorSeconds(pid) - secondsBefore) / elapsed
	if !report.summarize(load.answers, elapsed) {
		return nil, net.ErrClosed
	}
	return report, nil
}

// startScatter starts the leafs, the platform, one control node and one proxy, and commits a
// configuration.
func (c *Cluster) startScatter(ctx context.Context) error {
	leaf := c.address(sharedLeafIP, leafPort)
	if err := c.servers.Listen(ctx, leaf, http.HandlerFunc(serveShard)); err != nil {
		return err
	}
	c.listSharedLeaf(leaf)
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

// run sends queries at random moments for a while, and waits for their answers.
func (l *queryLoad) run(ctx context.Context, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / l.perSecond * float64(time.Second)))
		l.running.Go(func() {
			answer := l.send(ctx)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers = append(l.answers, answer)
		})
	}
	l.running.Wait()
}

// send sends one query and reads the answer to its end.
func (l *queryLoad) send(ctx context.Context) query {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return query{}
	}
	request.Host = hostname
	request.Header.Set("X-Comethold-Request-Id", strconv.FormatUint(rand.Uint64(), 36))
	request.Header.Set("X-Comethold-Deadline-Remaining", strconv.Itoa(queryDeadlineMs))
	start := time.Now()
	response, err := l.client.Do(request)
	if err != nil {
		return query{}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	answer := query{duration: time.Since(start)}
	answer.missingParts, _ = strconv.Atoi(response.Header.Get("X-Comethold-Missing-Parts")) // none: 0
	answer.ok = err == nil && response.StatusCode == http.StatusOK
	return answer
}

// summarize computes the report from the answers; false if there are none.
func (r *ScatterReport) summarize(answers []query, elapsedSeconds float64) bool {
	var durations []time.Duration
	missing := 0
	for _, answer := range answers {
		if answer.ok {
			durations = append(durations, answer.duration)
			missing += answer.missingParts
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
