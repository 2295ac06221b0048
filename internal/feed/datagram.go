package feed

import (
	"comethold/internal/quota"
	"comethold/internal/usage"
)

// Datagram is what nodes send one another without a connection: any may be lost, late
// or doubled.
type Datagram struct {
	Beat  string       `cbor:"1,keyasint,omitempty"` // the name of a node that is well
	Ask   *quota.Ask   `cbor:"2,keyasint,omitempty"`
	Grant *quota.Grant `cbor:"3,keyasint,omitempty"`
	Tally *usage.Tally `cbor:"4,keyasint,omitempty"`
	Noted *usage.Noted `cbor:"5,keyasint,omitempty"`
}
