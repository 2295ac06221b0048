package controlclient

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// TestSwitchSource: a node keeps to one registrar while that one feeds it; told that
// others know more, it gives up the call that waits there and asks another.
func TestSwitchSource(t *testing.T) {
	raw := []byte(`{"version":1,"routes":[],"services":[],"limits":{}}`)
	waits := make(chan string, 16)
	hosts := []string{"127.0.0.1", "127.0.0.2"}
	port := 0
	for _, h := range hosts {
		l, err := net.Listen("tcp4", net.JoinHostPort(h, strconv.Itoa(port)))
		if err != nil {
			t.Skip("needs two addresses of this machine:", err)
		}
		defer l.Close()
		port = l.Addr().(*net.TCPAddr).Port
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var call distribution.UpdateRequest
				if err := rpc.DecodeRequest(r.Body, &call); err != nil {
					t.Error(err)
				}
				if call.Held.ConfigVersion == 1 && !call.Immediate {
					waits <- h
					<-r.Context().Done()
					return
				}
				cfg, _ := routing.Decode(raw)
				b, _ := rpc.Marshal(&distribution.Update{Config: distribution.FullConfig(cfg)})
				_, _ = w.Write(rpc.EncodeBody(b))
			}))
		}()
	}
	set := &settings.Settings{NodeName: "n1", IPAddress: "127.0.0.9", AvailabilityZone: "a", RegionName: "r",
		InternalPortRange: []int{port, port + 3}, SeedNodes: []string{hosts[0] + ":1", hosts[1] + ":1"}}
	o := New(set, logging.Nop(), settings.DataPlane, rpc.TCPNetwork)
	defer o.Close()
	go func() { _ = o.RunUpdates() }()
	next := func() string {
		select {
		case h := <-waits:
			return h
		case <-time.After(5 * time.Second):
			t.Fatal("no registrar is asked")
			return ""
		}
	}
	first := next()
	o.SwitchSource()
	if second := next(); second == first {
		t.Errorf("%s is asked again", first)
	}
	o.SwitchSource() // at once again: it stays
	select {
	case h := <-waits:
		t.Errorf("%s is asked at once", h)
	case <-time.After(minSwitchInterval / 3):
	}
}
