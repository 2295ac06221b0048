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

// fleetTenant is a tenant and what the test has recorded of its requests.
type fleetTenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"apiKeys"`
	Rate  float64  `json:"ratePerS"`
	Burst float64  `json:"burstSize"`

	ranAt    []time.Time   // when its requests ran at a leaf
	statuses map[int]int   // since the last look
	latency  time.Duration // the greatest since the last look
}

// setTenant is `tenant NAME RATE BURST [key=]`: adds or changes a tenant in the configurations from
// now on.
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

// load is `load NAMES TENANT PERSECOND MS`: requests to these machines in turn; then every
// window is checked against the limit.
func (f *fleet) load(c simulation.Command) error {
	start := time.Now()
	f.generateLoad(c)
	return f.checkQuota(f.tenantNamed(c.Word(1)), start.Add(-time.Second))
}

// startLoad is `start-load NAMES TENANT PERSECOND MS`: like load, but the following lines are
// played meanwhile, until end-loads.
func (f *fleet) startLoad(c simulation.Command) error {
	f.loads.Go(func() { f.generateLoad(c) })
	return nil
}

// endLoads is `end-loads`.
func (f *fleet) endLoads(simulation.Command) error {
	f.loads.Wait()
	return nil
}

// generateLoad sends requests of a tenant, at a rate per second, to machines in turn.
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
		front := m.proxy
		f.mu.Unlock()
		if front == nil {
			continue
		}
		handler := front.Handler()
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

// sendAs sends a request of a tenant and records its answer.
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
		f.t.Errorf("%d without word of when to come back", answer.Code)
	}
}

// checkQuota checks the quota rule with the limit in force, for the windows that begin after a
// given time.
func (f *fleet) checkQuota(tenant *fleetTenant, since time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	bounds := f.bounds()
	most := (tenant.Rate*bounds.QuotaWindowS+tenant.Burst)*(1+bounds.QuotaOvershoot) + bounds.QuotaSlack
	window := time.Duration(bounds.QuotaWindowS * float64(time.Second))
	for i, from := range tenant.ranAt {
		ran := 0
		for _, at := range tenant.ranAt[i:] {
			if at.Sub(from) <= window {
				ran++
			}
		}
		if float64(ran) > most && from.After(since) {
			return fmt.Errorf("%d of %s ran in a window, %v are allowed", ran, tenant.Name, most)
		}
	}
	return nil
}

// wantServed is `want-served TENANT [least= most= within=]`: the percentage of its requests since
// the last such line that were served, and the longest time that one may have taken.
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
		return fmt.Errorf("%.0f%%, %v", share, statuses)
	}
	if latency > c.OptionDuration("within", 1e6) {
		return fmt.Errorf("one took %v", latency)
	}
	return nil
}

// enableUsageReports is `usage-reports`: enables usage reports in the settings.
func (f *fleet) enableUsageReports(simulation.Command) error {
	f.reportUsage = true
	return nil
}

// awaitWindow is `await-window MS`: lets time pass until MS after the beginning of a usage window.
func (f *fleet) awaitWindow(c simulation.Command) error {
	length := f.bounds().UsageWindow()
	at := time.Now().Truncate(length).Add(c.Milliseconds(0))
	if at.Before(time.Now()) {
		at = at.Add(length)
	}
	time.Sleep(time.Until(at))
	return nil
}

// wantReportedInTime is `want-reported-in-time TENANT off= [missed=]`: since the last such line,
// each window that is due and in which its requests ran was reported before it was due, with a
// count that is right to within off percent; up to missed windows may fail this.
func (f *fleet) wantReportedInTime(c simulation.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	tenant := f.tenants[c.Word(0)]
	bounds := f.bounds()
	ran := map[uint64]float64{}
	for _, at := range tenant.ranAt {
		ran[usage.WindowAt(at, bounds.UsageWindow())]++
	}
	var wrong []string
	last := f.checkedWindow
	for _, window := range slices.Sorted(maps.Keys(ran)) {
		due := usage.WindowEnd(window, bounds.UsageWindow()).Add(bounds.UsageReportDelay())
		if window <= f.checkedWindow || time.Now().Before(due) {
			continue
		}
		last = window
		reported := f.reportedCount(window, tenant.Name)
		if f.acceptedAt[window].IsZero() || f.acceptedAt[window].After(due) {
			wrong = append(wrong, fmt.Sprintf("%d came %v late", window, f.acceptedAt[window].Sub(due)))
		} else if percentOff(reported, ran[window]) > c.OptionFloat("off", 0) {
			wrong = append(wrong, fmt.Sprintf("%d names %v of %v", window, reported, ran[window]))
		}
	}
	f.checkedWindow = last
	if len(wrong) > int(c.OptionFloat("missed", 0)) {
		return errors.New(strings.Join(wrong, "; "))
	}
	return nil
}

// percentOff is the difference of a reported count from the true one, in percent of the true one.
func percentOff(reported, ran float64) float64 { return math.Abs(reported-ran) / ran * 100 }

// reportedCount returns a tenant's count in the accepted report of a window; f.mu is held.
func (f *fleet) reportedCount(window uint64, tenant string) float64 {
	var report usageReport
	_ = json.Unmarshal([]byte(f.reports[window]), &report) // checked when it arrived; none: 0
	return float64(report.InstanceCounts[tenant])
}

// wantUsage is `want-usage TENANT off=`: all reports together have the count of the requests that
// ran, to within off percent.
func (f *fleet) wantUsage(c simulation.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	reported := 0.0
	for window := range f.reports {
		reported += f.reportedCount(window, c.Word(0))
	}
	ran := float64(len(f.tenants[c.Word(0)].ranAt))
	if ran == 0 || percentOff(reported, ran) > c.OptionFloat("off", 0) {
		return fmt.Errorf("reported were %v of %v", reported, ran)
	}
	return nil
}

// wantReports is `want-reports N WITHIN`: N consecutive windows were reported, including the last
// one that is due.
func (f *fleet) wantReports(c simulation.Command) error {
	const (
		window   = 5 * time.Second
		dueAfter = 15 * time.Second // the window and the delay
	)
	return f.until(c.Milliseconds(1), c.Word(0)+" windows in a row", func() bool {
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
