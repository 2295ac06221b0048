package loadtest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// ScatterReport is what queries over many shards cost one switch.
type ScatterReport struct {
	Shards, Leafs int
	PerS          float64 // queries that were answered
	Missing       float64 // parts left out of an answer, mean
	Median, P99   time.Duration
	Switch        Usage
	PerShardCall  time.Duration // processor time of the switch
}

// serveShard is the stand-in for all leafs: it answers at once with records of its own.
func serveShard(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Comethold-Request-Id")
	who := r.Header.Get("X-Comethold-Expected-Instance")
	w.Header().Set("X-Comethold-Server-Stamp", who+"."+id)
	w.Header().Set("X-Comethold-Request-Id", id)
	_, _ = w.Write([]byte(fmt.Sprintf("%-64.64s", who)))
}

// MeasureScatter measures one real switch that asks all shards for each of perS queries a
// second. The leafs are stand-ins of this process, which answer at once.
func (r *Cluster) MeasureScatter(ctx context.Context, perS float64) (*ScatterReport, error) {
	s := r.size
	at := fmt.Sprintf("127.8.0.1:%d", r.basePort+24)
	if err := r.listen(at, http.HandlerFunc(serveShard)); err != nil {
		return nil, err
	}
	for i := range s.Leafs {
		r.endpoints = append(r.endpoints, map[string]any{"instanceId": fmt.Sprintf("i-%08x", i), "service": fmt.Sprintf("shard-%d", i%max(1, s.Leafs/6)),
			"address": at, "availabilityZone": zoneOf(0, s.Zones), "version": "v1", "capacitySlots": 64, "state": "ready", "warmupLeftMs": 0})
	}
	if err := r.listen(fmt.Sprintf("127.9.0.1:%d", r.basePort+23), http.HandlerFunc(r.servePlatform)); err != nil {
		return nil, err
	}
	r.seedNodes = []string{fmt.Sprintf("127.1.0.1:%d", r.basePort+20)}
	if err := r.startProcess("control-plane", "control-0", "127.1.0.1", zoneOf(0, s.Zones), true); err != nil {
		return nil, err
	}
	if err := r.startProcess("data-plane", "real-0", "127.2.0.1", zoneOf(0, s.Zones), false); err != nil {
		return nil, err
	}
	if _, err := r.replaceConfiguration(ctx); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	type answer struct {
		took    time.Duration
		missing int
		ok      bool
	}
	ask := func() (a answer) {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://127.2.0.1:%d/all/x", r.basePort+21), nil)
		req.Host = "h.example"
		req.Header.Set("X-Comethold-Request-Id", strconv.FormatUint(rand.Uint64(), 36))
		req.Header.Set("X-Comethold-Deadline-Remaining", "1000")
		from := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			return a
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		a.took = time.Since(from)
		a.missing, _ = strconv.Atoi(resp.Header.Get("X-Comethold-Missing-Parts"))
		a.ok = err == nil && resp.StatusCode == http.StatusOK
		return a
	}
	for ctx.Err() == nil && !ask().ok {
		time.Sleep(200 * time.Millisecond)
	}
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	load := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); {
			time.Sleep(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
			wg.Go(func() {
				a := ask()
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			})
		}
	}
	load(s.Rest / 2) // lines are opened
	wg.Wait()
	all = nil
	pid := r.processes[1].Process.Pid
	from, began := processorSeconds(pid), time.Now()
	load(s.Rest)
	wg.Wait()
	took := time.Since(began).Seconds()
	rep := &ScatterReport{Shards: max(1, s.Leafs/6), Leafs: s.Leafs, Switch: memoryUsage(pid)}
	rep.Switch.CPU = (processorSeconds(pid) - from) / took
	var times []time.Duration
	for _, a := range all {
		if a.ok {
			times = append(times, a.took)
			rep.Missing += float64(a.missing)
		}
	}
	if len(times) == 0 {
		return nil, net.ErrClosed
	}
	slices.Sort(times)
	rep.PerS, rep.Missing = float64(len(times))/took, rep.Missing/float64(len(times))
	rep.Median, rep.P99 = times[len(times)/2], times[len(times)*99/100]
	rep.PerShardCall = time.Duration(rep.Switch.CPU / rep.PerS / float64(rep.Shards) * float64(time.Second))
	return rep, nil
}
