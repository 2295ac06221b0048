package allocation

import (
	"net"
	"sync"
	"time"

	"comethold/internal/controlplane/taskgroup"
	"comethold/internal/distribution"
	"comethold/internal/quota"
)

// milli is the number of millitokens in a token; see quota.TenantDemand.
const milli = 1000

// Sender sends datagrams. Lost datagrams are not repeated.
type Sender interface {
	SendDatagram(to net.Addr, datagram *distribution.Datagram)
}

// TokenServerOptions are what a TokenServer needs.
type TokenServerOptions struct {
	Allocator *quota.Allocator
	Borrower  *Borrower
	// OnShortfall is called when the slices hold less than a demand requires and prefetches,
	// so that low watermarks may have to be lowered.
	OnShortfall func()
}

// TokenServer grants tokens from this node's slices of the buckets to data plane nodes, and
// borrows missing ones from other control nodes. It lends tokens to these too.
type TokenServer struct {
	options   TokenServerOptions
	borrowing taskgroup.Group // answers that wait for lenders
}

// NewTokenServer returns a TokenServer.
func NewTokenServer(options TokenServerOptions) *TokenServer {
	return &TokenServer{options: options}
}

// Close waits for pending answers. Requests that need to borrow are not answered after it.
func (s *TokenServer) Close() { s.borrowing.Close() }

// Answer answers a request. It never blocks: if required tokens are missing and the request is
// not a loan, the answer follows after an attempt to borrow.
func (s *TokenServer) Answer(request *quota.TokenRequest, from net.Addr, sender Sender) {
	if len(request.Demands) > quota.MaxDemands {
		return
	}
	now := time.Now()
	grant := &quota.TokenGrant{ID: request.ID, Results: make([]quota.TenantGrant, len(request.Demands))}
	_, leased := s.options.Allocator.Share(now)
	var short []int // indexes of demands that lack required tokens
	for i, demand := range request.Demands {
		result := &grant.Results[i]
		switch {
		case !leased:
			result.NoShare = true
		case request.Loan:
			result.MilliTokens = s.lend(demand, now)
		default:
			if s.grant(demand, result, now) {
				short = append(short, i)
			}
		}
	}
	reply := &distribution.Datagram{TokenGrant: grant}
	if len(short) == 0 {
		sender.SendDatagram(from, reply)
		return
	}
	lenders := s.options.Borrower.Lenders()
	s.borrowing.Go(func() {
		var loans sync.WaitGroup
		for _, i := range short {
			loans.Go(func() { s.options.Borrower.BorrowMissing(request.Demands[i], &grant.Results[i], lenders, sender) })
		}
		loans.Wait()
		sender.SendDatagram(from, reply)
	})
}

// lend takes up to the demanded amount from this node's slice for another control node. It
// returns the amount in millitokens.
func (s *TokenServer) lend(demand quota.TenantDemand, now time.Time) int64 {
	wanted := min(demand.MilliTokens, milli*quota.MaxTokensPerDemand)
	return int64(milli * s.options.Allocator.Withdraw(demand.Tenant, float64(wanted)/milli, now))
}

// grant takes tokens from this node's slice for a data plane node, and reports whether required
// tokens are missing.
func (s *TokenServer) grant(demand quota.TenantDemand, result *quota.TenantGrant, now time.Time) (short bool) {
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
