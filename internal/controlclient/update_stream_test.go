package controlclient

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// testControlPlane serves one configuration at several addresses. It sends no response to long polls
// of nodes that hold the configuration.
type testControlPlane struct {
	port  int
	hosts []string
	polls chan string // receives the host of each long poll that starts
}

func startTestControlPlane(t *testing.T, hosts ...string) *testControlPlane {
	t.Helper()
	p := &testControlPlane{hosts: hosts, polls: make(chan string, 16)}
	for _, host := range hosts {
		var config net.ListenConfig
		listener, err := config.Listen(t.Context(), "tcp4", net.JoinHostPort(host, strconv.Itoa(p.port)))
		if err != nil {
			t.Skip("this machine can't listen on the loopback addresses of the test:", err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		address, ok := listener.Addr().(*net.TCPAddr)
		if !ok {
			t.Fatalf("listener address is %v, want a TCP address", listener.Addr())
		}
		p.port = address.Port
		go func() { _ = http.Serve(listener, p.handler(t, host)) }()
	}
	return p
}

func (p *testControlPlane) handler(t *testing.T, host string) http.HandlerFunc {
	t.Helper()
	raw := []byte(`{"version":1,"routes":[],"services":[],"limits":{}}`)
	return func(w http.ResponseWriter, r *http.Request) {
		var request distribution.UpdateRequest
		if err := rpc.DecodeRequest(r.Body, &request); err != nil {
			t.Error("decoding an update request, want no error, got:", err)
		}
		if request.Held.ConfigVersion == 1 && !request.Immediate {
			p.polls <- host
			<-r.Context().Done()
			return
		}
		config, _ := routing.Decode(raw)
		encoded, _ := rpc.Marshal(&distribution.Update{Config: distribution.FullConfig(config)})
		_, _ = w.Write(rpc.EncodeBody(encoded))
	}
}

// nextPoll waits for the next long poll and returns its host.
func (p *testControlPlane) nextPoll(t *testing.T) string {
	t.Helper()
	select {
	case host := <-p.polls:
		return host
	case <-time.After(5 * time.Second):
		t.Fatal("no long poll started within 5 s, want one")
		return ""
	}
}

// TestSwitchSourceIsRateLimited checks that SwitchSource cancels the open poll and polls another
// control node. It guards against repeated switches within minSwitchInterval.
func TestSwitchSourceIsRateLimited(t *testing.T) {
	p := startTestControlPlane(t, "127.0.0.1", "127.0.0.2")
	set := &settings.Settings{
		NodeName:          "n1",
		IPAddress:         "127.0.0.9",
		AvailabilityZone:  "a",
		RegionName:        "r",
		InternalPortRange: []int{p.port, p.port + 3},
		SeedNodes:         []string{p.hosts[0] + ":1", p.hosts[1] + ":1"},
	}
	c := New(Options{Settings: set, Log: logging.Nop(), Program: settings.DataPlane, Network: rpc.TCPNetwork})
	defer c.Close()
	go func() { _ = c.RunUpdates() }()
	first := p.nextPoll(t)
	c.SwitchSource()
	if second := p.nextPoll(t); second == first {
		t.Errorf("%s is polled again after SwitchSource, want another control node", first)
	}
	c.SwitchSource()
	select {
	case host := <-p.polls:
		t.Errorf("%s is polled immediately after a second SwitchSource, want no new poll", host)
	case <-time.After(minSwitchInterval / 3):
	}
}

// newTestClient returns a client whose only control node is server.
func newTestClient(t *testing.T, server *httptest.Server) *Client {
	t.Helper()
	address, ok := server.Listener.Addr().(*net.TCPAddr)
	if !ok {
		t.Fatalf("server address is %v, want a TCP address", server.Listener.Addr())
	}
	set := &settings.Settings{
		NodeName:          "n1",
		IPAddress:         "127.0.0.9",
		AvailabilityZone:  "a",
		RegionName:        "r",
		InternalPortRange: []int{address.Port, address.Port + 3},
		SeedNodes:         []string{"127.0.0.1:1"},
	}
	return New(Options{Settings: set, Log: logging.Nop(), Program: settings.DataPlane, Network: rpc.TCPNetwork})
}

// TestCloseCancelsFirstPolls guards against a shutdown that waits for the time-outs of first polls
// without a response: Close must cancel them, and RunUpdates waits only for their goroutines.
func TestCloseCancelsFirstPolls(t *testing.T) {
	polled := make(chan struct{}, 16)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after this
		polled <- struct{}{}
		<-r.Context().Done()
	}))
	defer server.Close()
	c := newTestClient(t, server)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = c.RunUpdates()
	}()
	<-polled
	c.Close()
	select {
	case <-stopped:
	case <-time.After(firstPollTimeout / 2):
		t.Error("RunUpdates did not return within half of firstPollTimeout after Close")
	}
}

// TestSlowResponseIsReadToItsEnd guards against a poll that is cancelled while its response arrives slowly,
// so that the node requests the same response repeatedly and never gets a configuration.
func TestSlowResponseIsReadToItsEnd(t *testing.T) {
	const parts = 10
	config, _ := routing.Decode([]byte(`{"version":1,"routes":[],"services":[],"limits":{}}`))
	encoded, _ := rpc.Marshal(&distribution.Update{Config: distribution.FullConfig(config)})
	body := rpc.EncodeUncompressedBody(encoded)
	var polls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if polls.Add(1) > 1 {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		for part := range parts {
			_, _ = w.Write(body[part*len(body)/parts : (part+1)*len(body)/parts])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * pollTimeout / parts)
		}
	}))
	defer server.Close()
	c := newTestClient(t, server)
	defer c.Close()
	go func() { _ = c.RunUpdates() }()
	for deadline := time.Now().Add(3 * pollTimeout); c.RouteTable() == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no configuration within three times pollTimeout; the server received %d polls", polls.Load())
		}
	}
}
