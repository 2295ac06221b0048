package simulation_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/simulation"
)

// States of a leaf in the platform's list.
const (
	leafReady    = "ready"
	leafDraining = "draining"
)

// platformInstance is a leaf as the platform lists it.
type platformInstance struct {
	ID       string `json:"instanceId"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"availabilityZone"`
	Capacity int    `json:"capacitySlots"`
	State    string `json:"state"`
}

// instancePage is the platform's list, which is always one page.
type instancePage struct {
	Instances     []platformInstance `json:"instances"`
	NextPageToken *string            `json:"nextPageToken"`
}

// servePlatform is a fake of the platform: it serves the list of leafs and receives usage reports.
func (f *fleet) servePlatform(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/usage" {
		f.serveUsage(w, r)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	page := instancePage{Instances: []platformInstance{}}
	for _, id := range slices.Sorted(maps.Keys(f.leafStates)) {
		page.Instances = append(page.Instances, platformInstance{
			ID: id, Service: "s", Address: leafAddress, Zone: "a", Capacity: 2, State: f.leafStates[id],
		})
	}
	_ = json.NewEncoder(w).Encode(page) // fails only if the caller disconnected; it polls again
}

// serveLeaf is a fake of every leaf: it records the time of each tenant's requests.
func (f *fleet) serveLeaf(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if tenant := f.tenants[r.Header.Get("X-Comethold-Tenant")]; tenant != nil {
		tenant.servedAt = append(tenant.servedAt, time.Now())
	}
	f.mu.Unlock()
	w.Header().Set("X-Comethold-Server-Stamp", "s")
	w.Header().Set("X-Comethold-Request-Id", r.Header.Get("X-Comethold-Request-Id"))
}

// usageReport is the content of a usage report.
type usageReport struct {
	WindowNumber   uint64            `json:"windowNumber"`
	InstanceCounts map[string]uint64 `json:"instanceCounts"`
}

// fencedCall is a usage report that reached the platform, with its sender and fencing token.
type fencedCall struct {
	holder string
	token  uint64
	at     time.Time
}

// serveUsage receives usage reports. It checks their fencing tokens, and that no window gets two different
// reports. It does not record reports while the platform is busy or resets connections.
func (f *fleet) serveUsage(w http.ResponseWriter, r *http.Request) {
	raw, readErr := io.ReadAll(r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.platformFault {
	case "busy":
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case "reset":
		panic(http.ErrAbortHandler)
	}
	token, tokenErr := strconv.ParseUint(r.Header.Get("X-Comethold-Fence-Number"), 10, 64)
	var report usageReport
	if err := errors.Join(readErr, tokenErr, json.Unmarshal(raw, &report)); err != nil {
		f.t.Errorf("platform received a malformed usage report: %s: %v", raw, err)
	}
	call := fencedCall{r.Header.Get("X-Comethold-Duty-Holder"), token, time.Now()}
	f.checkFencing(call)
	f.fencedCalls = append(f.fencedCalls, call)
	if old, ok := f.reports[report.WindowNumber]; ok && old != string(raw) {
		f.t.Errorf("platform received two different reports of window %d, want equal ones: %s and %s",
			report.WindowNumber, old, raw)
	}
	f.reports[report.WindowNumber] = string(raw)
	if f.acceptedAt[report.WindowNumber].IsZero() {
		f.acceptedAt[report.WindowNumber] = call.at
	}
	if f.platformFault == "lost" { // the report is accepted, but its answer is lost
		panic(http.ErrAbortHandler)
	}
}

// checkFencing checks a call against earlier ones: tokens never decrease, each token has one holder, and no
// holder calls again within a lease duration if another holder called in between.
func (f *fleet) checkFencing(call fencedCall) {
	lease := time.Duration(f.bounds().LeaseMs) * time.Millisecond
	otherReported := false
	for _, earlier := range slices.Backward(f.fencedCalls) {
		if earlier.token > call.token || earlier.token == call.token && earlier.holder != call.holder {
			f.t.Errorf(
				"%s reported with fencing token %d after %s had reported with token %d, want a higher token for each new holder",
				call.holder, call.token, earlier.holder, earlier.token)
			return
		}
		if call.at.Sub(earlier.at) > lease {
			return
		}
		otherReported = otherReported || earlier.holder != call.holder
		if otherReported && earlier.holder == call.holder {
			f.t.Errorf("%s, another holder and %s again reported within the lease duration %v, want one change of holder",
				call.holder, call.holder, lease)
			return
		}
	}
}

// reporter returns the machine that sent the last usage report, if it runs.
func (f *fleet) reporter() (*machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.fencedCalls); n > 0 {
		if m := f.machines[f.fencedCalls[n-1].holder]; m != nil && m.stop != nil {
			return m, nil
		}
	}
	return nil, errors.New("no running machine sent the last usage report")
}

