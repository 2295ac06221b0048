package rpc

import (
	"context"
	"io"
	"time"
)

// ResponseTimeouts bounds a call by the progress of its response. A large response can then take long on a
// slow link, while a peer that stops sending is detected as early as with a small response.
type ResponseTimeouts struct {
	Header   time.Duration // until the response header arrives
	Idle     time.Duration // between two reads of the response body
	Total    time.Duration // for the whole call
	OnHeader func()        // called when the response header arrives; may be nil
}

// CallWithTimeouts is Call, bounded by timeouts in addition to any deadline of ctx. Errors wrap ErrNoResponse,
// ErrRejected or ErrMalformed.
func (c *Client) CallWithTimeouts(
	ctx context.Context, address, path string, request, response any, timeouts ResponseTimeouts,
) error {
	body, err := EncodeRequest(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeouts.Total)
	defer cancel()
	stallTimer := time.AfterFunc(timeouts.Header, cancel)
	defer stallTimer.Stop()
	resp, err := c.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // closes the connection if the body was not read to its end
	if timeouts.OnHeader != nil {
		timeouts.OnHeader()
	}
	stallTimer.Reset(timeouts.Idle)
	progress := progressReader{source: resp.Body, onProgress: func() { stallTimer.Reset(timeouts.Idle) }}
	return decodeResponse(resp.StatusCode, &progress, response)
}

// progressReader calls onProgress after each read that returns data.
type progressReader struct {
	source     io.Reader
	onProgress func()
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}
