// Package rpc implements calls between comethold's own processes. A call is a POST over HTTP/1.1 on the internal ports,
// with one cbor value as the body of the request and one as the body of the response.
//
// Callers use a Client. Servers decode a request with DecodeRequest, make the response body with EncodeBody and send it
// with ContentType. A Network opens connections; simulations replace it. Datagrams contain bare cbor (Marshal,
// Unmarshal).
//
// Numbers of cbor fields and paths must not change: during a roll-out, processes of two versions call one another.
package rpc

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Errors of this package.
var (
	// ErrNoResponse means that no complete response arrived. The peer may have executed the call, or may still do so.
	ErrNoResponse = errors.New("rpc: no response")
	// ErrRejected means that the peer responded with a status other than 2xx.
	ErrRejected = errors.New("rpc: rejected by the peer")
	// ErrMalformed means that a message cannot be encoded or decoded.
	ErrMalformed = errors.New("rpc: malformed message")
)

// Limits of decoded messages, so that a malformed message can't exhaust the memory.
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

// Unmarshal decodes cbor into the value that value points to. Its errors wrap ErrMalformed.
func Unmarshal(raw []byte, value any) error {
	if err := decodeMode.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
