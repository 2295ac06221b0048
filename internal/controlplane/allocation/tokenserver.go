package allocation

import (
	"net"
	"sync"
	"time"

	"comethold/internal/controlplane/taskgroup"
	"comethold/internal/distribution"
	"comethold/internal/quota"
)

// milliPerToken is the number of millitokens in a token; see quota.TenantDemand.
const milliPerToken = 1000

// Sender sends datagrams. It does not retransmit lost ones.
type Sender interface {
	SendDatagram(to net.Addr, datagram *distribution.Datagram)
}

// TokenServerOptions are the dependencies of a TokenServer.
type TokenServerOptions struct {
	Allocator *quota.Allocator
	Borrower  *Borrower
	// OnShortfall is called when a slice holds fewer tokens than the sum of Required and Prefetch
	// of a demand. Low watermarks may then have to be lowered.
	OnShortfall func()
}

// TokenServer grants tokens from this node's slices of the buckets to data plane nodes. It borrows
// missing tokens from other control nodes, and lends tokens to them.
type TokenServer struct {
	options   TokenServerOptions
	borrowing taskgroup.Group // sends the answers that need borrowed tokens
}

// NewTokenServer returns a TokenServer.
func NewTokenServer(options TokenServerOptions) *TokenServer {
	return &TokenServer{options: options}
}

// Close waits for pending answers. After Close, requests that need borrowed tokens are not answered.
func (s *TokenServer) Close() { s.borrowing.Close() }

// Answer answers a request without blocking. If required tokens are missing and the request is not
// for a loan, Answer borrows in the background and sends the answer afterwards. Requests with more
// than quota.MaxDemands demands are ignored.
func (s *TokenServer) Answer(request *quota.TokenRequest, from net.Addr, sender Sender) {
	if len(request.Demands) > quota.MaxDemands {
		return
	}
	now := time.Now()
	grant := &quota.TokenGrant{ID: request.ID, Results: make([]quota.TenantGrant, len(request.Demands))}
	_, leased := s.options.Allocator.Share(now)
	var shortfalls []int // indexes of demands with missing required tokens
	for i, demand := range request.Demands {
		result := &grant.Results[i]
		switch {
		case !leased:
			result.NoShare = true
		case request.Loan:
			result.MilliTokens = s.lend(demand, now)
		default:
			if s.grant(demand, result, now) {
				shortfalls = append(shortfalls, i)
			}
		}
	}
	reply := &distribution.Datagram{TokenGrant: grant}
	if len(shortfalls) == 0 {
		sender.SendDatagram(from, reply)
		return
	}
	lenders := s.options.Borrower.Lenders()
	s.borrowing.Go(func() {
		var loans sync.WaitGroup
		for _, i := range shortfalls {
			loans.Go(func() { s.options.Borrower.BorrowMissing(request.Demands[i], &grant.Results[i], lenders, sender) })
		}
		loans.Wait()
		sender.SendDatagram(from, reply)
	})
}

// lend takes up to the demanded amount from this node's slice for another control node. It returns
// the amount taken in millitokens.
func (s *TokenServer) lend(demand quota.TenantDemand, now time.Time) int64 {
	wanted := min(demand.MilliTokens, milliPerToken*quota.MaxTokensPerDemand)
	return int64(milliPerToken * s.options.Allocator.Withdraw(demand.Tenant, float64(wanted)/milliPerToken, now))
}

// grant takes tokens from this node's slice for a data plane node, sets result, and reports whether
// required tokens are missing.
func (s *TokenServer) grant(demand quota.TenantDemand, result *quota.TenantGrant, now time.Time) (shortfall bool) {
	required := min(demand.Required, quota.MaxTokensPerDemand)
	prefetch := min(demand.Prefetch, quota.MaxTokensPerDemand)
	granted, retryAfter := s.options.Allocator.Take(demand.Tenant, max(0, required)+max(0, prefetch), now)
	result.Granted = granted
	if granted < required+prefetch {
		s.options.OnShortfall()
	}
	if granted >= required {
		return false
	}
	result.RetryAfterMs = max(1, retryAfter.Milliseconds())
	return true
}
