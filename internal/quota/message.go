package quota

// Ask asks for tokens: of a node to a registrar, or with Lend of one
// registrar to another, which then asks nobody else.
type Ask struct {
	ID    uint64 `cbor:"1,keyasint"`
	Wants []Want `cbor:"2,keyasint"`
	Lend  bool   `cbor:"3,keyasint,omitempty"`
}

// Want asks for a tenant: Need tokens are waited for, More would be drawn ahead.
type Want struct {
	Tenant string `cbor:"1,keyasint"`
	Need   int    `cbor:"2,keyasint"`
	More   int    `cbor:"3,keyasint,omitempty"`
	// Milli is asked for instead by registrars, in thousandths of a token.
	Milli int64 `cbor:"4,keyasint,omitempty"`
}

// Grant answers an Ask, with one part for each want, in order.
type Grant struct {
	ID    uint64 `cbor:"1,keyasint"`
	Parts []Part `cbor:"2,keyasint"`
}

// Part is what a want got. BackMs, if Granted is less than was needed, is when to ask
// again; Unable says that this registrar has no share now and another may have.
type Part struct {
	Granted int   `cbor:"1,keyasint,omitempty"`
	BackMs  int64 `cbor:"2,keyasint,omitempty"`
	Unable  bool  `cbor:"3,keyasint,omitempty"`
	Milli   int64 `cbor:"4,keyasint,omitempty"`
}

// MostWants bounds the wants of a datagram, and MostTokens those of a want.
const (
	MostWants  = 32
	MostTokens = 1 << 12
)
