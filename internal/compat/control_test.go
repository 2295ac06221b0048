package compat_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"comethold/internal/controlplane"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"
	"comethold/internal/usage"
)

// controlNode is a control plane that consists of one node.
type controlNode struct {
	t         *testing.T
	settings  *settings.Settings
	server    *controlplane.Server
	operator  *httptest.Server
	internal  *httptest.Server
	datagrams net.PacketConn
}

// startControlNode starts a control node with the data directory dir. Its only outgoing connections
// are to the platform; if platform is nil, it has none.
func startControlNode(t *testing.T, dir string, firstStart bool, platform *httptest.Server) *controlNode {
	t.Helper()
	set := &settings.Settings{
		NodeName:          "n1",
		IPAddress:         address,
		AvailabilityZone:  "z1",
		RegionName:        "r",
		HeartbeatMs:       1200,
		InternalPortRange: []int{7120, 7135},
		SeedNodes:         []string{address + ":7120"},
		FirstStart:        firstStart,
		DataDirectory:     dir,
		Bounds: settings.Bounds{
			DrainMs:        3000,
			GracePeriodS:   6,
			QuotaWindowS:   5,
			QuotaOvershoot: 0.1,
			QuotaSlack:     20,
		},
	}
	if platform != nil {
		set.Platform = settings.Platform{
			Address:                "10.200.0.1:80",
			RatePerS:               50,
			SingletonRoles:         []string{settings.UsageReportingRole},
			SingletonRoleCallsPerS: 50,
		}
		set.Bounds.LeaseMs = 3000
		set.Bounds.UsageWindowS = 1
		set.Bounds.UsageDelayS = 4
	}
	network := platformOnly(set.Platform.Address, platform)
	server := controlplane.New(set, logging.Nop(), network, storage.LocalDisk{})
	datagrams, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &controlNode{
		t:         t,
		settings:  set,
		server:    server,
		operator:  httptest.NewServer(server.OperatorHandler()),
		internal:  httptest.NewServer(server.InternalHandler()),
		datagrams: datagrams,
	}
	go func() { _ = server.Run() }()
	go func() { _ = server.ServeDatagrams(datagrams) }()
	return c
}

// platformOnly returns a network on which only connections to address succeed. They go to platform;
// if it is nil, every connection fails.
func platformOnly(address string, platform *httptest.Server) rpc.Network {
	return func(time.Duration, time.Duration) rpc.DialFunc {
		return func(ctx context.Context, network, to string) (net.Conn, error) {
			if platform == nil || to != address {
				return nil, net.ErrClosed
			}
			return (&net.Dialer{}).DialContext(ctx, network, platform.Listener.Addr().String())
		}
	}
}

func (c *controlNode) stop() {
	c.server.Stop()
	c.operator.Close()
	c.internal.Close()
	_ = c.datagrams.Close()
}

// callOperator calls a path of the operator handler, with GET if the body is empty and otherwise with
// POST. It sends the call up to 600 times while the status is 503 (the control plane isn't ready).
func (c *controlNode) callOperator(path, base, body string) (status int, response []byte) {
	c.t.Helper()
	for range 600 {
		method := http.MethodPost
		if body == "" {
			method = http.MethodGet
		}
		req, err := http.NewRequestWithContext(c.t.Context(), method, c.operator.URL+path, strings.NewReader(body))
		if err != nil {
			c.t.Fatal(err)
		}
		req.Header.Set("X-Comethold-Base-Version", base)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			c.t.Fatal(err)
		}
		response, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			c.t.Fatal(err)
		}
		if status = resp.StatusCode; status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, response
}

// wantStatus calls a path of the operator handler and fails the test if the response has another status.
func (c *controlNode) wantStatus(status int, path, base, body string) []byte {
	c.t.Helper()
	got, response := c.callOperator(path, base, body)
	if got != status {
		c.t.Fatalf("%s with the body %q returned %d %s, want %d", path, body, got, response, status)
	}
	return response
}

// requestUpdate returns the update that the control plane sends on a request.
func (c *controlNode) requestUpdate(request distribution.UpdateRequest) distribution.Update {
	c.t.Helper()
	var out distribution.Update
	c.callInternal("/feed", &request, &out)
	return out
}

// callInternal calls a path of the internal handler, as other processes of the system do.
func (c *controlNode) callInternal(path string, request, response any) {
	c.t.Helper()
	client := rpc.NewClient(rpc.TCPNetwork)
	err := client.Call(c.t.Context(), c.internal.Listener.Addr().String(), path, request, response)
	if err != nil {
		c.t.Fatalf("the internal call %s failed: %v", path, err)
	}
}

// waitForUpdate requests updates until one of them meets a condition, up to 600 times.
func (c *controlNode) waitForUpdate(want string, matches func(distribution.Update) bool) distribution.Update {
	c.t.Helper()
	var u distribution.Update
	for range 600 {
		if u = c.requestUpdate(distribution.UpdateRequest{Node: distribution.Node{Zone: "z1"}, Immediate: true}); matches(u) {
			return u
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("no update with %s after 600 requests; the last is %+v", want, u)
	return u
}

// claimShare requests a share from a table for the node n2, which holds none.
func (c *controlNode) claimShare(table distribution.ShareTable, number uint64) {
	c.t.Helper()
	request := distribution.ShareRequest{
		Node:      "n2",
		HoldsNone: true,
		Table:     table,
		Number:    distribution.RequestNumber{Incarnation: 9, Sequence: number},
	}
	c.callInternal("/claim", &request, nil)
}

// sendUsageCounts sends usage reports of a node for 6 s, long enough that the control node writes
// their counts to disk.
func (c *controlNode) sendUsageCounts() {
	c.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(c.t.Context(), "udp4", c.datagrams.LocalAddr().String())
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for seq := range uint64(20) {
		window := usage.WindowAt(time.Now(), c.settings.Bounds.UsageWindow())
		msg, err := rpc.Marshal(&distribution.Datagram{
			UsageReport: &usage.CountReport{
				Incarnation: 9,
				Sequence:    seq + 1,
				Windows:     usage.Windows{window: usage.Counts{"t": seq + 1}},
			},
		})
		if err != nil {
			c.t.Fatal(err)
		}
		if _, err := conn.Write(msg); err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// waitForFencingTokens waits until two singleton roles other than usage reporting, which isn't configured
// after the restart, have fencing tokens above 1, the recorded value.
func (c *controlNode) waitForFencingTokens() {
	c.t.Helper()
	var response struct {
		Duties []struct {
			Duty  string `json:"duty"`
			Fence uint64 `json:"fence"`
		} `json:"duties"`
	}
	for range 600 {
		if err := json.Unmarshal(c.wantStatus(http.StatusOK, "/Duties.Read", "", ""), &response); err != nil {
			c.t.Fatal(err)
		}
		renewed := 0
		for _, d := range response.Duties {
			if d.Fence > 1 && d.Duty != settings.UsageReportingRole {
				renewed++
			}
		}
		if renewed == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("after 600 requests, fewer than two singleton roles have fencing tokens above 1: %+v", response)
}
