package simulation_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"comethold/internal/distribution"
)

// forgetAfter is the idle time after which a leaf of the mode "forget" closes a connection at the next request.
const forgetAfter = 300 * time.Millisecond

// endlessChunk is how many bytes of an endless answer are written at a time.
const endlessChunk = 64 << 10

// recordBytes is the length of a record in an answer.
const recordBytes = 16

// leaf simulates a leaf server; its mode determines how it answers.
type leaf struct {
	distribution.Endpoint
	workTime time.Duration
	mode     string
	modeUses int // number of calls answered by the mode before the leaf answers normally; 0: all
	runs     int
	calls    int
	working  int // requests that it works on now
}

// dial connects the proxy to a leaf.
func (p *dataPlane) dial(_ context.Context, _, addr string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.leafs {
		if l.Addr != addr {
			continue
		}
		if l.mode == "down" {
			return nil, errors.New("connection refused")
		}
		proxyConn, leafSide := net.Pipe()
		p.conns = append(p.conns, proxyConn)
		go p.serveLeaf(l, leafSide)
		return proxyConn, nil
	}
	return nil, errors.New("no leaf has this address")
}

// leafConn is a leaf's side of one connection.
type leafConn struct {
	dataPlane *dataPlane
	leaf      *leaf
	conn      net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

// leafCall is one request at a leaf.
type leafCall struct {
	id            string
	mode          string
	isHealthCheck bool
	isForgotten   bool // the connection was idle for longer than forgetAfter, in the mode "forget"
	workTime      time.Duration
	stamp         string // the X-Comethold-Server-Stamp header line of the answer
	body          string
}

// serveLeaf answers the requests on a connection until one of them closes it.
func (p *dataPlane) serveLeaf(l *leaf, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := &leafConn{dataPlane: p, leaf: l, conn: conn, reader: bufio.NewReader(conn)}
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // after a truncated body, reading the next request fails
		call := c.newCall(request)
		isAnswered, keepOpen := c.answerWithoutRunning(call)
		if !isAnswered {
			keepOpen = c.work(call) && c.answerByMode(call)
			c.idleSince = time.Now()
		}
		if !keepOpen {
			return
		}
	}
}

// work waits for the work time of a request. It returns false if the connection closes before; the leaf then
// abandons the request.
func (c *leafConn) work(call leafCall) (keepOpen bool) {
	c.countWorking(1)
	defer c.countWorking(-1)
	end := time.Now().Add(call.workTime)
	_ = c.conn.SetReadDeadline(end)
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	if err == nil {
		time.Sleep(time.Until(end)) // data of the next request has already arrived
	}
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

func (c *leafConn) countWorking(change int) {
	c.dataPlane.mu.Lock()
	defer c.dataPlane.mu.Unlock()
	c.leaf.working += change
}

// newCall counts a request and determines how it is answered.
func (c *leafConn) newCall(request *http.Request) leafCall {
	p := c.dataPlane
	wasIdleLong := !c.idleSince.IsZero() && time.Since(c.idleSince) > forgetAfter
	p.mu.Lock()
	defer p.mu.Unlock()
	call := leafCall{
		id:            request.Header.Get("X-Comethold-Request-Id"),
		mode:          c.leaf.mode,
		isHealthCheck: request.URL.Path == "/health",
		workTime:      c.leaf.workTime,
	}
	c.leaf.calls++
	if c.leaf.modeUses > 0 && c.leaf.calls > c.leaf.modeUses {
		call.mode = "ok"
	}
	call.isForgotten = call.mode == "forget" && wasIdleLong
	call.stamp = "X-Comethold-Server-Stamp: " + c.leaf.ID + "." + call.id + "\r\n"
	call.body = strings.Repeat(fmt.Sprintf("%-*s", recordBytes, c.leaf.ID)[:recordBytes], 2)
	if p.sameRecords {
		call.body = fmt.Sprintf("%0*d%0*d%0*d", recordBytes, 3, recordBytes, 1, recordBytes, 2)
	}
	isRejected := call.mode == "shed" || call.mode == "421" || call.isForgotten
	if !isRejected && !call.isHealthCheck {
		p.recordRun(c.leaf, call.id, request.Header)
	}
	return call
}

// recordRun counts a request that a leaf runs; p.mu is held.
func (p *dataPlane) recordRun(l *leaf, id string, header http.Header) {
	l.runs++
	p.runsByRequest[id]++
	p.tenantsSeen[l.ID] = append(p.tenantsSeen[l.ID], strings.Join(header["X-Comethold-Tenant"], "+"))
	if len(p.tenants) > 0 && strings.Contains(fmt.Sprint(header), "key") {
		p.t.Errorf("leaf %s received an API key in the headers %v, want none", l.ID, header)
	}
}

// write writes an answer with a body.
func (c *leafConn) write(status, header, body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\nX-Comethold-Instance-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, c.leaf.ID, header, len(body), body)
}

