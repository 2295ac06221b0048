package quota

const (
	// MaxDemands bounds the demands of a TokenRequest. A request with more is ignored.
	MaxDemands = 32
	// MaxTokensPerDemand bounds the tokens granted for one demand.
	MaxTokensPerDemand = 1 << 12
)

// TokenRequest asks a control node for tokens.
type TokenRequest struct {
	ID      uint64         `cbor:"1,keyasint"` // copied to the answer
	Demands []TenantDemand `cbor:"2,keyasint"`
	// Loan marks a request from one control node to another. The receiver grants tokens only
	// from its slices and doesn't borrow.
	Loan bool `cbor:"3,keyasint,omitempty"`
}

// TenantDemand is the number of tokens that a TokenRequest asks for, for one tenant.
type TenantDemand struct {
	Tenant   string `cbor:"1,keyasint"`
	Required int    `cbor:"2,keyasint"`           // tokens that pending requests wait for
	Prefetch int    `cbor:"3,keyasint,omitempty"` // tokens for expected requests
	// MilliTokens replaces Required and Prefetch in a loan request, in thousandths of a token.
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
	// RetryAfterMs is the time to wait before the next request, if Granted is less than
	// Required.
	RetryAfterMs int64 `cbor:"2,keyasint,omitempty"`
	// NoShare reports that this control node holds no share now. Another may hold one.
	NoShare bool `cbor:"3,keyasint,omitempty"`
	// MilliTokens is the amount granted for a loan request, in thousandths of a token.
	MilliTokens int64 `cbor:"4,keyasint,omitempty"`
}
