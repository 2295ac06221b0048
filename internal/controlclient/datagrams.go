package controlclient

import (
	"net"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/quota"
	"comethold/internal/rpc"
	"comethold/internal/usage"
)

const (
	maxDatagramBytes  = 16 << 10
	receiveRetryPause = 50 * time.Millisecond // after a read error
)

// datagramSocket sends datagrams, and passes received datagrams to callbacks.
type datagramSocket struct {
	onTokenGrant func(*quota.TokenGrant) // set before open
	onUsageAck   func(*usage.CountAck)   // set before open

	mu   sync.Mutex // guards the field below
	conn net.PacketConn
}

func newDatagramSocket() *datagramSocket {
	return &datagramSocket{
		onTokenGrant: func(*quota.TokenGrant) {},
		onUsageAck:   func(*usage.CountAck) {},
	}
}

// open sets the connection that send uses.
func (s *datagramSocket) open(conn net.PacketConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// send sends a datagram. The datagram may be lost, and is dropped if open has not been called.
func (s *datagramSocket) send(to net.Addr, d *distribution.Datagram) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return
	}
	if encoded, err := rpc.Marshal(d); err == nil {
		_, _ = conn.WriteTo(encoded, to) // receivers tolerate lost datagrams
	}
}

// receive passes the datagrams received on conn to their callbacks. It returns on the first read
// error after done is closed, so the caller must close conn to stop it. Invalid datagrams are
// dropped.
func (s *datagramSocket) receive(conn net.PacketConn, onHeartbeat func(node string), done <-chan struct{}) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			select {
			case <-done:
				return
			case <-time.After(receiveRetryPause):
			}
			continue
		}
		var d distribution.Datagram
		if rpc.Unmarshal(buffer[:n], &d) != nil {
			continue
		}
		switch {
		case d.TokenGrant != nil:
			s.onTokenGrant(d.TokenGrant)
		case d.UsageAck != nil:
			s.onUsageAck(d.UsageAck)
		case d.Heartbeat != "":
			onHeartbeat(d.Heartbeat)
		}
	}
}
