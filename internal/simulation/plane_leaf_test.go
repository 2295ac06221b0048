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

// forgetAfter is how long a leaf of the mode "forget" knows an idle connection.
const forgetAfter = 300 * time.Millisecond

// endlessChunk is how many bytes of an endless answer are written at a time.
const endlessChunk = 64 << 10

// recordBytes is the length of a record in an answer.
const recordBytes = 16

// leaf is a stand-in for a server: it answers by its mode.
type leaf struct {
	distribution.Endpoint
	workTime time.Duration
	mode     string
	modeUses int // how many answers follow the mode before the leaf answers normally; 0: all
	runs     int
	calls    int
	working  int // requests that it works on now
}

// dial connects the proxy to a leaf.
func (p *plane) dial(_ context.Context, _, addr string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.leafs {
		if l.Addr != addr {
			continue
		}
		if l.mode == "down" {
			return nil, errors.New("refused")
		}
		ours, theirs := net.Pipe()
		p.conns = append(p.conns, ours)
		go p.serveLeaf(l, theirs)
		return ours, nil
	}
	return nil, errors.New("no such address")
}

// leafConn is a leaf's side of one connection.
type leafConn struct {
	plane     *plane
	leaf      *leaf
	conn      net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

// leafCall is one request at a leaf.
type leafCall struct {
	id       string
	mode     string
	isHealth bool
	isForgot bool // the leaf no longer knows the connection, which was idle
	workTime time.Duration
	stamp    string // the header of the server's stamp
	body     string
}

// serveLeaf answers the requests on a connection until one of them ends it.
func (p *plane) serveLeaf(l *leaf, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := &leafConn{plane: p, leaf: l, conn: conn, reader: bufio.NewReader(conn)}
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // what is missing shows at the next request
		call := c.begin(request)
		isAnswered, goOn := c.answerWithoutRunning(call)
		if !isAnswered {
			goOn = c.work(call) && c.answerByMode(call)
			c.idleSince = time.Now()
		}
		if !goOn {
			return
		}
	}
}

// work takes the time of a request. It reports false if the connection ends before: the leaf
// then drops the request.
func (c *leafConn) work(call leafCall) (goOn bool) {
	c.countWorking(1)
	defer c.countWorking(-1)
	end := time.Now().Add(call.workTime)
	_ = c.conn.SetReadDeadline(end)
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	if err == nil {
		time.Sleep(time.Until(end)) // the next request is there already
	}
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

func (c *leafConn) countWorking(change int) {
	c.plane.mu.Lock()
	defer c.plane.mu.Unlock()
	c.leaf.working += change
}

// begin counts a request and works out how it is answered.
func (c *leafConn) begin(request *http.Request) leafCall {
	p := c.plane
	wasIdleLong := !c.idleSince.IsZero() && time.Since(c.idleSince) > forgetAfter
	p.mu.Lock()
	defer p.mu.Unlock()
	call := leafCall{
		id:       request.Header.Get("X-Comethold-Request-Id"),
		mode:     c.leaf.mode,
		isHealth: request.URL.Path == "/health",
		workTime: c.leaf.workTime,
	}
	c.leaf.calls++
	if c.leaf.modeUses > 0 && c.leaf.calls > c.leaf.modeUses {
		call.mode = "ok"
	}
	call.isForgot = call.mode == "forget" && wasIdleLong
	call.stamp = "X-Comethold-Server-Stamp: " + c.leaf.ID + "." + call.id + "\r\n"
	call.body = strings.Repeat(fmt.Sprintf("%-*s", recordBytes, c.leaf.ID)[:recordBytes], 2)
	if p.sameRecords {
		call.body = fmt.Sprintf("%0*d%0*d%0*d", recordBytes, 3, recordBytes, 1, recordBytes, 2)
	}
	isRejected := call.mode == "shed" || call.mode == "421" || call.isForgot
	if !isRejected && !call.isHealth {
		p.recordRun(c.leaf, call.id, request.Header)
	}
	return call
}

// recordRun counts a request that a leaf runs; p.mu is held.
func (p *plane) recordRun(l *leaf, id string, header http.Header) {
	l.runs++
	p.runsByRequest[id]++
	p.tenantsSeen[l.ID] = append(p.tenantsSeen[l.ID], strings.Join(header["X-Comethold-Tenant"], "+"))
	if len(p.tenants) > 0 && strings.Contains(fmt.Sprint(header), "key") {
		p.t.Errorf("%s is shown a key: %v", l.ID, header)
	}
}

// write writes an answer with a body.
func (c *leafConn) write(status, header, body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\nX-Comethold-Instance-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, c.leaf.ID, header, len(body), body)
}

