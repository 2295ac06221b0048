package simulation_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/simulation"
)

// clients talk to a switch through its own server, on connections that they keep.
type clients struct {
	mesh  *network
	conns map[string]net.Conn
	idle  int // limit in the configurations
}

// doFront carries out the commands of clients with connections.
func (p *plane) doFront(c simulation.Command) error {
	f := &p.clients
	switch c.Verb {
	case "serve": // from here on connections are taken
		f.mesh, f.conns = newNetwork(func() float64 { return 1 }), map[string]net.Conn{}
		p.settings.Bounds.GracePeriodS = 6
		l := f.mesh.listen("10.0.0.1:80")
		go func() { _ = p.proxy.Serve(l) }()
		go func() { _ = p.proxy.RunMaintenance() }()
	case "idle": // idle MS: limit of idle connections, with the next feed
		f.idle, _ = strconv.Atoi(c.Word(0))
	case "open": // open NAME: a connection without a request
		conn, err := f.mesh.netOf("10.250.0.1")(time.Second, time.Second)(context.Background(), "", "10.0.0.1:80")
		if err != nil {
			return err
		}
		f.conns[c.Word(0)] = conn
	case "say", "say-on": // say NAME HOST PATH: a request on that connection; -on: not waiting for the answer
		if c.Verb == "say-on" {
			p.wg.Go(func() { p.sendOnConnection(c) })
			break
		}
		p.sendOnConnection(c)
	case "say-late": // say-late NAME HOST PATH MS: the last byte of the request comes so much later; not waiting for the answer
		p.wg.Go(func() { p.sendOnConnection(c) })
	case "leave": // leave [after=MS]: SIGTERM; returns when the process ends, so long after all was answered
		p.proxy.Shutdown()
		time.Sleep(time.Duration(c.Number("after", 0)) * time.Millisecond)
		f.mesh.closeListener("10.0.0.1", "")
		p.wg.Wait()
	default:
		return errors.New("unknown command")
	}
	return nil
}

// sendOnConnection makes one request; status 0 is a connection that ended without a whole answer.
func (p *plane) sendOnConnection(c simulation.Command) {
	conn := p.clients.conns[c.Word(0)]
	p.mu.Lock()
	p.nextID++
	id := fmt.Sprint("q", p.nextID)
	p.mu.Unlock()
	status := "0"
	method := "GET"
	if m := c.Options["method"]; m != "" {
		method = m
	}
	head, last := method+" %s HTTP/1.1\r\nHost: %s\r\nX-Comethold-Request-Id: %s\r\n", "\r\n"
	if c.Verb == "say-late" {
		_, _ = fmt.Fprintf(conn, head+"Content-Length: 1\r\n\r\n", c.Word(2), c.Word(1), id)
		time.Sleep(c.Milliseconds(3))
		head, last = "%.0s%.0s%.0s", "x"
	}
	if _, err := fmt.Fprintf(conn, head+last, c.Word(2), c.Word(1), id); err == nil {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				status = strconv.Itoa(resp.StatusCode)
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[status]++
}
