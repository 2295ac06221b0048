package upstream

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// TestProbes: an ejected endpoint goes on probation when the instance itself answers a
// health check, whatever its status, or when there is no health check; and a success
// then reinstates it.
func TestProbes(t *testing.T) {
	for _, c := range []struct {
		why      string
		path     string
		instance string
		status   int
		recovers bool
	}{
		{"the instance answers", "/health", "l", http.StatusOK, true},
		{"it answers that it is not well", "/health", "l", http.StatusInternalServerError, true},
		{"another instance answers", "/health", "other", http.StatusOK, false},
		{"there is no health check", "", "l", http.StatusOK, true},
	} {
		t.Run(c.why, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/health" {
					w.Header().Set(HeaderInstanceID, c.instance)
					w.WriteHeader(c.status)
				}
			}))
			t.Cleanup(server.Close)
			m := managerOf(server.Listener.Addr().String())
			m.SetServices(nil, map[string]string{"s": c.path})
			reports := make(chan distribution.HealthReport, 2)
			m.OnHealthChange = func(report distribution.HealthReport) { reports <- report }
			ejectFirst(m)
			if report := <-reports; report.Healthy || report.EndpointID != "l" {
				t.Fatalf("reported %+v", report)
			}
			patience := 2 * baseEjectionTime
			if c.recovers {
				patience = 10 * time.Second
			}
			endpoint := reserveWithin(m, patience)
			if (endpoint != nil) != c.recovers {
				t.Fatalf("reserved %v, want recovery %v", endpoint, c.recovers)
			}
			if !c.recovers {
				return
			}
			request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Deadline: time.Now().Add(time.Second)}
			if response, err := m.Call(t.Context(), endpoint, request); err != nil || response.Status != http.StatusOK {
				t.Fatalf("%+v, %v", response, err)
			}
			if report := <-reports; !report.Healthy {
				t.Errorf("reported %+v", report)
			}
		})
	}
}

// ejectFirst has the endpoint l ejected.
func ejectFirst(m *ClusterManager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outliers.eject(m.endpoints["l"], "test")
}

// reserveWithin reserves an endpoint as soon as one accepts a call, or returns nil.
func reserveWithin(m *ClusterManager, patience time.Duration) *Endpoint {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if endpoint := m.Reserve("s", nil, false); endpoint != nil {
			return endpoint
		}
	}
	return nil
}

// TestReservations: what is reserved counts until it is released or called.
func TestReservations(t *testing.T) {
	m := NewClusterManager(testLocality("n1", "a"), nil, logging.Nop())
	m.SetServices(map[string]int{"s": 2}, nil)
	m.SetEndpoints(endpointsAcross([]string{"a"}, 1))
	first := m.Reserve("s", nil, false)
	if first == nil || m.Reserve("s", []*Endpoint{first}, false) != nil || m.Reserve("other", nil, false) != nil {
		t.Fatal("the wrong endpoints are reserved")
	}
	if m.Contended(first) {
		t.Error("a single call is contended")
	}
	second := m.Reserve("s", nil, false)
	if second != first || !m.Contended(first) {
		t.Error("two calls are not contended")
	}
	if m.Reserve("s", nil, false) != nil {
		t.Error("more calls are reserved than the endpoint has connections")
	}
	available, rates := m.Availability([]string{"s", "other"})
	if available != 0 || fmt.Sprint(rates) != "[1 1]" {
		t.Errorf("%d are available, at %v", available, rates)
	}
	m.Release(second)
	if available, _ := m.Availability([]string{"s", "other"}); available != 1 {
		t.Errorf("%d are available after a release", available)
	}
	if m.Overloaded("s") || m.MeanLatency("s") != 0 {
		t.Error("a cluster without calls is overloaded or has a latency")
	}
}
