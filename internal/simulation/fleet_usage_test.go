package simulation_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"comethold/internal/simulation"
	"comethold/internal/usage"
)

// fleetTenant is a tenant with a record of its requests.
type fleetTenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"apiKeys"`
	Rate  float64  `json:"ratePerS"`
	Burst float64  `json:"burstSize"`

	servedAt []time.Time   // when a leaf received its requests
	statuses map[int]int   // HTTP status -> requests, since the last want-served
	latency  time.Duration // the highest latency of a served request since the last want-served
}

// setTenant is `tenant NAME RATE BURST [key=]`: adds or changes a tenant in all later
// configurations.
func (f *fleet) setTenant(c simulation.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	tenant := f.tenants[c.Word(0)]
	if tenant == nil {
		tenant = &fleetTenant{Name: c.Word(0), Keys: []string{"key-" + c.Word(0)}, statuses: map[int]int{}}
		f.tenants[tenant.Name] = tenant
	}
	tenant.Rate = c.Float(1)
	tenant.Burst = c.Float(2)
	if key := c.Options["key"]; key != "" {
		tenant.Keys = []string{key}
	}
	return nil
}

func (f *fleet) tenantNamed(name string) *fleetTenant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tenants[name]
}

// load is `load NAMES TENANT PERSECOND MS`: sends PERSECOND requests of a tenant per second to these
// machines in turn, for MS milliseconds. Then it checks every window against the tenant's limit.
func (f *fleet) load(c simulation.Command) error {
	start := time.Now()
	f.generateLoad(c)
	return f.checkQuota(f.tenantNamed(c.Word(1)), start.Add(-time.Second))
}

// startLoad is `start-load NAMES TENANT PERSECOND MS`: like load, but in the background and without a check
// of the limit. The command end-loads waits for it.
func (f *fleet) startLoad(c simulation.Command) error {
	f.loads.Go(func() { f.generateLoad(c) })
	return nil
}

// endLoads is `end-loads`: waits for all loads in the background.
func (f *fleet) endLoads(simulation.Command) error {
	f.loads.Wait()
	return nil
}

// generateLoad sends the requests of the command load or start-load, and waits until they have ended.
func (f *fleet) generateLoad(c simulation.Command) {
	machines := f.machinesNamed(c.Word(0))
	tenant := f.tenantNamed(c.Word(1))
	gap := time.Duration(float64(time.Second) / c.Float(2))
	var running sync.WaitGroup
	next := 0
	for end := time.Now().Add(c.Milliseconds(3)); time.Now().Before(end); time.Sleep(gap) {
		m := machines[next%len(machines)]
		next++
		f.mu.Lock()
		proxyServer := m.proxy
		f.mu.Unlock()
		if proxyServer == nil {
			continue
		}
		handler := proxyServer.Handler()
		request := f.newTenantRequest(tenant)
		running.Go(func() { f.sendAs(tenant, handler, request) })
	}
	running.Wait()
}

func (f *fleet) newTenantRequest(tenant *fleetTenant) *http.Request {
	f.requestCount++
	request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/a", nil)
	request.Host = "h.example"
	request.RequestURI = "/a"
	request.Header.Set("X-Comethold-Request-Id", fmt.Sprint("q", f.requestCount))
	request.Header.Set("X-Comethold-Deadline-Remaining", "1000")
	request.Header.Set("Authorization", "Token "+tenant.Keys[0])
	return request
}

// sendAs sends a request of a tenant and records the status and latency.
func (f *fleet) sendAs(tenant *fleetTenant, handler http.Handler, request *http.Request) {
	answer := httptest.NewRecorder()
	start := time.Now()
	handler.ServeHTTP(answer, request)
	f.mu.Lock()
	defer f.mu.Unlock()
	tenant.statuses[answer.Code]++
	if answer.Code == http.StatusOK {
		tenant.latency = max(tenant.latency, time.Since(start))
	}
	isRejection := answer.Code == http.StatusTooManyRequests || answer.Code == http.StatusServiceUnavailable
	if isRejection && answer.Header().Get("Retry-After") == "" {
		f.t.Errorf("a rejection with status %d has no Retry-After header, want one", answer.Code)
	}
}

// checkQuota returns an error if, in a window that begins after a given time, more requests ran than the
// tenant's current limit and the allowed overshoot permit.
func (f *fleet) checkQuota(tenant *fleetTenant, since time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	bounds := f.bounds()
	limit := (tenant.Rate*bounds.QuotaWindowS+tenant.Burst)*(1+bounds.QuotaOvershoot) + bounds.QuotaSlack
	window := time.Duration(bounds.QuotaWindowS * float64(time.Second))
	for i, start := range tenant.servedAt {
		ran := 0
		for _, at := range tenant.servedAt[i:] {
			if at.Sub(start) <= window {
				ran++
			}
		}
		if float64(ran) > limit && start.After(since) {
			return fmt.Errorf("%d requests of %s ran in a quota window, want at most %v", ran, tenant.Name, limit)
		}
	}
	return nil
}

// wantServed is `want-served TENANT [least= most= within=]`: checks the tenant's requests since the last such
// command. The percentage that was served must be between least and most, and no served request may have taken
// longer than within milliseconds.
func (f *fleet) wantServed(c simulation.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	tenant := f.tenants[c.Word(0)]
	statuses, latency := tenant.statuses, tenant.latency
	tenant.statuses = map[int]int{}
	tenant.latency = 0
	all := 0
	for _, count := range statuses {
		all += count
	}
	share := 100 * float64(statuses[http.StatusOK]) / float64(all)
	if share < c.OptionFloat("least", 0) || share > c.OptionFloat("most", 100) {
		return fmt.Errorf("%.0f%% of the requests were served, want %v%% to %v%%; by HTTP status: %v",
			share, c.OptionFloat("least", 0), c.OptionFloat("most", 100), statuses)
	}
	if latency > c.OptionDuration("within", 1e6) {
		return fmt.Errorf("the slowest served request took %v, want at most %v", latency, c.OptionDuration("within", 1e6))
	}
	return nil
}

// enableUsageReports is `usage-reports`: enables usage reports in the settings.
func (f *fleet) enableUsageReports(simulation.Command) error {
	f.reportUsage = true
	return nil
}

// awaitWindow is `await-window MS`: waits until MS milliseconds after the start of a usage window.
func (f *fleet) awaitWindow(c simulation.Command) error {
	length := f.bounds().UsageWindow()
	at := time.Now().Truncate(length).Add(c.Milliseconds(0))
	if at.Before(time.Now()) {
		at = at.Add(length)
	}
	time.Sleep(time.Until(at))
	return nil
}

// wantReportedInTime is `want-reported-in-time TENANT off= [missed=]`: checks the windows that became
// due since the last such command and in which the tenant's requests ran. Each must have been reported
// before it was due, with a count that deviates by at most off percent. Up to missed windows may fail
// this check.
func (f *fleet) wantReportedInTime(c simulation.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	tenant := f.tenants[c.Word(0)]
	bounds := f.bounds()
	ran := map[uint64]float64{}
	for _, at := range tenant.servedAt {
		ran[usage.WindowAt(at, bounds.UsageWindow())]++
	}
	var failures []string
	last := f.checkedWindow
	for _, window := range slices.Sorted(maps.Keys(ran)) {
		due := usage.WindowEnd(window, bounds.UsageWindow()).Add(bounds.UsageReportDelay())
		if window <= f.checkedWindow || time.Now().Before(due) {
			continue
		}
		last = window
		reported := f.reportedCount(window, tenant.Name)
		if f.acceptedAt[window].IsZero() || f.acceptedAt[window].After(due) {
			failures = append(failures, fmt.Sprintf("window %d was reported %v late (negative: not reported), want no delay",
				window, f.acceptedAt[window].Sub(due)))
		} else if deviationPercent(reported, ran[window]) > c.OptionFloat("off", 0) {
			failures = append(failures, fmt.Sprintf("window %d: %v of %v requests were reported, want a deviation up to %v%%",
				window, reported, ran[window], c.OptionFloat("off", 0)))
		}
	}
	f.checkedWindow = last
	if len(failures) > int(c.OptionFloat("missed", 0)) {
		return errors.New(strings.Join(failures, "; "))
	}
	return nil
}

// deviationPercent returns the difference between a reported count and the true one, in percent of the true
// one.
func deviationPercent(reported, ran float64) float64 { return math.Abs(reported-ran) / ran * 100 }

// reportedCount returns a tenant's count in the accepted report of a window. The caller holds f.mu.
func (f *fleet) reportedCount(window uint64, tenant string) float64 {
	var report usageReport
	_ = json.Unmarshal([]byte(f.reports[window]), &report) // checked by serveUsage; 0 without a report
	return float64(report.InstanceCounts[tenant])
}

// wantUsage is `want-usage TENANT off=`: checks that the sum of all reports deviates by at most off percent
// from the number of requests that ran.
func (f *fleet) wantUsage(c simulation.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	reported := 0.0
	for window := range f.reports {
		reported += f.reportedCount(window, c.Word(0))
	}
	ran := float64(len(f.tenants[c.Word(0)].servedAt))
	if ran == 0 || deviationPercent(reported, ran) > c.OptionFloat("off", 0) {
		return fmt.Errorf("the reports count %v of %v requests, want a deviation of at most %v%%",
			reported, ran, c.OptionFloat("off", 0))
	}
	return nil
}

// wantReports is `want-reports N WITHIN`: waits up to WITHIN milliseconds until the last N windows that are due
// have been reported.
func (f *fleet) wantReports(c simulation.Command) error {
	const (
		window   = 5 * time.Second
		dueAfter = 15 * time.Second // length of the window plus the report delay
	)
	return f.waitUntil(c.Milliseconds(1), c.Word(0)+" consecutive windows are reported", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		due := usage.WindowAt(time.Now().Add(-dueAfter), window)
		for i := range c.Uint(0) {
			if _, ok := f.reports[due-i]; !ok {
				return false
			}
		}
		return true
	})
}
