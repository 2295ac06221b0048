// Package rpc carries calls between comethold's own processes: a POST over HTTP/1.1 on the internal ports, with one
// cbor value as the body of the request and one as the body of the answer.
//
// Callers use a Client. Servers decode a request with DecodeRequest and answer with EncodeBody under ContentType. A
// Network says how connections are opened; simulations replace it. Datagrams carry bare cbor (Marshal, Unmarshal).
//
// Numbers of cbor fields and paths never change: during a roll-out two versions call one another.
package rpc

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Errors of this package.
var (
	// ErrNoResponse means that no complete answer arrived. The peer may have executed the call, or may still do so.
	ErrNoResponse = errors.New("rpc: no response")
	// ErrRejected means that the peer answered with a status other than 2xx.
	ErrRejected = errors.New("rpc: rejected by the peer")
	// ErrMalformed means that a message cannot be encoded or decoded.
	ErrMalformed = errors.New("rpc: malformed message")
)

// Limits of decoded messages, so that a malformed one cannot exhaust the memory.
const (
	maxElements     = 1 << 20
	maxNestedLevels = 32
)

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNestedLevels,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Marshal encodes a value in cbor.
func Marshal(value any) ([]byte, error) { return cbor.Marshal(value) }

// Unmarshal decodes cbor into what value points to. Its errors wrap ErrMalformed.
func Unmarshal(raw []byte, value any) error {
	if err := decodeMode.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
