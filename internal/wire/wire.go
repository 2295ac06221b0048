// Package wire is how comethold's processes talk to one another: cbor bodies
// over HTTP/1.1 on the internal ports, and cbor datagrams for heartbeats.
package wire

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Errors of this layer.
var (
	ErrUnreachable = errors.New("wire: no answer")
	ErrRefused     = errors.New("wire: the peer refused")
	ErrGarbled     = errors.New("wire: not understood")
)

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Marshal encodes v.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes into v; anything malformed is an error.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %v", ErrGarbled, err)
	}
	return nil
}

// ContentType of internal bodies.
const ContentType = "application/cbor"

const deflateFrom = 600

var deflaters = sync.Pool{New: func() any { w, _ := flate.NewWriter(nil, 5); return w }}

// Pack marks and, where it pays, compresses an encoded body.
func Pack(b []byte) []byte {
	if len(b) < deflateFrom {
		return append([]byte{0}, b...)
	}
	var out bytes.Buffer
	out.WriteByte(1)
	w := deflaters.Get().(*flate.Writer)
	w.Reset(&out)
	_, _ = w.Write(b)
	_ = w.Close()
	deflaters.Put(w)
	return out.Bytes()
}

// Plain marks an encoded body that would not gain from compression.
func Plain(b []byte) []byte { return append([]byte{0}, b...) }

const maxUnpacked = 32 << 20

// Unpack undoes Pack.
func Unpack(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, ErrGarbled
	}
	if b[0] == 0 {
		return b[1:], nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxUnpacked))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrGarbled, err)
	}
	return out, nil
}

// Dialer dials with a short limit and has the kernel give up on a silent peer.
func Dialer(limit, silent time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
		})
	}}
}

// Net makes what opens connections: each is given up after limit, and once open
// when the peer is silent for too long.
type Net func(limit, silent time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error)

// Sockets is the Net of the machine.
func Sockets(limit, silent time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return Dialer(limit, silent).DialContext
}

// LowWater wraps a Net so that little of what is written waits in this machine: on a
// slow link what others write then does not stand behind it.
func LowWater(n Net, bytes int) Net {
	return func(limit, silent time.Duration) func(context.Context, string, string) (net.Conn, error) {
		dial := n(limit, silent)
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if t, ok := c.(*net.TCPConn); ok && err == nil {
				_ = t.SetWriteBuffer(bytes)
			}
			return c, err
		}
	}
}

// Client calls other processes. The transport beneath repeats a POST on its own only if
// the connection it had kept was found closed with no byte of the request written.
type Client struct{ h *http.Client }

// NoRedirect keeps an http.Client from following redirects, which would make a second call.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewClient makes a client.
func NewClient(n Net) *Client { return NewClientWith(n, 700*time.Millisecond, 2*time.Second, 4) }

// NewClientWith makes a client that gives up on dialling and on a silent peer
// after the given times, and keeps some idle connections to each peer.
func NewClientWith(n Net, dial, silent time.Duration, idle int) *Client {
	return &Client{h: &http.Client{CheckRedirect: NoRedirect, Transport: &http.Transport{
		DialContext: n(dial, silent), DisableCompression: true,
		MaxIdleConnsPerHost: idle, IdleConnTimeout: 30 * time.Second,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}}}
}

// Call posts in to the peer's path, at most once, and decodes the answer into out. An
// answer without the body that out asks for is none. After ErrUnreachable the peer may
// have done what it was asked, and may yet do it.
func (c *Client) Call(ctx context.Context, addr, path string, in, out any) error {
	body, err := Encode(in)
	if err != nil {
		return err
	}
	return c.Post(ctx, addr, path, body, out)
}

// Encode makes the body of a call.
func Encode(in any) ([]byte, error) {
	b, err := Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrGarbled, err)
	}
	return Pack(b), nil
}

// Post is Call with a body that is encoded already.
func (c *Client) Post(ctx context.Context, addr, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrGarbled, err)
	}
	req.Header["User-Agent"] = nil
	resp, err := c.h.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	defer resp.Body.Close()
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxUnpacked)); err != nil {
		return fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%w: %d %s", ErrRefused, resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if body, err = Unpack(body); err != nil {
		return err
	}
	return Unmarshal(body, out)
}

// Read decodes the body of an internal request.
func Read(r io.Reader, v any) error {
	b, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrGarbled, err)
	}
	if b, err = Unpack(b); err != nil {
		return err
	}
	return Unmarshal(b, v)
}