// answerWithoutRunning answers a request that is not run; goOn is false if the connection ends.
func (c *leafConn) answerWithoutRunning(call leafCall) (isAnswered, goOn bool) {
	switch {
	case call.isForgot:
		return true, false
	case call.mode == "mute":
		<-c.plane.quit
		return true, false
	case call.mode == "shed":
		c.write("503 Service Unavailable", "X-Comethold-Not-Executed: 1\r\n", "")
	case call.mode == "421":
		c.write("421 Misdirected Request", "", "")
	case call.isHealth && call.mode == "ill":
		c.write("503 Service Unavailable", "", "")
	case call.isHealth && call.mode != "lie":
		c.write("200 OK", "", "")
	default:
		return false, true
	}
	return true, true
}

// answerByMode answers a request that has run; it returns false if the connection ends.
func (c *leafConn) answerByMode(call leafCall) (goOn bool) {
	const ok = "200 OK"
	switch call.mode {
	case "empty":
		c.write(ok, call.stamp, "")
	case "double":
		c.write(ok, call.stamp, call.body+call.body[:recordBytes])
	case "stale":
		c.write(ok, call.stamp, call.body[recordBytes:])
	case "error", "lie":
		c.write("500 Internal Server Error", call.stamp, "")
	case "hints":
		fmt.Fprint(c.conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
		c.write(ok, call.stamp, call.body)
	case "alien":
		c.write(ok, call.stamp+"X-Comethold-Request-Id: another\r\n", call.body)
	case "twice": // the second arrives when the next request is out
		stamp := call.stamp + "X-Comethold-Request-Id: " + call.id + "\r\n"
		c.write(ok, stamp, call.body)
		go c.write(ok, stamp, call.body)
	case "extra":
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

// endByMode answers in a way that ends the connection.
func (c *leafConn) endByMode(call leafCall) {
	const surplusBytes = 9
	switch call.mode {
	case "cut":
		fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s",
			call.stamp, len(call.body)+surplusBytes, call.body)
	case "stall":
		fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s",
			call.stamp, len(call.body), call.body[:surplusBytes])
		<-c.plane.quit
	case "closing":
		c.write("200 OK", call.stamp+"Connection: close\r\n", call.body)
	case "bye": // it ends when the next request is being written
		c.write("200 OK", call.stamp, call.body)
		_, _ = c.reader.Peek(1)
	case "endless-head":
		c.writeEndlessly("HTTP/1.1 200 OK\r\n"+call.stamp+"X-Pad: ", strings.Repeat("x", endlessChunk))
	case "endless-body":
		c.writeEndlessly("HTTP/1.1 200 OK\r\n"+call.stamp+"Transfer-Encoding: chunked\r\n\r\n",
			fmt.Sprintf("%x\r\n%s\r\n", endlessChunk, strings.Repeat("x", endlessChunk)))
	case "reset":
	}
}

// writeEndlessly writes a text, and then another one again and again until the proxy closes the
// connection.
func (c *leafConn) writeEndlessly(begin, repeated string) {
	_, err := io.WriteString(c.conn, begin)
	for err == nil {
		_, err = io.WriteString(c.conn, repeated)
	}
}
