// Package wire is how comethold's processes talk to one another: cbor bodies
// over HTTP/1.1 on the internal ports, and cbor datagrams for heartbeats.
package rpc

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
	ErrNoResponse = errors.New("wire: no answer")
	ErrRejected   = errors.New("wire: the peer refused")
	ErrMalformed  = errors.New("wire: not understood")
)

var decodeMode = func() cbor.DecMode {
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
	if err := decodeMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}

// ContentType of internal bodies.
const ContentType = "application/cbor"

const minCompressedBytes = 600

var compressors = sync.Pool{New: func() any { w, _ := flate.NewWriter(nil, 5); return w }}

// EncodeBody marks and, where it pays, compresses an encoded body.
func EncodeBody(b []byte) []byte {
	if len(b) < minCompressedBytes {
		return append([]byte{0}, b...)
	}
	var out bytes.Buffer
	out.WriteByte(1)
	w := compressors.Get().(*flate.Writer)
	w.Reset(&out)
	_, _ = w.Write(b)
	_ = w.Close()
	compressors.Put(w)
	return out.Bytes()
}

// EncodeUncompressedBody marks an encoded body that would not gain from compression.
func EncodeUncompressedBody(b []byte) []byte { return append([]byte{0}, b...) }

const maxBodyBytes = 32 << 20

// DecodeBody undoes Pack.
func DecodeBody(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, ErrMalformed
	}
	if b[0] == 0 {
		return b[1:], nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return out, nil
}

// NewDialer dials with a short limit and has the kernel give up on a silent peer.
func NewDialer(limit, silent time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
		})
	}}
}

// Network makes what opens connections: each is given up after limit, and once open
// when the peer is silent for too long.
type Network func(limit, silent time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error)

// TCPNetwork is the Net of the machine.
func TCPNetwork(limit, silent time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return NewDialer(limit, silent).DialContext
}

// WithSendBuffer wraps a Net so that little of what is written waits in this machine: on a
// slow link what others write then does not stand behind it.
func WithSendBuffer(n Network, bytes int) Network {
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
type Client struct{ httpClient *http.Client }

// NoRedirect keeps an http.Client from following redirects, which would make a second call.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewClient makes a client.
func NewClient(n Network) *Client {
	return NewClientWithLimits(n, 700*time.Millisecond, 2*time.Second, 4)
}

// NewClientWithLimits makes a client that gives up on dialling and on a silent peer
// after the given times, and keeps some idle connections to each peer.
func NewClientWithLimits(n Network, dial, silent time.Duration, idle int) *Client {
	return &Client{httpClient: &http.Client{CheckRedirect: NoRedirect, Transport: &http.Transport{
		DialContext: n(dial, silent), DisableCompression: true,
		MaxIdleConnsPerHost: idle, IdleConnTimeout: 30 * time.Second,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}}}
}

// Call posts in to the peer's path, at most once, and decodes the answer into out. An
// answer without the body that out asks for is none. After ErrUnreachable the peer may
// have done what it was asked, and may yet do it.
func (c *Client) Call(ctx context.Context, addr, path string, in, out any) error {
	body, err := EncodeRequest(in)
	if err != nil {
		return err
	}
	return c.CallEncoded(ctx, addr, path, body, out)
}

// EncodeRequest makes the body of a call.
func EncodeRequest(in any) ([]byte, error) {
	b, err := Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return EncodeBody(b), nil
}

// CallEncoded is Call with a body that is encoded already.
func (c *Client) CallEncoded(ctx context.Context, addr, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	req.Header["User-Agent"] = nil
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNoResponse, err)
	}
	defer resp.Body.Close()
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		return fmt.Errorf("%w: %v", ErrNoResponse, err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%w: %d %s", ErrRejected, resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if body, err = DecodeBody(body); err != nil {
		return err
	}
	return Unmarshal(body, out)
}

// DecodeRequest decodes the body of an internal request.
func DecodeRequest(r io.Reader, v any) error {
	b, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if b, err = DecodeBody(b); err != nil {
		return err
	}
	return Unmarshal(b, v)
}
