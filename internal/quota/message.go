package quota

// TokenRequest asks for tokens: of a node to a registrar, or with Lend of one
// registrar to another, which then asks nobody else.
type TokenRequest struct {
	ID      uint64         `cbor:"1,keyasint"`
	Demands []TenantDemand `cbor:"2,keyasint"`
	Loan    bool           `cbor:"3,keyasint,omitempty"`
}

// TenantDemand asks for a tenant: Need tokens are waited for, More would be drawn ahead.
type TenantDemand struct {
	Tenant   string `cbor:"1,keyasint"`
	Required int    `cbor:"2,keyasint"`
	Prefetch int    `cbor:"3,keyasint,omitempty"`
	// MilliTokens is asked for instead by registrars, in thousandths of a token.
	MilliTokens int64 `cbor:"4,keyasint,omitempty"`
}

// TokenGrant answers an Ask, with one part for each want, in order.
type TokenGrant struct {
	ID      uint64        `cbor:"1,keyasint"`
	Results []TenantGrant `cbor:"2,keyasint"`
}

// TenantGrant is what a want got. BackMs, if Granted is less than was needed, is when to ask
// again; Unable says that this registrar has no share now and another may have.
type TenantGrant struct {
	Granted      int   `cbor:"1,keyasint,omitempty"`
	RetryAfterMs int64 `cbor:"2,keyasint,omitempty"`
	NoShare      bool  `cbor:"3,keyasint,omitempty"`
	MilliTokens  int64 `cbor:"4,keyasint,omitempty"`
}

// MaxDemands bounds the wants of a datagram, and MostTokens those of a want.
const (
	MaxDemands         = 32
	MaxTokensPerDemand = 1 << 12
)
