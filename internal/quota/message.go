package quota

const (
	// MaxDemands bounds the demands of a TokenRequest: one with more is ignored.
	MaxDemands = 32
	// MaxTokensPerDemand bounds the tokens of a demand: no more are granted.
	MaxTokensPerDemand = 1 << 12
)

// TokenRequest asks a control node for tokens.
type TokenRequest struct {
	ID      uint64         `cbor:"1,keyasint"` // repeated in the answer
	Demands []TenantDemand `cbor:"2,keyasint"`
	// Loan marks a request of one control node to another, which grants only from its own
	// slices and doesn't borrow.
	Loan bool `cbor:"3,keyasint,omitempty"`
}

// TenantDemand asks for tokens of one tenant.
type TenantDemand struct {
	Tenant   string `cbor:"1,keyasint"`
	Required int    `cbor:"2,keyasint"`           // tokens that requests wait for
	Prefetch int    `cbor:"3,keyasint,omitempty"` // tokens to draw ahead
	// MilliTokens is what a loan asks for instead, in thousandths of a token.
	MilliTokens int64 `cbor:"4,keyasint,omitempty"`
}

// TokenGrant answers a TokenRequest.
type TokenGrant struct {
	ID      uint64        `cbor:"1,keyasint"` // of the request
	Results []TenantGrant `cbor:"2,keyasint"` // one for each demand, in order
}

// TenantGrant is the result of one demand.
type TenantGrant struct {
	Granted int `cbor:"1,keyasint,omitempty"`
	// RetryAfterMs is when to ask again, if Granted is less than was required.
	RetryAfterMs int64 `cbor:"2,keyasint,omitempty"`
	// NoShare says that this node holds no share now; another may.
	NoShare bool `cbor:"3,keyasint,omitempty"`
	// MilliTokens is what a loan granted, in thousandths of a token.
	MilliTokens int64 `cbor:"4,keyasint,omitempty"`
}
