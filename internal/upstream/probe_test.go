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

// TestProbes: the probation of an ejected endpoint begins when the expected instance answers
// a health check with any status, or when there is no health check. A successful call then
// reinstates the endpoint.
func TestProbes(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		instance string
		status   int
		recovers bool
	}{
		{"expected instance, status 200", "/health", "l", http.StatusOK, true},
		{"expected instance, status 500", "/health", "l", http.StatusInternalServerError, true},
		{"another instance", "/health", "other", http.StatusOK, false},
		{"no health check", "", "l", http.StatusOK, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/health" {
					w.Header().Set(HeaderInstanceID, c.instance)
					w.WriteHeader(c.status)
				}
			}))
			t.Cleanup(server.Close)
			m := newTestManager(server.Listener.Addr().String())
			m.SetServices(nil, map[string]string{"s": c.path})
			reports := make(chan distribution.HealthReport, 2)
			m.OnHealthChange = func(report distribution.HealthReport) { reports <- report }
			ejectEndpoint(m)
			if report := <-reports; report.Healthy || report.EndpointID != "l" {
				t.Fatalf("report after the ejection is %+v, want one of the unhealthy endpoint l", report)
			}
			timeout := 2 * baseEjectionTime
			if c.recovers {
				timeout = 10 * time.Second
			}
			endpoint := reserveWithin(m, timeout)
			if (endpoint != nil) != c.recovers {
				t.Fatalf("Reserve returned endpoint %v, want one returned: %v", endpoint, c.recovers)
			}
			if !c.recovers {
				return
			}
			request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Deadline: time.Now().Add(time.Second)}
			if response, err := m.Call(t.Context(), endpoint, request); err != nil || response.Status != http.StatusOK {
				t.Fatalf("Call returned %+v, %v, want status 200", response, err)
			}
			if report := <-reports; !report.Healthy {
				t.Errorf("report after a successful call is %+v, want Healthy", report)
			}
		})
	}
}

// ejectEndpoint ejects the endpoint l.
func ejectEndpoint(m *ClusterManager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outliers.eject(m.endpoints["l"], "test")
}

// reserveWithin retries Reserve until it returns an endpoint. It returns nil after the
// timeout.
func reserveWithin(m *ClusterManager, timeout time.Duration) *Endpoint {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if endpoint := m.Reserve("s", nil, false); endpoint != nil {
			return endpoint
		}
	}
	return nil
}

// TestReservations: a reservation counts as an active call until Release ends it.
func TestReservations(t *testing.T) {
	m := NewClusterManager(testLocality("n1", "a"), nil, logging.Nop())
	m.SetServices(map[string]int{"s": 2}, nil)
	m.SetEndpoints(endpointsAcross([]string{"a"}, 1))
	first := m.Reserve("s", nil, false)
	if first == nil || m.Reserve("s", []*Endpoint{first}, false) != nil || m.Reserve("other", nil, false) != nil {
		t.Fatal("Reserve returned no endpoint, an endpoint already tried, or one for an unknown service")
	}
	if m.Contended(first) {
		t.Error("Contended is true with one active call")
	}
	second := m.Reserve("s", nil, false)
	if second != first || !m.Contended(first) {
		t.Error("second Reserve returned another endpoint, or Contended is false with two active calls")
	}
	if m.Reserve("s", nil, false) != nil {
		t.Error("Reserve returned an endpoint beyond its connection limit")
	}
	available, rates := m.Availability([]string{"s", "other"})
	if available != 0 || fmt.Sprint(rates) != "[1 1]" {
		t.Errorf("Availability returned %d, %v, want 0, [1 1]", available, rates)
	}
	m.Release(second)
	if available, _ := m.Availability([]string{"s", "other"}); available != 1 {
		t.Errorf("Availability after Release returned %d, want 1", available)
	}
	if m.Overloaded("s") || m.MeanLatency("s") != 0 {
		t.Error("Overloaded is true or MeanLatency is not 0 for a cluster without completed calls")
	}
}
