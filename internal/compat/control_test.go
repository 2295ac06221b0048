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

// control is a system of a single control node.
type control struct {
	t         *testing.T
	settings  *settings.Settings
	process   *controlplane.Server
	operator  *httptest.Server
	internal  *httptest.Server
	datagrams net.PacketConn
}

// start runs a control plane on a data directory. It can call the platform only.
func start(t *testing.T, dir string, first bool, platform *httptest.Server) *control {
	t.Helper()
	set := &settings.Settings{
		NodeName:          "n1",
		IPAddress:         address,
		AvailabilityZone:  "z1",
		RegionName:        "r",
		HeartbeatMs:       1200,
		InternalPortRange: []int{7120, 7135},
		SeedNodes:         []string{address + ":7120"},
		FirstStart:        first,
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
			Address:    "10.200.0.1:80",
			RatePerS:   50,
			Duties:     []string{settings.UsageReportingDuty},
			DutiesPerS: 50,
		}
		set.Bounds.LeaseMs = 3000
		set.Bounds.UsageWindowS = 1
		set.Bounds.UsageDelayS = 4
	}
	network := platformOnly(set.Platform.Address, platform)
	process := controlplane.New(set, logging.Nop(), network, storage.LocalDisk{})
	datagrams, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &control{
		t:         t,
		settings:  set,
		process:   process,
		operator:  httptest.NewServer(process.OperatorHandler()),
		internal:  httptest.NewServer(process.InternalHandler()),
		datagrams: datagrams,
	}
	go func() { _ = process.Run() }()
	go func() { _ = process.ServeDatagrams(datagrams) }()
	return c
}

// platformOnly is a network on which only the platform answers, if there is one.
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

func (c *control) stop() {
	c.process.Stop()
	c.operator.Close()
	c.internal.Close()
	_ = c.datagrams.Close()
}

// order makes an operator's call, and repeats it on 503 until the control plane is ready.
func (c *control) order(path, base, body string) (status int, answer []byte) {
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
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			c.t.Fatal(err)
		}
		if status = resp.StatusCode; status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, answer
}

// want makes an operator's call that must have this status.
func (c *control) want(status int, path, base, body string) []byte {
	c.t.Helper()
	got, answer := c.order(path, base, body)
	if got != status {
		c.t.Fatalf("%s %s: %d %s, not %d", path, body, got, answer, status)
	}
	return answer
}

// update returns the update that the control plane sends to a node without any state.
func (c *control) update(call distribution.UpdateRequest) distribution.Update {
	c.t.Helper()
	var out distribution.Update
	c.call("/feed", &call, &out)
	return out
}

// call makes a call as another process of the system does.
func (c *control) call(path string, request, answer any) {
	c.t.Helper()
	client := rpc.NewClient(rpc.TCPNetwork)
	err := client.Call(c.t.Context(), c.internal.Listener.Addr().String(), path, request, answer)
	if err != nil {
		c.t.Fatalf("%s: %v", path, err)
	}
}

// until waits for an update that meets a condition.
func (c *control) until(what string, fits func(distribution.Update) bool) distribution.Update {
	c.t.Helper()
	var n distribution.Update
	for range 600 {
		if n = c.update(distribution.UpdateRequest{Node: distribution.Node{Zone: "z1"}, Immediate: true}); fits(n) {
			return n
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("no %s: %+v", what, n)
	return n
}

// claim renews a node's share lease.
func (c *control) claim(table distribution.ShareTable, number uint64) {
	c.t.Helper()
	request := distribution.ShareRequest{
		Node:      "n2",
		HoldsNone: true,
		Table:     table,
		Number:    distribution.RequestNumber{Incarnation: 9, Sequence: number},
	}
	c.call("/claim", &request, nil)
}

// count sends counts of a tenant like a node, for long enough that they are written to disk.
func (c *control) count() {
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

// waitForFences waits until the leases were acquired with fencing tokens higher than the recorded
// ones.
func (c *control) waitForFences() {
	c.t.Helper()
	var v struct {
		Duties []struct {
			Duty  string `json:"duty"`
			Fence uint64 `json:"fence"`
		} `json:"duties"`
	}
	for range 600 {
		if err := json.Unmarshal(c.want(http.StatusOK, "/Duties.Read", "", ""), &v); err != nil {
			c.t.Fatal(err)
		}
		on := 0
		for _, d := range v.Duties {
			if d.Fence > 1 && d.Duty != settings.UsageReportingDuty {
				on++
			}
		}
		if on == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("the fencing tokens don't go on: %+v", v)
}
