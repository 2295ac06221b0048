package simulation_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comethold/internal/simulation"
)

// Addresses of the proxy and its clients, and constants of their connections.
const (
	proxyHost        = "10.0.0.1"
	proxyAddress     = proxyHost + ":80"
	clientHost       = "10.250.0.1"
	noCompleteAnswer = "0" // counted as the status if the connection ends without a complete answer
	gracePeriodS     = 6
	noLossDraw       = 1 // drawn by the random source of a network that loses no packets
)

// clients are connections to the real server of a proxy, on a simulated network; they stay open between
// requests.
type clients struct {
	network       *network
	conns         map[string]net.Conn
	idleTimeoutMs int64 // idle time-out in the configuration, in milliseconds
}

// serveClients is `accept-connections`: starts a listener on which the proxy accepts connections.
func (p *dataPlane) serveClients(simulation.Command) error {
	p.clients.network = newNetwork(func() float64 { return noLossDraw })
	p.clients.conns = map[string]net.Conn{}
	p.settings.Bounds.GracePeriodS = gracePeriodS
	listener := p.clients.network.listen(proxyAddress)
	go func() { _ = p.proxy.Serve(listener) }()
	go func() { _ = p.proxy.RunMaintenance() }()
	return nil
}

// setIdleTimeout is `idle-timeout MS`: sets the idle time-out of connections, as of the next update.
func (p *dataPlane) setIdleTimeout(c simulation.Command) error {
	p.clients.idleTimeoutMs = int64(c.Int(0))
	return nil
}

// openConnection is `open-connection NAME`: opens a connection without sending a request.
func (p *dataPlane) openConnection(c simulation.Command) error {
	dial := p.clients.network.networkFor(clientHost)(time.Second, time.Second)
	conn, err := dial(context.Background(), "", proxyAddress)
	if err != nil {
		return err
	}
	p.clients.conns[c.Word(0)] = conn
	return nil
}

// send is `send NAME HOST PATH [method=]`: sends a request on that connection.
func (p *dataPlane) send(c simulation.Command) error {
	p.sendOnConnection(c, writeAtOnce)
	return nil
}

// sendAsync is `send-async NAME HOST PATH [method=]`: like send, without waiting for the answer.
func (p *dataPlane) sendAsync(c simulation.Command) error {
	p.running.Go(func() { p.sendOnConnection(c, writeAtOnce) })
	return nil
}

// sendSlowly is `send-slowly NAME HOST PATH MS`: like send-async, but the last byte of the request
// is sent MS milliseconds later.
func (p *dataPlane) sendSlowly(c simulation.Command) error {
	p.running.Go(func() { p.sendOnConnection(c, writeSlowly) })
	return nil
}

// closeConnection is `leave NAME`: the client closes this connection, even if a request on it has no answer yet.
func (p *dataPlane) closeConnection(c simulation.Command) error {
	return p.clients.conns[c.Word(0)].Close()
}

// wantWorking is `want-working N ID,...`: checks that these leafs currently work on N requests in total.
func (p *dataPlane) wantWorking(c simulation.Command) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	working := 0
	for id := range strings.SplitSeq(c.Word(1), ",") {
		working += p.leafs[id].working
	}
	if working != c.Int(0) {
		return fmt.Errorf("leafs %s work on %d requests, want %d", c.Word(1), working, c.Int(0))
	}
	return nil
}

// shutDownCommand is `shutdown [after=MS]`: starts the proxy's shutdown as SIGTERM does, ends the process after
// MS milliseconds, and waits until all requests have ended.
func (p *dataPlane) shutDownCommand(c simulation.Command) error {
	p.proxy.Shutdown()
	time.Sleep(c.OptionDuration("after", 0))
	p.clients.network.closeHost(proxyHost)
	p.running.Wait()
	return nil
}

// sendOnConnection sends one request on a client's connection and counts its status.
func (p *dataPlane) sendOnConnection(c simulation.Command, write func(net.Conn, simulation.Command, string) error) {
	conn := p.clients.conns[c.Word(0)]
	status := noCompleteAnswer
	if write(conn, c, p.newRequestID()) == nil {
		if code, err := readCompleteAnswer(conn); err == nil {
			status = strconv.Itoa(code)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[status]++
}

// requestHead returns the request line and the headers that all requests have.
func requestHead(c simulation.Command, id string) string {
	method := http.MethodGet
	if m := c.Options["method"]; m != "" {
		method = m
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Comethold-Request-Id: %s\r\n",
		method, c.Word(2), c.Word(1), id)
}

func writeAtOnce(conn net.Conn, c simulation.Command, id string) error {
	_, err := io.WriteString(conn, requestHead(c, id)+"\r\n")
	return err
}

// writeSlowly writes a request with a body of one byte, which it writes after the delay of the command.
func writeSlowly(conn net.Conn, c simulation.Command, id string) error {
	// The error is ignored: if the proxy closes the connection, writing the last byte fails too.
	_, _ = io.WriteString(conn, requestHead(c, id)+"Content-Length: 1\r\n\r\n")
	time.Sleep(c.Milliseconds(3))
	_, err := io.WriteString(conn, "x")
	return err
}

func readCompleteAnswer(conn net.Conn) (status int, err error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
