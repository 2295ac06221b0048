package distribution

import (
	"comethold/internal/quota"
	"comethold/internal/usage"
)

// Datagram is a message between nodes over UDP. Datagrams may be lost, delayed or duplicated.
// Exactly one field is set.
type Datagram struct {
	Heartbeat    string              `cbor:"1,keyasint,omitempty"` // name of the sender
	TokenRequest *quota.TokenRequest `cbor:"2,keyasint,omitempty"`
	TokenGrant   *quota.TokenGrant   `cbor:"3,keyasint,omitempty"`
	UsageReport  *usage.CountReport  `cbor:"4,keyasint,omitempty"`
	UsageAck     *usage.CountAck     `cbor:"5,keyasint,omitempty"`
}
