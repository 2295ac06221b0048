package controlplane

import (
	"net"
	"sync"
	"time"

	"comethold/internal/controlplane/allocation"
	"comethold/internal/distribution"
	"comethold/internal/rpc"
	"comethold/internal/usage"
)

const (
	datagramReaders        = 2 // goroutines that read from the socket
	maxDatagramSize        = 64 << 10
	datagramReadRetryDelay = 20 * time.Millisecond // after a failed read
)

// countReceiver records the counts of requests that data plane nodes report.
type countReceiver interface {
	Record(report *usage.CountReport) *usage.CountAck
}

// datagramServer answers datagrams of data plane nodes and control nodes on one socket.
type datagramServer struct {
	conn     net.PacketConn
	tokens   *allocation.TokenServer
	borrower *allocation.Borrower
	counts   countReceiver
	stopping <-chan struct{}
}

// ServeDatagrams answers datagrams on conn once the storage is open. After Stop it closes conn and
// returns.
func (s *Server) ServeDatagrams(conn net.PacketConn) error {
	select {
	case <-s.ready:
	case <-s.quit:
		return conn.Close()
	}
	server := &datagramServer{
		conn:     conn,
		tokens:   s.quotas.tokens,
		borrower: s.quotas.borrower,
		counts:   s.usage.collector,
		stopping: s.quit,
	}
	return server.run()
}

func (s *datagramServer) run() error {
	var readers sync.WaitGroup
	for range datagramReaders {
		readers.Go(s.readLoop)
	}
	<-s.stopping
	err := s.conn.Close()
	readers.Wait()
	s.tokens.Close()
	return err
}

func (s *datagramServer) readLoop() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if err != nil {
			select {
			case <-s.stopping:
				return
			case <-time.After(datagramReadRetryDelay):
			}
			continue
		}
		var datagram distribution.Datagram
		if rpc.Unmarshal(buffer[:n], &datagram) == nil {
			s.handle(&datagram, from)
		}
	}
}

func (s *datagramServer) handle(datagram *distribution.Datagram, from net.Addr) {
	switch {
	case datagram.TokenGrant != nil:
		s.borrower.ReceiveGrant(datagram.TokenGrant)
	case datagram.UsageReport != nil:
		s.SendDatagram(from, &distribution.Datagram{UsageAck: s.counts.Record(datagram.UsageReport)})
	case datagram.TokenRequest != nil:
		s.tokens.Answer(datagram.TokenRequest, from, s)
	}
}

// SendDatagram sends a datagram. Errors are ignored, since datagrams may be lost anyway.
func (s *datagramServer) SendDatagram(to net.Addr, datagram *distribution.Datagram) {
	if raw, err := rpc.Marshal(datagram); err == nil {
		_, _ = s.conn.WriteTo(raw, to)
	}
}
