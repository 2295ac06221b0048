package metering

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/usage"
)

// TestReportAddsUpAllNodes: a report holds what all control nodes know, each count of an
// incarnation once, and is made once.
func TestReportAddsUpAllNodes(t *testing.T) {
	f := newFixture(t, "")
	f.record(5)
	f.peers.counts = usage.IncarnationCounts{6: usage.Counts{tenant: 7}, 8: usage.Counts{tenant: 1}}
	for range 2 {
		f.commitReports(window+1, reportDelay/2)
		f.wantReports(1)
		f.wantReport(window, usage.Counts{tenant: 8})
		f.record(100) // too late
	}
}

// TestReportWaitsForNodes: a report is not made at once, and not without control nodes that
// don't answer until it is nearly due; those that are down are not waited for.
func TestReportWaitsForNodes(t *testing.T) {
	missing := map[string]distribution.Node{"n3": {Addr: "10.0.0.3", ControlPlane: true}}
	down := map[string]distribution.Node{"n3": {Addr: "10.0.0.3", ControlPlane: true, Down: true}}
	for _, c := range []struct {
		name        string
		age         time.Duration
		nodes       map[string]distribution.Node
		peerAnswers bool
		want        int
	}{
		{"at the window's end", 0, nil, true, 0},
		{"when all answer", reportDelay * 3 / 10, nil, true, 1},
		{"when one does not answer", reportDelay / 2, nil, false, 0},
		{"nearly due when one does not answer", reportDelay * 7 / 10, nil, false, 1},
		{"when one is not live", reportDelay / 2, missing, true, 0},
		{"when one is down", reportDelay / 2, down, true, 1},
	} {
		f := newFixture(t, "")
		f.record(1)
		f.nodes = c.nodes
		if !c.peerAnswers {
			f.peers.counts = nil
		}
		f.commitReports(window+1, c.age)
		if got := len(f.reporter.rows()); got != c.want {
			t.Errorf("%s: %d reports, not %d", c.name, got, c.want)
		}
	}
}

// TestEachWindowIsReported: after the first report there is one for each window, also for
// those without counts, as far back as the backlog reaches.
func TestEachWindowIsReported(t *testing.T) {
	f := newFixture(t, "")
	f.record(1)
	f.commitReports(window+1, reportDelay)
	f.commitReports(window+4, reportDelay)
	f.wantReports(4)
	f.wantReport(window+2, usage.Counts{})
	f.commitReports(window+1000, reportDelay)
	f.wantReports(4 + maxBacklogWindows)
}

// TestNoReportWithoutLease: a node that has lost the lease commits nothing.
func TestNoReportWithoutLease(t *testing.T) {
	f := newFixture(t, "")
	f.record(1)
	f.lease.Forfeit()
	f.commitReports(window+1, reportDelay)
	f.wantReports(0)
}

// recordingPlatform takes reports and answers with a status.
type recordingPlatform struct {
	mu     sync.Mutex // guards the fields below
	status int
	calls  []string // fencing token and window of each
}

func (p *recordingPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, fmt.Sprint(r.Header.Get(fencingTokenHeader), " ", string(body)))
	w.WriteHeader(p.status)
}

// startPlatform returns a platform and its address.
func startPlatform(t *testing.T, status int) (*recordingPlatform, string) {
	t.Helper()
	platform := &recordingPlatform{status: status}
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	return platform, strings.TrimPrefix(server.URL, "http://")
}

// callNow lets the next call be made at once, whatever came of the last.
func (f *fixture) callNow() {
	f.reporter.options.Platform.nextCallAt = time.Time{}
}

// TestReportsAreSentInOrder: reports are sent oldest first and recorded as published.
func TestReportsAreSentInOrder(t *testing.T) {
	platform, address := startPlatform(t, http.StatusOK)
	f := newFixture(t, address)
	f.record(1)
	f.commitReports(window+3, reportDelay)
	for range 3 {
		f.callNow()
		f.reporter.sendReports(t.Context(), f.lease.term)
	}
	var want []string
	for i := range uint64(3) {
		counts := usage.Counts{}
		if i == 0 {
			counts[tenant] = 1
		}
		want = append(want, "1 "+string(usage.EncodeReport(window+i, counts)))
	}
	if !slices.Equal(platform.calls, want) {
		t.Errorf("the calls are %q, not %q", platform.calls, want)
	}
	published := []outbox.State{outbox.Published, outbox.Published, outbox.Published}
	if got := f.states(); !slices.Equal(got, published) {
		t.Errorf("the reports are %v", got)
	}
}

// TestSuccessorSendsTheSameBytes: a report that a former holder has committed is sent as it
// is, under the term of the new holder.
func TestSuccessorSendsTheSameBytes(t *testing.T) {
	platform, address := startPlatform(t, http.StatusOK)
	f := newFixture(t, address)
	f.record(1)
	f.commitReports(window+1, reportDelay)
	f.record(9)
	f.lease.term = 2
	f.reporter.sendReports(t.Context(), f.lease.term)
	want := "2 " + string(usage.EncodeReport(window, usage.Counts{tenant: 1}))
	if !slices.Equal(platform.calls, []string{want}) {
		t.Errorf("the calls are %q, not %q", platform.calls, want)
	}
	if got := f.states(); !slices.Equal(got, []outbox.State{outbox.Published}) {
		t.Errorf("the reports are %v", got)
	}
}

// TestRefusedReportIsSentAgain: a report that the platform refuses stays, and a call that
// another holder has overtaken ends the lease.
func TestRefusedReportIsSentAgain(t *testing.T) {
	for status, wantForfeited := range map[int]bool{
		http.StatusInternalServerError: false,
		http.StatusConflict:            true,
	} {
		platform, address := startPlatform(t, status)
		f := newFixture(t, address)
		f.record(1)
		f.commitReports(window+1, reportDelay)
		f.reporter.sendReports(t.Context(), 1)
		f.reporter.sendReports(t.Context(), 1) // too early
		if len(platform.calls) != 1 || f.lease.forfeited != wantForfeited {
			t.Errorf("%d: %d calls, forfeited %v", status, len(platform.calls), f.lease.forfeited)
		}
		if got := f.states(); !slices.Equal(got, []outbox.State{outbox.Claimed}) {
			t.Errorf("%d: the reports are %v", status, got)
		}
	}
}
