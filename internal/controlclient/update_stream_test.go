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

// testControlPlane serves one configuration at some addresses, and then holds long polls
// open.
type testControlPlane struct {
	port  int
	hosts []string
	polls chan string // the hosts at which long polls began
}

func startTestControlPlane(t *testing.T, hosts ...string) *testControlPlane {
	t.Helper()
	p := &testControlPlane{hosts: hosts, polls: make(chan string, 16)}
	for _, host := range hosts {
		var config net.ListenConfig
		listener, err := config.Listen(t.Context(), "tcp4", net.JoinHostPort(host, strconv.Itoa(p.port)))
		if err != nil {
			t.Skip("needs two addresses of this machine:", err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		address, ok := listener.Addr().(*net.TCPAddr)
		if !ok {
			t.Fatalf("the listener has the address %v", listener.Addr())
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
			t.Error(err)
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
		t.Fatal("no control node is polled")
		return ""
	}
}

// TestSwitchSource: a node keeps to one control node while that one sends updates. When
// others hold newer state, it ends the poll that waits there and polls another, but not
// again at once.
func TestSwitchSource(t *testing.T) {
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
		t.Errorf("%s is polled again", first)
	}
	c.SwitchSource()
	select {
	case host := <-p.polls:
		t.Errorf("%s is polled at once", host)
	case <-time.After(minSwitchInterval / 3):
	}
}

// newClientOf makes a client that has a server as its only control node.
func newClientOf(t *testing.T, server *httptest.Server) *Client {
	t.Helper()
	address, ok := server.Listener.Addr().(*net.TCPAddr)
	if !ok {
		t.Fatalf("the server has the address %v", server.Listener.Addr())
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

// TestCloseDuringFirstPolls: a node that ends while its first polls get no answer ends at once:
// it waits for their goroutines, not for their time-outs.
func TestCloseDuringFirstPolls(t *testing.T) {
	polled := make(chan struct{}, 16)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then the end of the connection is noticed
		polled <- struct{}{}
		<-r.Context().Done()
	}))
	defer server.Close()
	c := newClientOf(t, server)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.RunUpdates()
	}()
	<-polled
	c.Close()
	select {
	case <-ended:
	case <-time.After(firstPollTimeout / 2):
		t.Error("the end waits for polls that get no answer")
	}
}

// TestPollOfSlowAnswer guards against polls that give up an answer which arrives slowly, and ask
// for it again and again.
func TestPollOfSlowAnswer(t *testing.T) {
	const parts = 10
	config, _ := routing.Decode([]byte(`{"version":1,"routes":[],"services":[],"limits":{}}`))
	encoded, _ := rpc.Marshal(&distribution.Update{Config: distribution.FullConfig(config)})
	body := rpc.EncodeUncompressedBody(encoded)
	var answers atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if answers.Add(1) > 1 {
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
	c := newClientOf(t, server)
	defer c.Close()
	go func() { _ = c.RunUpdates() }()
	for end := time.Now().Add(3 * pollTimeout); c.RouteTable() == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no configuration; %d polls were answered", answers.Load())
		}
	}
}
