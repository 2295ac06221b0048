package rpc

import (
	"context"
	"io"
	"time"
)

// ResponseTimeouts bounds a call by the progress of its answer, so that a large answer may take its time
// on a slow link, while a peer that stops is noticed as soon as with a small one.
type ResponseTimeouts struct {
	Header   time.Duration // until the answer begins
	Idle     time.Duration // between two parts of the answer
	Total    time.Duration // for the whole call
	OnHeader func()        // called when the answer begins; may be nil
}

// CallWithTimeouts is Call, bounded by patience in place of a deadline of ctx.
func (c *Client) CallWithTimeouts(
	ctx context.Context, address, path string, request, answer any, patience ResponseTimeouts,
) error {
	body, err := EncodeRequest(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, patience.Total)
	defer cancel()
	silence := time.AfterFunc(patience.Header, cancel)
	defer silence.Stop()
	resp, err := c.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // if it was not read to its end, this closes the connection
	if patience.OnHeader != nil {
		patience.OnHeader()
	}
	silence.Reset(patience.Idle)
	progress := progressReader{source: resp.Body, onProgress: func() { silence.Reset(patience.Idle) }}
	return decodeAnswer(resp.StatusCode, &progress, answer)
}

// progressReader calls a function whenever something was read.
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
