package rpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// MaxResponseHeaderBytes bounds the status line and headers of a response to a client of this module.
const MaxResponseHeaderBytes = 64 << 10

// Limits of a client.
const (
	defaultDialTimeout = 700 * time.Millisecond
	defaultAckTimeout  = 2 * time.Second
	defaultMaxIdle     = 4

	idleTimeout = 30 * time.Second
	bufferBytes = 4 << 10 // per connection and direction
)

// Client calls other comethold processes. It is safe for concurrent use.
type Client struct{ httpClient *http.Client }

// NewClient makes a client with the default limits.
func NewClient(network Network) *Client {
	return NewClientWithLimits(network, defaultDialTimeout, defaultAckTimeout, defaultMaxIdle)
}

// NewClientWithLimits makes a client. dialTimeout and ackTimeout are passed to network; maxIdlePerPeer is the maximum
// number of idle connections that are kept open to each peer.
func NewClientWithLimits(network Network, dialTimeout, ackTimeout time.Duration, maxIdlePerPeer int) *Client {
	// The transport repeats a POST only if an idle connection turns out to be closed before any byte of the request
	// was written, so a call reaches the peer at most once.
	transport := &http.Transport{
		DialContext:         network(dialTimeout, ackTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,

		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
	return &Client{httpClient: &http.Client{CheckRedirect: NoRedirect, Transport: transport}}
}

// NoRedirect prevents an http.Client from following redirects, since that would send the call a second time.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call posts a request to a path of the peer at address, at most once, and decodes the body of the response into the
// value that response points to. If response is nil, the body is ignored. Errors wrap ErrNoResponse, ErrRejected or
// ErrMalformed.
func (c *Client) Call(ctx context.Context, address, path string, request, response any) error {
	body, err := EncodeRequest(request)
	if err != nil {
		return err
	}
	return c.CallEncoded(ctx, address, path, body, response)
}

// CallEncoded is Call with a body that EncodeRequest made.
func (c *Client) CallEncoded(ctx context.Context, address, path string, body []byte, response any) error {
	resp, err := c.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // closes the connection if the body was not read to its end
	return decodeResponse(resp.StatusCode, resp.Body, response)
}

// decodeResponse reads the body of a response and decodes it into the value that response points to.
func decodeResponse(status int, body io.Reader, response any) error {
	raw, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if status/100 != http.StatusOK/100 {
		return fmt.Errorf("%w: %d %s", ErrRejected, status, raw)
	}
	if response == nil {
		return nil
	}
	return decodeValue(raw, response)
}

// post sends a request and returns the response. The caller must close its body.
func (c *Client) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	req.Header["User-Agent"] = nil // not sent
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return resp, nil
}
