package rpc

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// ContentType is the content type of request and response bodies.
const ContentType = "application/cbor"

// A body begins with one byte that identifies the encoding of the remaining bytes.
const (
	plainBody   = 0
	deflateBody = 1
)

const (
	minCompressedBytes = 600 // smaller bodies are not compressed: it saves too little
	compressionLevel   = 5
	maxBodyBytes       = 32 << 20 // of an encoded or decoded body
)

// compressors holds *flate.Writer values for reuse: each occupies hundreds of kilobytes.
var compressors sync.Pool

// EncodeBody makes the body of a request or response from encoded cbor, and compresses it unless it is small.
func EncodeBody(raw []byte) []byte {
	if len(raw) < minCompressedBytes {
		return EncodeUncompressedBody(raw)
	}
	var body bytes.Buffer
	body.WriteByte(deflateBody)
	compressor := newCompressor(&body)
	_, _ = compressor.Write(raw) // writing to a buffer can't fail
	_ = compressor.Close()
	compressors.Put(compressor)
	return body.Bytes()
}

func newCompressor(w io.Writer) *flate.Writer {
	if compressor, ok := compressors.Get().(*flate.Writer); ok {
		compressor.Reset(w)
		return compressor
	}
	compressor, err := flate.NewWriter(w, compressionLevel)
	if err != nil {
		panic(err) // the level is constant
	}
	return compressor
}

// EncodeUncompressedBody makes a body from encoded cbor without compression, for data that doesn't compress well.
func EncodeUncompressedBody(raw []byte) []byte { return append([]byte{plainBody}, raw...) }

// DecodeBody returns the encoded cbor of a body made by EncodeBody or EncodeUncompressedBody. Its errors wrap
// ErrMalformed.
func DecodeBody(body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, ErrMalformed
	}
	if body[0] == plainBody {
		return body[1:], nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body[1:])), maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return raw, nil
}

// EncodeRequest makes the body of a request from a value. Its errors wrap ErrMalformed.
func EncodeRequest(request any) ([]byte, error) {
	raw, err := Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return EncodeBody(raw), nil
}

// DecodeRequest reads the body of a request into what request points to. Its errors wrap ErrMalformed.
func DecodeRequest(r io.Reader, request any) error {
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return decodeValue(body, request)
}

func decodeValue(body []byte, value any) error {
	raw, err := DecodeBody(body)
	if err != nil {
		return err
	}
	return Unmarshal(raw, value)
}
