package rpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// MaxResponseHeaderBytes bounds the status line and headers of an answer to a client of this module.
const MaxResponseHeaderBytes = 64 << 10

// Defaults of a client.
const (
	defaultDialTimeout    = 700 * time.Millisecond
	defaultSilenceTimeout = 2 * time.Second
	defaultMaxIdle        = 4

	idleTimeout = 30 * time.Second
	bufferBytes = 4 << 10 // of each connection and direction
)

// Client calls other processes. It is safe for concurrent use.
type Client struct{ httpClient *http.Client }

// NewClient makes a client with the default limits.
func NewClient(network Network) *Client {
	return NewClientWithLimits(network, defaultDialTimeout, defaultSilenceTimeout, defaultMaxIdle)
}

// NewClientWithLimits makes a client. dialTimeout and silenceTimeout are those of Network; maxIdlePerPeer is how many
// idle connections to each peer are kept open.
func NewClientWithLimits(network Network, dialTimeout, silenceTimeout time.Duration, maxIdlePerPeer int) *Client {
	// The transport repeats a POST only if an idle connection turns out to be closed before any byte of the request
	// was written, so a call reaches the peer at most once.
	transport := &http.Transport{
		DialContext:         network(dialTimeout, silenceTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,

		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
	return &Client{httpClient: &http.Client{CheckRedirect: NoRedirect, Transport: transport}}
}

// NoRedirect keeps an http.Client from following redirects, which would be a second call.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call posts a request to the peer's path, at most once, and decodes the answer into the value that answer points to;
// if answer is nil, the body is ignored. Errors wrap ErrNoResponse, ErrRejected or ErrMalformed.
func (c *Client) Call(ctx context.Context, address, path string, request, answer any) error {
	body, err := EncodeRequest(request)
	if err != nil {
		return err
	}
	return c.CallEncoded(ctx, address, path, body, answer)
}

// CallEncoded is Call with a body that EncodeRequest made.
func (c *Client) CallEncoded(ctx context.Context, address, path string, body []byte, answer any) error {
	resp, err := c.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // if it was not read to its end, this closes the connection
	return decodeAnswer(resp.StatusCode, resp.Body, answer)
}

// decodeAnswer reads the body of an answer and decodes it into the value that answer points to.
func decodeAnswer(status int, body io.Reader, answer any) error {
	raw, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if status/100 != http.StatusOK/100 {
		return fmt.Errorf("%w: %d %s", ErrRejected, status, raw)
	}
	if answer == nil {
		return nil
	}
	return decodeValue(raw, answer)
}

// post sends a request and returns the answer, of which the caller closes the body.
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