// setPlatformFault is `platform ok|busy|reset|lost`: sets how the platform answers later usage
// reports: it accepts them, answers 429, resets the connection, or accepts them and then resets the connection.
func (f *fleet) setPlatformFault(c simulation.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformFault = strings.TrimPrefix(c.Word(0), "ok")
	return nil
}

// listLeafs is `list ID...`: makes the platform list these leafs as ready.
func (f *fleet) listLeafs(c simulation.Command) error {
	f.setLeafStates(c.Words, leafReady)
	return nil
}

// drainLeafs is `drain ID...`: makes the platform list these leafs as draining.
func (f *fleet) drainLeafs(c simulation.Command) error {
	f.setLeafStates(c.Words, leafDraining)
	return nil
}

// unlistLeafs is `unlist ID...`: removes these leafs from the platform's list.
func (f *fleet) unlistLeafs(c simulation.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range c.Words {
		delete(f.leafStates, id)
	}
	return nil
}

// listManyLeafs is `list-many PREFIX N`: makes the platform list N leafs, PREFIX0 and so on, as ready.
func (f *fleet) listManyLeafs(c simulation.Command) error {
	f.setLeafStates(numberedLeafs(c.Word(0), c.Int(1)), leafReady)
	return nil
}

func (f *fleet) setLeafStates(ids []string, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.leafStates[id] = state
	}
}

// numberedLeafs returns count leaf IDs: the prefix and a number from 0 on.
func numberedLeafs(prefix string, count int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, prefix+strconv.Itoa(i))
	}
	return ids
}

// reportUnhealthy is `report-unhealthy NAMES PREFIX N`: makes these proxies report N leafs as unhealthy.
func (f *fleet) reportUnhealthy(c simulation.Command) error {
	f.reportHealth(c, false)
	return nil
}

// reportHealthy is `report-healthy NAMES PREFIX N`: makes these proxies report N leafs as healthy again.
func (f *fleet) reportHealthy(c simulation.Command) error {
	f.reportHealth(c, true)
	return nil
}

func (f *fleet) reportHealth(c simulation.Command, healthy bool) {
	for _, m := range f.machinesNamed(c.Word(0)) {
		for _, id := range numberedLeafs(c.Word(1), c.Int(2)) {
			report := distribution.HealthReport{EndpointID: id, Service: "s", Healthy: healthy}
			m.proxy.Upstreams.OnHealthChange(report)
		}
	}
}

// wantMarks is `want-marks N WITHIN`: waits up to WITHIN milliseconds until N leafs have an ejection mark on
// every proxy.
func (f *fleet) wantMarks(c simulation.Command) error {
	return f.waitUntil(c.Milliseconds(1), c.Word(0)+" leafs have an ejection mark on every proxy", func() bool {
		for _, m := range f.machines {
			if m.proxy != nil && len(m.proxy.Ejected()) != c.Int(0) {
				return false
			}
		}
		return true
	})
}

// wantList is `want-list WITHIN [at=]`: waits up to WITHIN milliseconds until every running proxy, or each of
// those named in at, has the platform's list.
func (f *fleet) wantList(c simulation.Command) error {
	machines := f.sortedMachines()
	if names := c.Options["at"]; names != "" {
		machines = f.machinesNamed(names)
	}
	return f.waitUntilNil(c.Milliseconds(0), "every proxy has the platform's list", func() error {
		f.mu.Lock()
		want := maps.Clone(f.leafStates)
		f.mu.Unlock()
		for _, m := range machines {
			if m.proxy == nil {
				continue
			}
			if got := listedStates(m); !maps.Equal(got, want) {
				return fmt.Errorf("%s has the leafs %v, want those that the platform lists: %v", m.name, got, want)
			}
		}
		return nil
	})
}

// listedStates returns the endpoint list of a proxy: leaf -> state.
func listedStates(m *machine) map[string]string {
	states := map[string]string{}
	for _, endpoint := range m.proxy.Endpoints() {
		states[endpoint.ID] = leafReady
		if endpoint.Draining {
			states[endpoint.ID] = leafDraining
		}
	}
	return states
}
