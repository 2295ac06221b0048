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

// TestReportAddsUpAllNodes guards against counts that are missing or counted twice: control nodes
// hold different counts of the same incarnation. A committed report must not change afterwards.
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

// TestReportWaitsForNodes guards against reports that are committed too late, or so early that
// they miss counts. Until 70% of reportDelay has passed, a report waits for control nodes that
// don't answer, but not for those that are marked as down.
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
		{"after 30% of the delay, all nodes answer", reportDelay * 3 / 10, nil, true, 1},
		{"after 50% of the delay, one node does not answer", reportDelay / 2, nil, false, 0},
		{"after 70% of the delay, one node does not answer", reportDelay * 7 / 10, nil, false, 1},
		{"after 50% of the delay, one node is not live", reportDelay / 2, missing, true, 0},
		{"after 50% of the delay, one node is down", reportDelay / 2, down, true, 1},
	} {
		f := newFixture(t, "")
		f.record(1)
		f.nodes = c.nodes
		if !c.peerAnswers {
			f.peers.counts = nil
		}
		f.commitReports(window+1, c.age)
		if got := len(f.reporter.rows()); got != c.want {
			t.Errorf("%s: %d reports are committed, want %d", c.name, got, c.want)
		}
	}
}

// TestEachWindowIsReported guards against gaps in the reports: after the first report each window
// gets one, even without counts. Windows more than maxBacklogWindows old are skipped.
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

// TestNoReportWithoutLease guards against reports of a node that has lost the lease.
func TestNoReportWithoutLease(t *testing.T) {
	f := newFixture(t, "")
	f.record(1)
	f.lease.Forfeit()
	f.commitReports(window+1, reportDelay)
	f.wantReports(0)
}

// recordingPlatform records calls and answers all with the same status.
type recordingPlatform struct {
	mu     sync.Mutex // guards the fields below
	status int
	calls  []string // fencing token and body of each
}

func (p *recordingPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, fmt.Sprint(r.Header.Get(fencingTokenHeader), " ", string(body)))
	w.WriteHeader(p.status)
}

// startPlatform starts a platform that answers with a status, and returns it and its address.
func startPlatform(t *testing.T, status int) (*recordingPlatform, string) {
	t.Helper()
	platform := &recordingPlatform{status: status}
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	return platform, strings.TrimPrefix(server.URL, "http://")
}

// skipCallDelay removes the delay before the next call.
func (f *fixture) skipCallDelay() {
	f.reporter.options.Platform.nextCallAt = time.Time{}
}

// TestReportsAreSentInOrder guards against reports that are sent out of order or twice: they are
// sent oldest first and recorded as published.
func TestReportsAreSentInOrder(t *testing.T) {
	platform, address := startPlatform(t, http.StatusOK)
	f := newFixture(t, address)
	f.record(1)
	f.commitReports(window+3, reportDelay)
	for range 3 {
		f.skipCallDelay()
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
		t.Errorf("the platform received the calls %q, want %q", platform.calls, want)
	}
	published := []outbox.State{outbox.Published, outbox.Published, outbox.Published}
	if got := f.states(); !slices.Equal(got, published) {
		t.Errorf("the reports are in states %v, want three that are published", got)
	}
}

// TestCommittedReportUnchangedAfterFailover guards against different reports of one window: counts
// that arrive after the commit must not change the report that the next lease holder sends.
// That holder sends the report under its own term.
func TestCommittedReportUnchangedAfterFailover(t *testing.T) {
	platform, address := startPlatform(t, http.StatusOK)
	f := newFixture(t, address)
	f.record(1)
	f.commitReports(window+1, reportDelay)
	f.record(9)
	f.lease.term = 2
	f.reporter.sendReports(t.Context(), f.lease.term)
	want := "2 " + string(usage.EncodeReport(window, usage.Counts{tenant: 1}))
	if !slices.Equal(platform.calls, []string{want}) {
		t.Errorf("the platform received the calls %q, want %q", platform.calls, want)
	}
	if got := f.states(); !slices.Equal(got, []outbox.State{outbox.Published}) {
		t.Errorf("the reports are in states %v, want one that is published", got)
	}
}

// TestRejectedReportIsKept guards against the loss of a report that the platform rejects: it stays
// claimed, and is not sent again before the backoff ends. A 409 Conflict answer, which means that
// another lease holder has called, makes the node give up the lease.
func TestRejectedReportIsKept(t *testing.T) {
	for status, wantForfeited := range map[int]bool{
		http.StatusInternalServerError: false,
		http.StatusConflict:            true,
	} {
		platform, address := startPlatform(t, status)
		f := newFixture(t, address)
		f.record(1)
		f.commitReports(window+1, reportDelay)
		f.reporter.sendReports(t.Context(), 1)
		f.reporter.sendReports(t.Context(), 1) // within the backoff: makes no call
		if len(platform.calls) != 1 || f.lease.forfeited != wantForfeited {
			t.Errorf("status %d: %d calls, want 1; lease forfeited: %v, want true only for status 409",
				status, len(platform.calls), f.lease.forfeited)
		}
		if got := f.states(); !slices.Equal(got, []outbox.State{outbox.Claimed}) {
			t.Errorf("status %d: the reports are in states %v, want one that is claimed", status, got)
		}
	}
}
