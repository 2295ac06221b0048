package upstream

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// TestUnexpectedBytesAnswerNoRequest: bytes that a leaf sends after a whole answer, at once or later,
// never answer the next request on the connection.
func TestUnexpectedBytesAnswerNoRequest(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for i := 0; ; i++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					id := r.Header.Get(HeaderRequestID)
					whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", HeaderServerStamp, len(id), id)
					alien := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nalien", HeaderServerStamp, HeaderRequestID, id)
					if i%2 == 0 { // later: it may even arrive after the next request has left
						fmt.Fprint(c, whole)
						time.Sleep(time.Millisecond)
						fmt.Fprint(c, alien)
					} else {
						fmt.Fprint(c, whole+alien)
					}
				}
			}()
		}
	}()
	d := &net.Dialer{}
	f := NewClusterManager(testLocality("n1", "a"), d.DialContext, logging.Nop())
	f.SetEndpoints(map[string]distribution.Endpoint{"l": {ID: "l", Service: "s", Addr: l.Addr().String(), Zone: "a", Slots: 2}})
	for i := range 40 {
		tr := f.Reserve("s", nil, false)
		if tr == nil {
			t.Fatal("the leaf takes no call")
		}
		id := fmt.Sprint("q", i)
		a, err := f.Call(tr, &Request{Method: "GET", Target: "/", Host: "h", ID: id, Deadline: time.Now().Add(time.Second)})
		if err == nil && string(a.Body) != id {
			t.Fatalf("%s was answered %q", id, a.Body)
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// startScriptedLeaf is a leaf that answers each connection's requests by the given texts, in
// which ID is the request's; a text that ends in CLOSE ends the connection.
func startScriptedLeaf(t *testing.T, answers ...string) *ClusterManager {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for _, a := range answers {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					a, end := strings.CutSuffix(strings.ReplaceAll(a, "ID", r.Header.Get(HeaderRequestID)), "CLOSE")
					fmt.Fprint(c, a)
					if end {
						return
					}
				}
			}()
		}
	}()
	d := &net.Dialer{}
	f := NewClusterManager(testLocality("n1", "a"), d.DialContext, logging.Nop())
	f.SetEndpoints(map[string]distribution.Endpoint{"l": {ID: "l", Service: "s", Addr: l.Addr().String(), Zone: "a", Slots: 2}})
	return f
}

// TestResponseOutcomes: what of an answer counts, and what becomes of its connection.
func TestResponseOutcomes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Comethold-Server-Stamp: s\r\nContent-Length: 2\r\n"
	const full = "HTTP/1.1 503 Full\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const named = ok + "X-Comethold-Request-Id: ID\r\n\r\nID"
	for name, c := range map[string]struct {
		method  string
		part    bool
		once    bool
		answers []string
		want    string // body or outcome, by request
	}{
		"hints before it":                         {answers: []string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + named, named}, want: "q0 q1"},
		"the answer of another":                   {answers: []string{named, ok + "X-Comethold-Request-Id: q0\r\n\r\nq0"}, want: "q0 unclear"},
		"one that names nobody":                   {answers: []string{named, ok + "\r\nq0"}, want: "q0 unclear"},
		"none names anybody":                      {answers: []string{ok + "\r\nID", ok + "\r\nID"}, want: "q0 q1"},
		"a part's stamp again":                    {part: true, answers: []string{ok + "\r\nID", ok + "\r\nq0"}, want: "q0 unclear"},
		"half of it, then nothing":                {answers: []string{ok + "\r\nq", named}, want: "unclear unclear"},
		"half of it, then the end":                {answers: []string{ok + "\r\nqCLOSE"}, want: "unclear unclear"},
		"an end that is unmarked":                 {answers: []string{"HTTP/1.1 200 OK\r\nX-Comethold-Server-Stamp: s\r\n\r\nIDCLOSE"}, want: "unclear unclear"},
		"the end before it":                       {answers: []string{"CLOSE"}, want: "unclear unclear"},
		"another protocol":                        {answers: []string{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"}, want: "unclear unclear"},
		"to HEAD":                                 {method: "HEAD", answers: []string{ok + "\r\n", ok + "\r\n"}, want: "- -"},
		"204 and 304":                             {answers: []string{"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"}, want: "- -"},
		"a refusal that comes twice":              {once: true, answers: []string{full, full}, want: "refused q1"},
		"a refusal that comes twice, then a part": {part: true, answers: []string{full, full, ok + "\r\nq1"}, want: "refused refused refused"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startScriptedLeaf(t, c.answers...)
			if c.once { // the second connection has a well leaf
				first := f.dial
				well := startScriptedLeaf(t, named, named)
				n := 0
				f.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if n++; n > 1 {
						addr = well.endpoints["l"].info.Load().Addr
					}
					return first(ctx, network, addr)
				}
			}
			var got []string
			for i := range strings.Count(c.want, " ") + 1 {
				tr := f.endpoints["l"]
				f.mu.Lock()
				tr.activeCalls++
				f.mu.Unlock()
				a, err := f.Call(tr, &Request{Method: cmp.Or(c.method, "GET"), Target: "/", Host: "h", FanOut: c.part, NonIdempotent: c.once, ID: fmt.Sprint("q", i), Deadline: time.Now().Add(150 * time.Millisecond)})
				switch how := OutcomeOf(a, err); {
				case how == Rejected:
					got = append(got, "refused")
				case how == Executed:
					got = append(got, cmp.Or(string(a.Body), "-"))
				default:
					got = append(got, "unclear")
				}
			}
			if s := strings.Join(got, " "); s != c.want {
				t.Errorf("got %s, want %s", s, c.want)
			}
		})
	}
}
