package simulation_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"comethold/internal/distribution"
)

// adversary is a set of leafs on real sockets. They end calls in all the ways that faulty leafs and
// networks do, and record the requests that they ran.
type adversary struct {
	t         *testing.T
	seed      int
	listeners []net.Listener

	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	runs      map[string]int
	lastRun   string // a request that some leaf ran
	lastStamp int
}

// mildEndings are the ways in which most calls end: they do not get a leaf ejected. "well" is
// listed twice to be drawn more often.
var mildEndings = []string{"well", "well", "twice-late", "bye", "closing", "hints"}

// callEndings are all ways in which a call may end.
var callEndings = append(append([]string(nil), mildEndings...),
	"twice", "alien", "reset-early", "reset", "end", "cut", "stall", "silent", "shed", "shed-twice", "shed-early",
	"421", "error", "unstamped", "encoded", "unmarked", "garbage", "unrun-503", "unrun-429", "unrun-408")

// shedAnswer is an answer that says that the request has not run.
const shedAnswer = "HTTP/1.1 503 Full\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func newAdversary(t *testing.T, seed int) *adversary {
	t.Helper()
	return &adversary{t: t, seed: seed, rng: rand.New(rand.NewSource(int64(seed))), runs: map[string]int{}}
}

// close ends all leafs.
func (a *adversary) close() {
	for _, listener := range a.listeners {
		_ = listener.Close()
	}
}

func (a *adversary) drawEnding() string {
	if a.draw(8) > 0 {
		return mildEndings[a.draw(len(mildEndings))]
	}
	return callEndings[a.draw(len(callEndings))]
}

// draw draws a number below n.
func (a *adversary) draw(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Intn(n)
}

// pause sleeps for a random number of microseconds below most.
func (a *adversary) pause(most int) {
	time.Sleep(time.Duration(a.draw(most)) * time.Microsecond)
}

// leaf starts a leaf of a service; leafs of services g... answer with parts.
func (a *adversary) leaf(id, service string) distribution.Endpoint {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		a.t.Fatal(err)
	}
	a.listeners = append(a.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c := &adversaryConn{
				adversary: a, leaf: id, isPart: strings.HasPrefix(service, "g"), Conn: conn, reader: bufio.NewReader(conn),
			}
			go c.serve()
		}
	}()
	return distribution.Endpoint{ID: id, Service: service, Addr: listener.Addr().String(), Zone: "a", Slots: 8}
}

// bodyOf returns the body of a request, which its answer repeats.
func bodyOf(id string, n int) string { return strings.Repeat(fmt.Sprintf("%-*s", recordBytes, id), n) }

// adversaryConn is a leaf's side of one connection.
type adversaryConn struct {
	net.Conn
	adversary *adversary
	leaf      string
	isPart    bool // its answers are parts, which name no request
	reader    *bufio.Reader
}

// adversaryCall is one request at a leaf.
type adversaryCall struct {
	id     string
	ending string
	isHead bool
	other  string // another request that ran, or ""
	stamp  string // the header of the server's stamp
}

// serve ends calls until one of them ends the connection.
func (c *adversaryConn) serve() {
	defer func() { _ = c.Close() }()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Comethold-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", c.leaf))
			continue
		}
		call, ok := c.begin(request)
		if !ok {
			return
		}
		c.adversary.pause(1500)
		if !c.answer(call) {
			return
		}
	}
}

func (c *adversaryConn) write(text string) {
	_, _ = io.WriteString(c, text) // the caller may be gone, as by its deadline
}

// begin reads a request, checks that it is complete, and counts it if it runs. It returns false if
// the connection ends at once.
func (c *adversaryConn) begin(request *http.Request) (adversaryCall, bool) {
	a := c.adversary
	call := adversaryCall{
		id:     request.Header.Get("X-Comethold-Request-Id"),
		ending: a.drawEnding(),
		isHead: request.Method == http.MethodHead,
	}
	if call.ending == "shed-early" {
		c.write(shedAnswer)
		return call, false
	}
	if call.ending != "reset-early" {
		raw, err := io.ReadAll(request.Body)
		if err != nil {
			return call, false
		}
		n, _ := strconv.Atoi(request.URL.Query().Get("n"))
		if string(raw) != bodyOf(call.id, n) || request.URL.Path != "/"+call.id {
			a.t.Errorf("seed %d: %s has another body or path", a.seed, call.id)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	call.other = a.lastRun
	if !strings.HasPrefix(call.ending, "shed") && call.ending != "421" {
		a.runs[call.id]++
		a.lastRun = call.id
	}
	a.lastStamp++
	call.stamp = fmt.Sprintf("X-Comethold-Server-Stamp: %s.%s.%d\r\n", call.id, c.leaf, a.lastStamp)
	return call, true
}

// message is an answer that carries a request's ID.
func (c *adversaryConn) message(call adversaryCall, status, id, header string) string {
	body := bodyOf(id, 2)
	size := len(body)
	if call.isHead {
		body = ""
	}
	if !c.isPart {
		header += "X-Comethold-Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, size, body)
}

// answer answers a request in the way that was drawn; it returns false if the connection ends.
func (c *adversaryConn) answer(call adversaryCall) (goOn bool) {
	const ok = "200 OK"
	well := c.message(call, ok, call.id, call.stamp)
	switch call.ending {
	case "hints":
		c.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + well)
	case "twice":
		c.write(well + well)
	case "twice-late":
		c.write(well)
		c.adversary.pause(1200)
		c.write(well)
	case "alien":
		other := call.other
		if c.isPart || other == "" {
			other = call.id
		}
		c.write(c.message(call, ok, other, call.stamp))
	case "shed":
		c.write(shedAnswer)
	case "shed-twice":
		c.write(shedAnswer)
		c.adversary.pause(1200)
		c.write(shedAnswer)
	case "421":
		c.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	case "error":
		c.write(c.message(call, "500 Failed", call.id, call.stamp))
	case "unstamped":
		c.write(c.message(call, ok, call.id, ""))
	case "encoded":
		c.write(c.message(call, ok, call.id, call.stamp+"Content-Encoding: gzip\r\n"))
	case "garbage":
		c.write("ZZZZ\r\n\r\n")
	case "unrun-503", "unrun-429", "unrun-408": // as if it had not run, but it has
		c.write(c.message(call, strings.TrimPrefix(call.ending, "unrun-")+" No", call.id, call.stamp))
	case "bye", "closing", "reset-early", "reset", "end", "cut", "stall", "silent", "unmarked":
		c.end(call, well)
		return false
	default:
		c.write(well)
	}
	return true
}

// end answers a request in a way that ends the connection.
func (c *adversaryConn) end(call adversaryCall, well string) {
	switch call.ending {
	case "bye": // it ends while the next request may be on its way
		c.write(well)
		c.adversary.pause(800)
	case "closing":
		c.write(c.message(call, "200 OK", call.id, call.stamp+"Connection: close\r\n"))
	case "reset-early", "reset":
		if conn, ok := c.Conn.(*net.TCPConn); ok {
			_ = conn.SetLinger(0)
		}
	case "cut":
		c.write(well[:1+c.adversary.draw(len(well)-1)])
	case "stall":
		c.write(well[:1+c.adversary.draw(len(well)-1)])
		_, _ = c.reader.ReadByte()
	case "silent":
		_, _ = c.reader.ReadByte()
	case "unmarked":
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n%s", call.stamp, bodyOf(call.id, 1)))
	case "end":
	}
}