// answerWithoutRunning answers a request if the mode of the leaf does not run it, or if it is a health check. It
// returns keepOpen false if the connection must be closed.
func (c *leafConn) answerWithoutRunning(call leafCall) (isAnswered, keepOpen bool) {
	switch {
	case call.isForgotten:
		return true, false
	case call.mode == "mute": // no answer; the connection stays open
		<-c.dataPlane.quit
		return true, false
	case call.mode == "shed":
		c.write("503 Service Unavailable", "X-Comethold-Not-Executed: 1\r\n", "")
	case call.mode == "421":
		c.write("421 Misdirected Request", "", "")
	case call.isHealthCheck && call.mode == "ill": // only health checks fail
		c.write("503 Service Unavailable", "", "")
	case call.isHealthCheck && call.mode != "lie": // "lie" fails health checks like requests
		c.write("200 OK", "", "")
	default:
		return false, true
	}
	return true, true
}

// answerByMode answers a request that has run; it returns false if the connection must be closed.
func (c *leafConn) answerByMode(call leafCall) (keepOpen bool) {
	const ok = "200 OK"
	switch call.mode {
	case "empty": // no records
		c.write(ok, call.stamp, "")
	case "double": // the first record is repeated at the end
		c.write(ok, call.stamp, call.body+call.body[:recordBytes])
	case "stale": // the first record is missing
		c.write(ok, call.stamp, call.body[recordBytes:])
	case "error", "lie":
		c.write("500 Internal Server Error", call.stamp, "")
	case "hints":
		fmt.Fprint(c.conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
		c.write(ok, call.stamp, call.body)
	case "alien": // the ID of another request
		c.write(ok, call.stamp+"X-Comethold-Request-Id: another\r\n", call.body)
	case "twice": // the second answer arrives after the next request was sent
		stamp := call.stamp + "X-Comethold-Request-Id: " + call.id + "\r\n"
		c.write(ok, stamp, call.body)
		go c.write(ok, stamp, call.body)
	case "extra": // a second answer that belongs to no request
		c.write(ok, call.stamp, call.body)
		c.write(ok, "X-Comethold-Server-Stamp: alien\r\n", "alien")
	case "cut", "reset", "stall", "closing", "bye", "endless-head", "endless-body":
		c.endByMode(call)
		return false
	default:
		c.write(ok, call.stamp, call.body)
	}
	return true
}

// endByMode answers a request in one of the modes that end the connection. serveLeaf then closes it.
func (c *leafConn) endByMode(call leafCall) {
	const surplusBytes = 9
	switch call.mode {
	case "cut": // an answer shorter than its Content-Length
		fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s",
			call.stamp, len(call.body)+surplusBytes, call.body)
	case "stall": // a truncated answer; the connection stays open
		fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s",
			call.stamp, len(call.body), call.body[:surplusBytes])
		<-c.dataPlane.quit
	case "closing": // a complete answer that announces the close
		c.write("200 OK", call.stamp+"Connection: close\r\n", call.body)
	case "bye": // the connection closes while the next request is being written
		c.write("200 OK", call.stamp, call.body)
		_, _ = c.reader.Peek(1)
	case "endless-head":
		c.writeEndlessly("HTTP/1.1 200 OK\r\n"+call.stamp+"X-Pad: ", strings.Repeat("x", endlessChunk))
	case "endless-body":
		c.writeEndlessly("HTTP/1.1 200 OK\r\n"+call.stamp+"Transfer-Encoding: chunked\r\n\r\n",
			fmt.Sprintf("%x\r\n%s\r\n", endlessChunk, strings.Repeat("x", endlessChunk)))
	case "reset": // closed without an answer
	}
}

// writeEndlessly writes the text start once, and then the text repeated until the proxy closes the connection.
func (c *leafConn) writeEndlessly(start, repeated string) {
	_, err := io.WriteString(c.conn, start)
	for err == nil {
		_, err = io.WriteString(c.conn, repeated)
	}
}
