package rpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"comethold/internal/simulation"
)

// faultyPeer takes calls and ends them in the ways that processes and networks do.
type faultyPeer struct {
	mu       sync.Mutex
	rng      *rand.Rand
	received map[int]int
	listener net.Listener
}

func (p *faultyPeer) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Intn(n)
}

func (p *faultyPeer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var call int
		if DecodeRequest(r.Body, &call) != nil {
			return
		}
		p.mu.Lock()
		p.received[call]++
		p.mu.Unlock()
		b, _ := Marshal(call)
		b = EncodeBody(b)
		say := func(status, header string, body []byte) {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
		}
		switch p.draw(14) {
		case 0:
			return // before the first byte
		case 1:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case 2:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b)+1, b)
			return
		case 3: // no mark of its end, and cut
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", b[:p.draw(len(b))])
			return
		case 4:
			time.Sleep(40 * time.Millisecond) // later than the caller waits
			say("200 OK", "", b)
		case 5:
			say("200 OK", "", nil)
		case 6:
			say("307 Temporary Redirect", "Location: http://"+p.listener.Addr().String()+"/\r\n", nil)
		case 7:
			say("200 OK", "Connection: close\r\n", b)
			return
		case 8, 9: // and ends while the next call may be on its way
			say("200 OK", "", b)
			time.Sleep(time.Duration(p.draw(800)) * time.Microsecond)
			return
		case 10:
			fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			say("200 OK", "", b)
		default:
			say("200 OK", "", b)
		}
	}
}

// TestCalls: whatever ends a call, it came once at the most, and who is told that it went
// well has the answer to this very call.
func TestCalls(t *testing.T) {
	for seed := range simulation.SeedCount(3) {
		door, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := &faultyPeer{rng: rand.New(rand.NewSource(int64(seed))), received: map[int]int{}, listener: door}
		go func() {
			for {
				c, err := door.Accept()
				if err != nil {
					return
				}
				go p.serve(c)
			}
		}()
		client := NewClient(TCPNetwork)
		well := 0
		var wg sync.WaitGroup
		for k := range 8 {
			wg.Go(func() {
				for i := range 60 {
					call, got := 1000*(k+1)+i, 0
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
					err := client.Call(ctx, door.Addr().String(), "/", call, &got)
					cancel()
					p.mu.Lock()
					switch {
					case err == nil && got != call:
						t.Errorf("seed %d: call %d was answered %d", seed, call, got)
					case err == nil:
						well++
					case !errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrRejected) && !errors.Is(err, ErrMalformed):
						t.Errorf("seed %d: an error of no layer: %v", seed, err)
					}
					p.mu.Unlock()
				}
			})
		}
		wg.Wait()
		time.Sleep(50 * time.Millisecond)
		_ = door.Close()
		client.httpClient.CloseIdleConnections()
		p.mu.Lock()
		for call, n := range p.received {
			if n > 1 {
				t.Errorf("seed %d: call %d came %d times", seed, call, n)
			}
		}
		if well == 0 {
			t.Errorf("seed %d: no call went well", seed)
		}
		p.mu.Unlock()
	}
}
